#include "Placement/AttemptPolicy.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

namespace {

/// The maximum number of attempts of one request, including attempts that did
/// not run it. Each attempt costs some of the caller's time and work of a
/// server that refuses it. Three attempts are enough to reach another server
/// after a draining one and a full one.
constexpr std::uint32_t MaxAttempts = 4;

/// With less time left than this, another attempt cannot get a response.
constexpr Duration MinUsefulTime = std::chrono::milliseconds(20);

} // namespace

bool mayRetry(const RequestProgress &Progress, AttemptResult Result) {
  if (Progress.Attempts >= MaxAttempts || Progress.TimeLeft < MinUsefulTime)
    return false;
  switch (Result) {
  case AttemptResult::Served:
    return false;
  case AttemptResult::NotSent:
  case AttemptResult::NotRun:
    return true;
  case AttemptResult::ErrorResponse:
  case AttemptResult::NoResponse:
  case AttemptResult::Interrupted:
    return Progress.Repeatable &&
           Progress.Runs + (Progress.EarlierAttemptOpen ? 1 : 0) <
               Progress.MaxRuns;
  }
  return false;
}

NextStep nextStep(const RequestProgress &Progress, AttemptResult Result,
                  bool RetryPossible) {
  if (Result == AttemptResult::Served)
    return NextStep::Done;
  if (RetryPossible) {
    PARSLEYWING_INVARIANT(Progress.Repeatable || Progress.Runs == 0,
                          "a request that may run at most once is not sent "
                          "again after it may have run");
    return NextStep::Retry;
  }
  if (Progress.EarlierAttemptOpen)
    return NextStep::KeepWaiting;
  if (Progress.ResponseStarted)
    return NextStep::Truncate;
  if (Result == AttemptResult::ErrorResponse)
    return NextStep::ForwardError;
  return Progress.Runs == 0 ? NextStep::Refuse : NextStep::FailUncertain;
}

} // namespace parsleywing
