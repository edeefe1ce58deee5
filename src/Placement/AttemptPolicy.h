#ifndef PARSLEYWING_PLACEMENT_ATTEMPTPOLICY_H
#define PARSLEYWING_PLACEMENT_ATTEMPTPOLICY_H

#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"

#include <cstdint>

namespace parsleywing {

/// How one send of a request to a server ended.
enum class AttemptResult {
  Served,        ///< A whole success.
  ErrorResponse, ///< A whole answer that tells of a failure: it has run.
  NotSent,       ///< Nothing of it has left this router.
  NotRun,        ///< The server stated that it did not run it.
  NoResponse,    ///< No usable answer; it may have run.
  Truncated,     ///< The stream ended after some events had been passed on.
};

inline constexpr EnumNames<AttemptResult, 6> AttemptResultNames{{
    {AttemptResult::Served, "served"},
    {AttemptResult::ErrorResponse, "failure"},
    {AttemptResult::NotSent, "not-sent"},
    {AttemptResult::NotRun, "not-run"},
    {AttemptResult::NoResponse, "lost"},
    {AttemptResult::Truncated, "broken-off"},
}};

/// What is known of a request when a send has ended.
struct RequestProgress {
  /// A second server may run it.
  bool Repeatable = false;
  std::uint32_t MaxRuns = 1;
  /// Sends after which it may have run.
  std::uint32_t Runs = 0;
  std::uint32_t Attempts = 0;
  /// Something of an answer has been passed on to the caller.
  bool ResponseStarted = false;
  Duration TimeLeft{};
};

/// What comes next for a request.
enum class NextStep {
  Retry,         ///< To another server, or behind the last event.
  ForwardError,  ///< The server's own failure is the final answer.
  Refuse,        ///< Final answer: not run; the caller may come back.
  FailUncertain, ///< Final answer: it is not known whether it ran.
  Truncate,      ///< The answer has begun and cannot be finished.
  Done,          ///< It is served.
};

inline constexpr EnumNames<NextStep, 6> NextStepNames{{
    {NextStep::Retry, "send-again"},
    {NextStep::ForwardError, "pass-failure"},
    {NextStep::Refuse, "refuse"},
    {NextStep::FailUncertain, "fail-unknown"},
    {NextStep::Truncate, "cut-off"},
    {NextStep::Done, "done"},
}};

/// Whether the rules of the request let it be sent once more after a send that
/// ended so. Whether the retry allowance lets it is for the caller to ask.
bool mayRetry(const RequestProgress &Known, AttemptResult Ended);

/// Whether another send would count as a repeat at the service.
bool countsAsRetry(AttemptResult Ended);

/// What to do after a send, where `SendAgain` says whether another send is both
/// allowed and possible.
NextStep nextStep(const RequestProgress &Known, AttemptResult Ended,
                  bool SendAgain);

} // namespace parsleywing

#endif
