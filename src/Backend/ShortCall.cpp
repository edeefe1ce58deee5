#include "Backend/ShortCall.h"

#include "Backend/BackendConnection.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <istream>

namespace parsleywing {

namespace {

constexpr const char *HealthPath = "/health";
constexpr const char *ResponsesPath = "/v1/responses/";
constexpr int ServiceUnavailable = 503;
constexpr int Ok = 200;

/// The error object of an answer, or nothing.
Poco::JSON::Object::Ptr errorOf(const std::string &Body) {
  try {
    Poco::JSON::Parser Parser;
    const auto Whole = Parser.parse(Body).extract<Poco::JSON::Object::Ptr>();
    return Whole ? Whole->getObject("error") : nullptr;
  } catch (const std::exception &) { // Poco's exceptions included.
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
  ShortResponse Answer;
  for (int Next = In.rdbuf()->sbumpc(); Next != EOF;
       Next = In.rdbuf()->sbumpc()) {
    if (Answer.Body.size() >= Call.MaxResponseBytes)
      return failure(ErrorCode::Malformed, "the answer is too large");
    Answer.Body.push_back(static_cast<char>(Next));
  }
  Answer.Status = Response.getStatus();
  Answer.Leaving =
      reportsLeaving(Answer.Status, Response.get(DrainHeader, ""), Answer.Body);
  Answer.Bytes = Connection.receivedBytes() + Connection.sentBytes();
  return Answer;
}

} // namespace

Result<ShortResponse> runShortCall(const ShortCall &Call) {
  const TimePoint Deadline = Call.Time.now() + Call.Timeout;
  ConnectionCanceller Unused;
  bool Connected = false;
  try {
    BackendConnection Connection(Call.Address, Call.Timeout, Unused, Call.Time);
    Connected = true;
    Connection.setDeadline(Deadline);
    if (Call.SendPermission) {
      const auto Until = Call.SendPermission();
      if (!Until)
        return failure(ErrorCode::Denied, Call.Address + ": not sent");
      Connection.setDeadline(std::min(Deadline, *Until));
    }
    return exchange(Connection, Call);
  } catch (const Poco::TimeoutException &Late) {
    return failure(Connected ? ErrorCode::TimedOut : ErrorCode::Unreachable,
                   Call.Address + ": " + Late.displayText());
  } catch (const Poco::Exception &Broken) {
    return failure(Connected ? ErrorCode::Interrupted : ErrorCode::Unreachable,
                   Call.Address + ": " + Broken.displayText());
  } catch (const std::exception &Broken) {
    return failure(Connected ? ErrorCode::Interrupted : ErrorCode::Unreachable,
                   Call.Address + ": " + Broken.what());
  }
}

bool probeServer(const std::string &Address, const BackendSettings &Settings) {
  ShortCall Call;
  Call.Address = Address;
  Call.Path = HealthPath;
  Call.Timeout = Settings.ProbeTimeout;
  Call.Time = Settings.Time;
  const auto Answer = runShortCall(Call);
  return Answer && Answer->Status == Ok;
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
  const auto Answer = runShortCall(Call);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->Status != Ok)
    return failure(ErrorCode::Refused,
                   "the engine answered " + std::to_string(Answer->Status));
  return {};
}

bool reportsLeaving(int Status, const std::string &Header,
                    const std::string &Body) {
  if (Status != ServiceUnavailable)
    return false;
  if (Header == "true")
    return true;
  const auto Error = errorOf(Body);
  return Error && Error->optValue<std::string>("code", "") == "draining";
}

bool isPublishedError(const std::string &Body) {
  const auto Error = errorOf(Body);
  return Error && Error->has("message");
}

} // namespace parsleywing
