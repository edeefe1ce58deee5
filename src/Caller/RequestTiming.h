#ifndef PARSLEYWING_CALLER_REQUESTTIMING_H
#define PARSLEYWING_CALLER_REQUESTTIMING_H

#include "Decision/Request/RequestTypes.h"

#include <functional>
#include <optional>

namespace parsleywing {

/// Timings of one finished request, measured from the time its body was
/// received completely.
struct RequestTiming {
  AccountId Account;
  ServiceId Service;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  AttemptNumber Attempts = 0;
  std::uint64_t Tokens = 0;
  /// Until the first attempt started; unset if none did.
  std::optional<Duration> Queued;
  /// Until the first chunk of the response arrived; unset if none did.
  std::optional<Duration> FirstToken;
  Duration Total = Duration::zero();
};

/// Called by the thread that served the request, after its final response was
/// written. Must be cheap and must not throw.
using TimingObserver = std::function<void(const RequestTiming &)>;

} // namespace parsleywing

#endif
