#ifndef PARSLEYWING_CALLER_REQUESTTIMING_H
#define PARSLEYWING_CALLER_REQUESTTIMING_H

#include "Decision/Request/RequestTypes.h"

#include <functional>
#include <optional>

namespace parsleywing {

/// The times of one request that got its final answer, each measured from the
/// moment its body was whole.
struct RequestTiming {
  AccountId Account;
  ServiceId Service;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  AttemptNumber Attempts = 0;
  std::uint64_t Tokens = 0;
  /// Until the first attempt began; nothing where none did.
  std::optional<Duration> Queued;
  /// Until the first piece of the answer came; nothing where none did.
  std::optional<Duration> FirstToken;
  Duration Total = Duration::zero();
};

/// Called by the thread that served the request, after its final answer was
/// written. It must be cheap and must not throw.
using TimingObserver = std::function<void(const RequestTiming &)>;

} // namespace parsleywing

#endif
