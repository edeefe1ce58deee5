#include "Operator/OperatorClient.h"

#include "Operator/ValueChecks.h"

namespace parsleywing {

namespace {

constexpr int Ok = 200;
/// Maximum size of a response: the dump of a large fleet takes some MB.
constexpr std::size_t MaxResponseBytes = 64U << 20U;

} // namespace

Result<ShortResponse> OperatorClient::call(const std::string &Method,
                                           const std::string &Path,
                                           const std::string &Body) const {
  if (!isNumericAddress(this->Address))
    return failure(ErrorCode::InvalidInput,
                   "the address must be " + std::string(AddressRule) +
                       ", not '" + this->Address + "'");
  ShortCall Call;
  Call.Address = this->Address;
  Call.Method = Method;
  Call.Path = Path;
  Call.Body = Body;
  Call.Timeout = this->Timeout;
  Call.MaxResponseBytes = MaxResponseBytes;
  auto Received = runShortCall(Call);
  if (Received)
    return Received;
  const std::string Router = "the router at " + this->Address;
  if (Received.error().Code == ErrorCode::TimedOut)
    return failure(ErrorCode::TimedOut, Router + " does not answer");
  return failure(ErrorCode::Unreachable,
                 Router + " cannot be reached: " + Received.error().Message);
}

Result<std::string> OperatorClient::callForBody(const std::string &Method,
                                                const std::string &Path,
                                                const std::string &Body) const {
  const auto Received = this->call(Method, Path, Body);
  if (!Received)
    return tl::unexpected<Error>(Received.error());
  if (Received->Status != Ok)
    return failure(ErrorCode::Refused,
                   "the router at " + this->Address + " answered " +
                       std::to_string(Received->Status) + " to " + Path);
  return Received->Body;
}

Result<std::string> OperatorClient::get(const std::string &Path) const {
  return this->callForBody("GET", Path, "");
}

Result<std::string> OperatorClient::post(const std::string &Path,
                                         const std::string &Body) const {
  return this->callForBody("POST", Path, Body);
}

Result<std::string> OperatorClient::health() const {
  const auto Received = this->call("GET", "/health", "");
  if (!Received)
    return tl::unexpected<Error>(Received.error());
  return Received->Body;
}

} // namespace parsleywing
