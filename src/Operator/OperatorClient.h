#ifndef PARSLEYWING_OPERATOR_OPERATORCLIENT_H
#define PARSLEYWING_OPERATOR_OPERATORCLIENT_H

#include "Backend/ShortCall.h"
#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <string>

namespace parsleywing {

/// An HTTP client for the operator address of a router. Each call opens a
/// connection and blocks until the response is complete, for at most the
/// timeout. A response that ends early or is malformed is none.
class OperatorClient {
public:
  /// `A` is a numeric host and port.
  explicit OperatorClient(std::string A,
                          Duration Timeout = std::chrono::seconds(5))
      : Address(std::move(A)), Timeout(Timeout) {}

  /// Returns the body of a response with status 200. Fails with `InvalidInput`
  /// for an invalid address, `Unreachable` if nothing listens there, `TimedOut`
  /// if no response arrives in time, and `Refused` for every other status.
  Result<std::string> get(const std::string &Path) const;
  Result<std::string> post(const std::string &Path,
                           const std::string &Body = "") const;

  /// Returns the body of `/health`, whatever the status. While the router
  /// drains, the status is 503.
  Result<std::string> health() const;

private:
  Result<ShortResponse> call(const std::string &Method, const std::string &Path,
                             const std::string &Body) const;
  Result<std::string> callForBody(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body) const;

  std::string Address;
  Duration Timeout;
};

} // namespace parsleywing

#endif
