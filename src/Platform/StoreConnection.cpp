#include "Platform/StoreConnection.h"

#include "Platform/TimedSocket.h"

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

/// Maximum size of a response head, with interim responses before it and the
/// part of the body that is read along with it.
constexpr std::uint64_t MaxHeadBytes = 64U << 10U;
/// Maximum size of a response body. The store limits pages of a list to about
/// 1 MB.
constexpr std::uint64_t MaxResponseBytes = 16U << 20U;
constexpr std::size_t ReadBufferBytes = 64U << 10U;

Poco::Timespan timespan(Duration Time) { return Poco::Timespan(Time.count()); }

/// Reads to the end of the response.
Result<std::string> readBody(std::istream &In) {
  std::string Body;
  std::string Buffer(ReadBufferBytes, '\0');
  while (In.good()) {
    In.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
    Body.append(Buffer.data(), static_cast<std::size_t>(In.gcount()));
  }
  if (In.bad())
    return failure(ErrorCode::Interrupted,
                   "the store's response was truncated");
  return Body;
}

} // namespace

/// The library's HTTP session, extended by a check whether it can be reused.
class StoreConnection::HttpSession : public HTTPClientSession {
public:
  using HTTPClientSession::HTTPClientSession;

  /// Returns whether the store has sent data or closed the connection while no
  /// request was pending. The next call would fail, or would mistake the data
  /// for its response.
  bool hasUnsolicitedInput() {
    constexpr int ReadOrError =
        Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR;
    return this->buffered() > 0 ||
           this->socket().poll(Poco::Timespan(0), ReadOrError);
  }
};

StoreConnection::StoreConnection(std::string A, Duration Idle, Clock C)
    : Address(std::move(A)), MaxIdleTime(Idle), Time(std::move(C)),
      LastUsedAt(Time.now()) {}

StoreConnection::~StoreConnection() = default;
StoreConnection::StoreConnection(StoreConnection &&) noexcept = default;

void StoreConnection::close() { this->Session.reset(); }

/// A middlebox may forget an idle connection, and a call over it would then
/// block until its deadline. A new connection costs one round trip and proves
/// that the store is reachable.
Result<void> StoreConnection::connect(Duration Limit) {
  const TimePoint Now = this->Time.now();
  if (this->Session && Now - this->LastUsedAt <= this->MaxIdleTime &&
      !this->Session->hasUnsolicitedInput())
    return {};
  this->Session.reset();
  try {
    const Poco::Net::SocketAddress Endpoint(this->Address);
    this->Socket = new internal::TimedSocket(this->Time);
    Poco::Net::StreamSocket Connected(this->Socket);
    Connected.connect(Endpoint, timespan(Limit));
    Connected.setNoDelay(true);
    auto NewSession = std::make_unique<HttpSession>(Connected);
    NewSession->setKeepAlive(true);
    NewSession->setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::HOURS));
    this->Session = std::move(NewSession);
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Unreachable, Problem.displayText());
  }
  return {};
}

/// Waits for the first byte of the response, or until the call is ended.
Result<void> StoreConnection::awaitResponse(TimePoint Deadline,
                                            const std::stop_token &Ended) {
  while (!this->Session->socket().poll(timespan(EndedCheckInterval),
                                       Poco::Net::Socket::SELECT_READ)) {
    if (Ended.stop_requested())
      return failure(ErrorCode::Interrupted, "the call was ended");
    if (this->Time.now() >= Deadline)
      return failure(ErrorCode::TimedOut, "Timeout");
  }
  return {};
}

Result<StoreResponse> StoreConnection::exchange(const StoreRequest &Request,
                                                TimePoint Deadline,
                                                const std::stop_token &Ended) {
  const Duration Remaining = Deadline - this->Time.now();
  if (Remaining <= Duration::zero())
    return failure(ErrorCode::Unreachable, "no time is left for the call");
  try {
    HTTPRequest HttpRequest(Request.Method, Request.Path,
                            HTTPRequest::HTTP_1_1);
    HttpRequest.setHost(this->Address);
    if (!Request.Body.empty())
      HttpRequest.setContentType("application/json");
    if (Request.Method != HTTPRequest::HTTP_GET)
      HttpRequest.setContentLength(
          static_cast<std::streamsize>(Request.Body.size()));
    // Limits of a read alone would not hold for a store that sends a byte now
    // and then.
    this->Socket->Deadline = Deadline;
    this->Socket->MaxReceived = this->Socket->Received + MaxHeadBytes;
    this->Socket->expectResponse(Request.Method);
    this->Session->sendRequest(HttpRequest) << Request.Body << std::flush;
    if (Ended.stop_possible())
      if (const auto Waited = this->awaitResponse(Deadline, Ended); !Waited)
        return tl::unexpected(Waited.error());
    HTTPResponse HttpResponse;
    std::istream &In = this->Session->receiveResponse(HttpResponse);
    // The library takes the end of the connection for the end of the head.
    if (this->Socket->PeerClosed)
      return failure(ErrorCode::Interrupted,
                     "the connection to the store ended in the head");
    this->Socket->MaxReceived = this->Socket->Received + MaxResponseBytes;
    Result<std::string> Body = readBody(In);
    if (!Body)
      return tl::unexpected(Body.error());
    if (!this->Socket->receiveResponseEnd())
      return failure(ErrorCode::Interrupted,
                     "the connection to the store ended inside the response");
    return StoreResponse{HttpResponse.getStatus(), std::move(*Body)};
  } catch (const Poco::Net::MessageException &Problem) {
    return failure(ErrorCode::Malformed, Problem.displayText());
  } catch (const Poco::TimeoutException &Problem) {
    return failure(ErrorCode::TimedOut, Problem.displayText());
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Interrupted, Problem.displayText());
  }
}

Result<StoreResponse> StoreConnection::call(const StoreRequest &Request,
                                            Duration Limit,
                                            const std::stop_token &Ended) {
  const TimePoint Deadline = this->Time.now() + Limit;
  if (const Result<void> Connected = this->connect(Limit); !Connected)
    return tl::unexpected(Connected.error());
  Result<StoreResponse> Response = this->exchange(Request, Deadline, Ended);
  this->LastUsedAt = this->Time.now();
  // After a failed call, the next response on the connection could still belong
  // to it.
  if (!Response)
    this->Session.reset();
  return Response;
}

} // namespace parsleywing
