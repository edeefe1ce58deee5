#include "Backend/ShortCall.h"

#include "Backend/BackendConnection.h"
#include "Runtime/RetryAfter.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <istream>

namespace parsleywing {

namespace {

constexpr const char *HealthPath = "/health";
constexpr const char *ResponsesPath = "/v1/responses/";
constexpr int ServiceUnavailable = 503;
constexpr int TooManyRequests = 429;
constexpr int Ok = 200;

/// Parses the error object of a response body; null if there is none.
Poco::JSON::Object::Ptr errorOf(const std::string &Body) {
  try {
    Poco::JSON::Parser Parser;
    const auto Document = Parser.parse(Body).extract<Poco::JSON::Object::Ptr>();
    return Document ? Document->getObject("error") : nullptr;
  } catch (const std::exception &) { // Includes Poco's exceptions.
    return nullptr;
  }
}

Result<ShortResponse> exchange(BackendConnection &Connection,
                               const ShortCall &Call) {
  Poco::Net::HTTPRequest Request(Call.Method, Call.Path, "HTTP/1.1");
  for (const auto &[Name, Value] : Call.Headers)
    Request.set(Name, Value);
  if (!Call.Body.empty())
    Request.setContentType("application/json");
  Request.setKeepAlive(false);
  Connection.send(Request, Call.Body);
  Poco::Net::HTTPResponse Response;
  std::istream &In = Connection.receive(Response);
  ShortResponse Result;
  for (int Next = In.rdbuf()->sbumpc(); Next != EOF;
       Next = In.rdbuf()->sbumpc()) {
    if (Result.Body.size() >= Call.MaxResponseBytes)
      return failure(ErrorCode::Malformed, "the response is too large");
    Result.Body.push_back(static_cast<char>(Next));
  }
  if (!Connection.receiveEnd())
    return failure(ErrorCode::Interrupted,
                   "the connection ended inside the response");
  Result.Status = Response.getStatus();
  Result.Leaving =
      reportsLeaving(Result.Status, Response.get(DrainHeader, ""), Result.Body);
  Result.Bytes = Connection.receivedBytes() + Connection.sentBytes();
  return Result;
}

} // namespace

Result<ShortResponse> runShortCall(const ShortCall &Call) {
  const TimePoint Deadline = Call.Time.now() + Call.Timeout;
  ConnectionCanceller Canceller;
  bool Connected = false;
  try {
    BackendConnection Connection(Call.Address, Call.Timeout, Canceller,
                                 Call.Time);
    Connected = true;
    Connection.setDeadline(Deadline);
    if (Call.SendPermission) {
      const auto SendDeadline = Call.SendPermission();
      if (!SendDeadline)
        return failure(ErrorCode::Denied, Call.Address + ": not sent");
      Connection.setDeadline(std::min(Deadline, *SendDeadline));
    }
    return exchange(Connection, Call);
  } catch (const Poco::TimeoutException &Timeout) {
    return failure(Connected ? ErrorCode::TimedOut : ErrorCode::Unreachable,
                   Call.Address + ": " + Timeout.displayText());
  } catch (const Poco::Exception &Failure) {
    return failure(Connected ? ErrorCode::Interrupted : ErrorCode::Unreachable,
                   Call.Address + ": " + Failure.displayText());
  } catch (const std::exception &Failure) {
    return failure(Connected ? ErrorCode::Interrupted : ErrorCode::Unreachable,
                   Call.Address + ": " + Failure.what());
  }
}

bool probeServer(const std::string &Address, const BackendSettings &Settings) {
  ShortCall Call;
  Call.Address = Address;
  Call.Path = HealthPath;
  Call.Timeout = Settings.ProbeTimeout;
  Call.Time = Settings.Time;
  const auto Response = runShortCall(Call);
  return Response && Response->Status == Ok;
}

ConnectOutcome tryConnect(const std::string &Address, Duration Timeout) {
  const auto Microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(Timeout).count();
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Address),
                   Poco::Timespan(Microseconds));
    return ConnectOutcome::Listening;
  } catch (const Poco::Net::ConnectionRefusedException &) {
    return ConnectOutcome::Refused;
  } catch (const Poco::Exception &) {
    return ConnectOutcome::Unknown;
  }
}

Result<void> cancelResponse(const std::string &Address,
                            const std::string &ResponseId,
                            const BackendSettings &Settings) {
  ShortCall Call;
  Call.Address = Address;
  Call.Method = "POST";
  Call.Path = ResponsesPath + ResponseId + "/cancel";
  Call.Timeout = Settings.CancelTimeout;
  Call.Time = Settings.Time;
  const auto Response = runShortCall(Call);
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  if (Response->Status != Ok)
    return failure(ErrorCode::Refused, "the engine responded with status " +
                                           std::to_string(Response->Status));
  return {};
}

bool reportsLeaving(int Status, const std::string &Header,
                    const std::string &Body) {
  if (Header == "true")
    return true;
  if (Status != ServiceUnavailable)
    return false;
  const auto Error = errorOf(Body);
  return Error && Error->optValue<std::string>("code", "") == "draining";
}

std::optional<Duration> pauseOf(int Status, const std::string &RetryAfter) {
  if (Status != ServiceUnavailable && Status != TooManyRequests)
    return std::nullopt;
  return parseRetryAfter(RetryAfter);
}

bool isPublishedError(const std::string &Body) {
  const auto Error = errorOf(Body);
  return Error && Error->has("message");
}

} // namespace parsleywing
