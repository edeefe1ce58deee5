#ifndef PARSLEYWING_OPERATOR_OPERATORCLIENT_H
#define PARSLEYWING_OPERATOR_OPERATORCLIENT_H

#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <string>

namespace parsleywing {

/// Speaks to the operator address of a router. Each call opens a connection
/// and blocks for its answer; each step of it at most for the patience.
class OperatorClient {
public:
  /// `A` is a numeric host and port.
  explicit OperatorClient(std::string A,
                          Duration Patience = std::chrono::seconds(5))
      : Address(std::move(A)), Patience(Patience) {}

  /// The body of a 200 answer. `InvalidInput` for a wrong address,
  /// `Unreachable` where nobody listens, `TimedOut` where no answer came,
  /// `Refused` for every other status.
  Result<std::string> get(const std::string &Path) const;
  Result<std::string> post(const std::string &Path,
                           const std::string &Body = "") const;

  /// The body of `/health`, also while the router drains.
  Result<std::string> health() const;

private:
  struct Answer {
    int Status;
    std::string Body;
  };
  Result<Answer> call(const std::string &Method, const std::string &Path,
                      const std::string &Body) const;
  Result<std::string> callForBody(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body) const;

  std::string Address;
  Duration Patience;
};

} // namespace parsleywing

#endif
