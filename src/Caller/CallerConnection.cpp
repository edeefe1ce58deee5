#include "Caller/CallerConnection.h"

#include "Caller/CallerApi.h"
#include "Runtime/Log.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <optional>

namespace parsleywing {

using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponseImpl;

namespace {

/// Interval at which an idle connection checks whether the router is draining.
constexpr Duration IdleCheckInterval = std::chrono::milliseconds(250);

Poco::Timespan toTimespan(Duration D) { return Poco::Timespan(D.count()); }

} // namespace

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &Accepted,
                                   CallerContext &C)
    : TCPServerConnection(Accepted), Context(C),
      SocketImpl(new CallerSocketImpl(Accepted, C.Counters)),
      Caller(SocketImpl), Params(new Poco::Net::HTTPServerParams) {
  this->Params->setTimeout(toTimespan(C.Settings.ReceiveTimeout));
}

CallerConnection::~CallerConnection() {
  --this->Context.Counters.ConnectionsOpen;
}

void CallerConnection::run() {
  try {
    CallerHttpSession Session(this->Caller, this->Params);
    this->Caller.setSendTimeout(toTimespan(this->Context.Settings.SendTimeout));
    while (this->waitForRequest(Session) && this->serveNext(Session)) {
    }
    // Only after the loop: POCO sends the end of a response when the response
    // object is destroyed.
    if (this->CloseAfterResponse || CallerWatch::hasUnsent(this->socket()))
      this->closeGracefully();
  } catch (const Poco::Exception &Failure) {
    log(LogPart::Caller, LogLevel::Debug,
        "Caller connection failed: " + Failure.displayText());
  }
}

bool CallerConnection::waitForRequest(const CallerHttpSession &Session) {
  const int Slices =
      static_cast<int>(this->Context.Settings.IdleTimeout / IdleCheckInterval);
  for (int Slice = 0; Slice <= Slices; ++Slice) {
    if (Session.buffered() > 0 ||
        this->Caller.poll(toTimespan(IdleCheckInterval),
                          Poco::Net::Socket::SELECT_READ))
      return true;
    if (this->Context.Draining || this->Context.Stopping)
      return false;
  }
  ++this->Context.Counters.ConnectionsIdleClosed;
  return false;
}

bool CallerConnection::serveNext(CallerHttpSession &Session) {
  const CallerSettings &Settings = this->Context.Settings;
  this->SocketImpl->beginHead(Settings.ReceiveTimeout, Settings.MaxHeaderBytes);
  HTTPServerResponseImpl Response(Session);
  Response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  const std::uint64_t Number = this->Context.NextRequest++;
  Exchange E{this->Context,
             nullptr,
             Response,
             this->Caller,
             *this->SocketImpl,
             Number,
             Settings.RouterName + "-" + this->Context.IncarnationNumber + "-" +
                 std::to_string(Number)};
  Response.set("X-Request-Id", E.Identity);
  std::optional<HTTPServerRequestImpl> Request;
  try {
    Request.emplace(Response, Session, this->Params.get());
  } catch (const Poco::Net::NoMessageException &) {
    if (!this->SocketImpl->receiveTimedOut())
      return false; // The caller closed between two requests.
  } catch (const Poco::Exception &) {
    // Answered with a problem below.
  }
  if (!Request) {
    E.sendProblem(this->headProblem());
    this->CloseAfterResponse = true;
    this->HasUnreadInput = true;
    return false;
  }
  this->SocketImpl->endHead();
  E.Request = &*Request;
  Response.setVersion(Request->getVersion());
  Response.setKeepAlive(Request->getKeepAlive());
  serveExchange(E);
  this->HasUnreadInput = !E.BodyRead;
  // Only what the response head announced counts: a drain that started after
  // the head closes the connection after the next response, or when the
  // connection is idle.
  const bool KeepAlive = Response.sent() && Response.getKeepAlive() &&
                         E.BodyRead && !this->Context.Stopping;
  this->CloseAfterResponse =
      Response.sent() && !KeepAlive && !this->SocketImpl->willReset();
  return KeepAlive;
}

Problem CallerConnection::headProblem() const {
  if (this->SocketImpl->receiveTimedOut())
    return {ProblemType::ReceiveTimeout,
            "The head of the request did not come whole in time."};
  if (this->SocketImpl->headTooLarge())
    return {ProblemType::HeadersTooLarge,
            "The head of the request may hold " +
                std::to_string(this->Context.Settings.MaxHeaderBytes) +
                " bytes."};
  return {ProblemType::InvalidRequest,
          "The head of the request is not valid HTTP."};
}

/// If all responses are acknowledged and no bytes are unread, the connection is
/// closed at once: a request that crosses the close then gets a reset, which
/// shows its caller that the request was not read.
void CallerConnection::closeGracefully() {
  const bool SafeToClose =
      !this->HasUnreadInput && CallerWatch::isSafeToClose(this->socket());
  this->Caller.shutdownSend();
  if (!SafeToClose)
    this->Context.Watch.linger(this->socket(),
                               this->Context.Settings.SendTimeout);
}

} // namespace parsleywing
