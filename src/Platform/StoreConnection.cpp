#include "Platform/StoreConnection.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <istream>
#include <ostream>

namespace parsleywing {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr std::size_t MaxAnswerBytes = 64U << 20U;
constexpr std::size_t ReadStep = 64U << 10U;

Poco::Timespan timespan(Duration Time) { return Poco::Timespan(Time.count()); }

/// Reads to the end of the answer or the deadline. The deadline counts for the
/// whole: a service that sends a byte now and then would hold the caller for
/// ever under a limit for each read alone.
Result<std::string> readAnswer(std::istream &In, HTTPClientSession &Session,
                               const Clock &Time, TimePoint Deadline) {
  std::string Answer;
  std::string Step(ReadStep, '\0');
  while (In.good()) {
    const Duration Left = Deadline - Time.now();
    if (Left <= Duration::zero())
      return failure(ErrorCode::TimedOut, "the store's answer did not end");
    Session.socket().setReceiveTimeout(timespan(Left));
    In.read(Step.data(), static_cast<std::streamsize>(Step.size()));
    Answer.append(Step.data(), static_cast<std::size_t>(In.gcount()));
    if (Answer.size() > MaxAnswerBytes)
      return failure(ErrorCode::Malformed, "the store's answer is too large");
  }
  if (In.bad())
    return failure(ErrorCode::Interrupted, "the store's answer broke off");
  return Answer;
}

} // namespace

/// The library's session, which also tells whether it can carry a further call.
class StoreConnection::HttpSession : public HTTPClientSession {
public:
  using HTTPClientSession::HTTPClientSession;

  /// Whether the store has sent or ended something while nothing was asked:
  /// the next call would find the end, or take what came for its answer.
  bool hasUnsolicitedInput() {
    constexpr int Either =
        Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR;
    return this->buffered() > 0 ||
           this->socket().poll(Poco::Timespan(0), Either);
  }
};

StoreConnection::StoreConnection(std::string A, Duration Idle, Clock C)
    : Address(std::move(A)), MaxIdleTime(Idle), Time(std::move(C)),
      LastUsedAt(Time.now()) {}

StoreConnection::~StoreConnection() = default;
StoreConnection::StoreConnection(StoreConnection &&) noexcept = default;

void StoreConnection::close() { this->Session.reset(); }

/// Something between the two ends may lose track of an idle connection, and a
/// call on it then waits for its whole deadline. A fresh connection costs one
/// round trip and proves the way.
Result<void> StoreConnection::connect(Duration Limit) {
  const TimePoint Now = this->Time.now();
  if (this->Session && Now - this->LastUsedAt <= this->MaxIdleTime &&
      !this->Session->hasUnsolicitedInput())
    return {};
  this->Session.reset();
  try {
    const Poco::Net::SocketAddress Numeric(this->Address);
    Poco::Net::StreamSocket Socket;
    Socket.connect(Numeric, timespan(Limit));
    Socket.setNoDelay(true);
    auto Fresh = std::make_unique<HttpSession>(Socket);
    Fresh->setKeepAlive(true);
    Fresh->setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::HOURS));
    this->Session = std::move(Fresh);
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Unreachable, Problem.displayText());
  }
  return {};
}

Result<StoreResponse> StoreConnection::exchange(const StoreRequest &Message,
                                                TimePoint Deadline) {
  const Duration Left = Deadline - this->Time.now();
  if (Left <= Duration::zero())
    return failure(ErrorCode::Unreachable, "no time was left for the call");
  try {
    HTTPRequest Request(Message.Method, Message.Path, HTTPRequest::HTTP_1_1);
    Request.setHost(this->Address);
    if (!Message.Body.empty())
      Request.setContentType("application/json");
    if (Message.Method != HTTPRequest::HTTP_GET)
      Request.setContentLength(
          static_cast<std::streamsize>(Message.Body.size()));
    this->Session->setTimeout(timespan(Left));
    this->Session->socket().setReceiveTimeout(timespan(Left));
    this->Session->socket().setSendTimeout(timespan(Left));
    this->Session->sendRequest(Request) << Message.Body << std::flush;
    HTTPResponse Response;
    std::istream &In = this->Session->receiveResponse(Response);
    Result<std::string> Body =
        readAnswer(In, *this->Session, this->Time, Deadline);
    if (!Body)
      return tl::unexpected(Body.error());
    return StoreResponse{Response.getStatus(), std::move(*Body)};
  } catch (const Poco::TimeoutException &Problem) {
    return failure(ErrorCode::TimedOut, Problem.displayText());
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Interrupted, Problem.displayText());
  }
}

Result<StoreResponse> StoreConnection::call(const StoreRequest &Message,
                                            Duration Limit) {
  const TimePoint Deadline = this->Time.now() + Limit;
  if (const Result<void> Connected = this->connect(Limit); !Connected)
    return tl::unexpected(Connected.error());
  Result<StoreResponse> Answer = this->exchange(Message, Deadline);
  this->LastUsedAt = this->Time.now();
  // After a call that went wrong the next answer could be this one's.
  if (!Answer)
    this->Session.reset();
  return Answer;
}

} // namespace parsleywing
