#ifndef PARSLEYWING_PLACEMENT_ATTEMPTPOLICY_H
#define PARSLEYWING_PLACEMENT_ATTEMPTPOLICY_H

#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"

#include <cstdint>

namespace parsleywing {

/// How one attempt to send a request to a server ended.
enum class AttemptResult {
  Served,        ///< A complete, successful response.
  ErrorResponse, ///< A complete error response: the request has run.
  NotSent,       ///< No byte of the request has left this router.
  NotRun,        ///< The server stated that it did not run the request.
  NoResponse,    ///< No usable response; the request may have run.
  Interrupted,   ///< The stream broke after some events had been forwarded.
};

inline constexpr EnumNames<AttemptResult, 6> AttemptResultNames{{
    {AttemptResult::Served, "served"},
    {AttemptResult::ErrorResponse, "failure"},
    {AttemptResult::NotSent, "not-sent"},
    {AttemptResult::NotRun, "not-run"},
    {AttemptResult::NoResponse, "lost"},
    {AttemptResult::Interrupted, "broken-off"},
}};

/// The state of a request after an attempt has ended.
struct RequestProgress {
  /// More than one server may run the request.
  bool Repeatable = false;
  /// The maximum of `Runs`.
  std::uint32_t MaxRuns = 1;
  /// The number of attempts that may have run the request.
  std::uint32_t Runs = 0;
  std::uint32_t Attempts = 0;
  /// An earlier attempt is still open, at a server that has stopped responding.
  /// It is not one of `Runs`.
  bool EarlierAttemptOpen = false;
  /// Part of a response has been forwarded to the caller.
  bool ResponseStarted = false;
  Duration TimeLeft{};
};

/// The next step for a request after an attempt.
enum class NextStep {
  Retry,         ///< Try another server, or resume after the last event.
  ForwardError,  ///< Forward the server's error response to the caller.
  Refuse,        ///< Reply that the request has not run and may be retried.
  FailUncertain, ///< Reply that the request may or may not have run.
  Truncate,      ///< Abort a response that has started.
  KeepWaiting,   ///< Wait for the earlier attempt that is still open.
  Done,          ///< The request has been served.
};

inline constexpr EnumNames<NextStep, 7> NextStepNames{{
    {NextStep::Retry, "send-again"},
    {NextStep::ForwardError, "pass-failure"},
    {NextStep::Refuse, "refuse"},
    {NextStep::FailUncertain, "fail-unknown"},
    {NextStep::Truncate, "cut-off"},
    {NextStep::KeepWaiting, "keep-waiting"},
    {NextStep::Done, "done"},
}};

/// Whether the request itself permits another attempt after this result. The
/// code that calls this must also check the service's `RetryAllowance`.
bool mayRetry(const RequestProgress &Progress, AttemptResult Result);

/// The next step after an attempt. `RetryPossible` states whether another
/// attempt is both permitted and possible.
NextStep nextStep(const RequestProgress &Progress, AttemptResult Result,
                  bool RetryPossible);

} // namespace parsleywing

#endif
