#include "Backend/BackendConnection.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <limits>
#include <ostream>

namespace parsleywing {

namespace {

/// Maximum size of a response head, with interim responses before it and the
/// part of the body that is read along with it.
constexpr std::uint64_t MaxHeadBytes = 64U << 10U;

Poco::Timespan toTimespan(Duration D) { return Poco::Timespan(D.count()); }

} // namespace

/// POCO's client session without its automatic reconnect.
class BackendConnection::Session : public Poco::Net::HTTPClientSession {
public:
  explicit Session(const Poco::Net::StreamSocket &Socket)
      : HTTPClientSession(Socket) {
    this->setKeepAlive(true);
  }

  using HTTPClientSession::buffered;

  /// Sends the buffered rest of the request. Returns false on failure instead
  /// of throwing, so that a response that has already arrived can be received.
  bool endRequest() {
    try {
      this->flushRequest();
    } catch (const Poco::Exception &) {
      this->clearException();
      return false;
    }
    return true;
  }

protected:
  void connect(const Poco::Net::SocketAddress &) override {
    throw Poco::Net::ConnectionAbortedException("the connection is closed");
  }
  bool mustReconnect() const override { return false; }
};

BackendConnection::BackendConnection(const std::string &A,
                                     Duration ConnectTimeout,
                                     ConnectionCanceller &NewCanceller,
                                     const Clock &Time)
    : Address(A), OpenedAt(Time.now()), Canceller(nullptr),
      Socket(new internal::TimedSocket(Time)) {
  Poco::Net::StreamSocket Connected(this->Socket);
  Connected.connect(Poco::Net::SocketAddress(A), toTimespan(ConnectTimeout));
  Connected.setNoDelay(true);
  this->Http = std::make_unique<Session>(Connected);
  if (!this->attach(NewCanceller))
    throw Poco::Net::ConnectionAbortedException("cancelled while connecting");
}

BackendConnection::~BackendConnection() { this->detach(); }

bool BackendConnection::attach(ConnectionCanceller &NewCanceller) {
  if (!NewCanceller.attach(this->Http->socket()))
    return false;
  this->Canceller = &NewCanceller;
  return true;
}

void BackendConnection::detach() {
  if (this->Canceller)
    this->Canceller->detach();
  this->Canceller = nullptr;
}

void BackendConnection::send(Poco::Net::HTTPRequest &Request,
                             const std::string &Body) {
  this->Method = Request.getMethod();
  Request.set("Host", this->Address);
  if (!Body.empty() || Request.getMethod() == "POST")
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
  std::ostream &Out = this->Http->sendRequest(Request);
  Out << Body;
  Out.flush();
}

std::istream &BackendConnection::receive(Poco::Net::HTTPResponse &Response) {
  this->SentCompletely = this->Http->endRequest();
  this->Socket->MaxReceived = this->Socket->Received + MaxHeadBytes;
  this->Socket->expectResponse(this->Method);
  std::istream &Body = this->Http->receiveResponse(Response);
  // The library takes the end of the connection for the end of the head.
  if (this->Socket->PeerClosed)
    throw Poco::Net::MessageException("the connection ended in the head");
  this->Socket->MaxReceived = std::numeric_limits<std::uint64_t>::max();
  return Body;
}

bool BackendConnection::reusable() const {
  return this->SentCompletely && this->Socket->responseComplete() &&
         !this->Socket->PeerClosed && this->Http->buffered() == 0;
}

bool BackendConnection::hasUnsolicitedInput() const {
  return this->Socket->poll(Poco::Timespan(0),
                            Poco::Net::SocketImpl::SELECT_READ |
                                Poco::Net::SocketImpl::SELECT_ERROR);
}

} // namespace parsleywing
