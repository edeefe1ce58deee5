#include "Placement/AttemptPolicy.h"
#include "Placement/RetryAllowance.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

TimePoint timeAt(Duration Time) { return TimePoint(Time); }

RequestProgress progress(bool Repeatable, std::uint32_t Runs) {
  RequestProgress Progress;
  Progress.Repeatable = Repeatable;
  Progress.MaxRuns = 2;
  Progress.Runs = Runs;
  Progress.Attempts = 1;
  Progress.TimeLeft = 1s;
  return Progress;
}

} // namespace

// Guards against running a request twice that may run only once: its connection
// breaks after it was sent, this is mistaken for "not run", and the request is
// sent to another server.
Test(AttemptPolicy, retriesARequestThatMayHaveRunOnlyIfRepeatable) {
  cr_assert_not(mayRetry(progress(false, 1), AttemptResult::NoResponse));
  cr_assert_not(mayRetry(progress(false, 1), AttemptResult::ErrorResponse));
  cr_assert(mayRetry(progress(true, 1), AttemptResult::NoResponse));
  cr_assert_not(mayRetry(progress(true, 2), AttemptResult::NoResponse));
}

Test(AttemptPolicy, retriesARequestThatHasNotRun) {
  cr_assert(mayRetry(progress(false, 0), AttemptResult::NotRun));
  cr_assert(mayRetry(progress(false, 0), AttemptResult::NotSent));
  RequestProgress WithoutTime = progress(false, 0);
  WithoutTime.TimeLeft = 5ms;
  cr_assert_not(mayRetry(WithoutTime, AttemptResult::NotRun));
}

// Guards against telling a caller that a request has not run, so that the
// caller repeats it, although an earlier attempt may have run it.
Test(AttemptPolicy, reportsNotRunOnlyIfNoAttemptMayHaveRun) {
  cr_assert_eq(nextStep(progress(false, 0), AttemptResult::NotRun, false),
               NextStep::Refuse);
  cr_assert_eq(nextStep(progress(true, 1), AttemptResult::NotRun, false),
               NextStep::FailUncertain);
  cr_assert_eq(nextStep(progress(false, 1), AttemptResult::NoResponse, false),
               NextStep::FailUncertain);
}

// Guards against ending a request while an earlier attempt may still get its
// response, and against running it at more servers than permitted.
Test(AttemptPolicy, keepsWaitingForAnEarlierAttemptThatIsOpen) {
  for (const bool ResponseStarted : {false, true})
    for (const AttemptResult Result :
         {AttemptResult::NotSent, AttemptResult::NotRun,
          AttemptResult::NoResponse, AttemptResult::Interrupted,
          AttemptResult::ErrorResponse}) {
      RequestProgress Progress = progress(true, 1);
      Progress.EarlierAttemptOpen = true;
      Progress.ResponseStarted = ResponseStarted;
      cr_assert_eq(nextStep(Progress, Result, false), NextStep::KeepWaiting);
    }
  RequestProgress Progress = progress(true, 1);
  Progress.EarlierAttemptOpen = true;
  cr_assert_not(mayRetry(Progress, AttemptResult::NoResponse));
  Progress.Runs = 0;
  cr_assert(mayRetry(Progress, AttemptResult::NoResponse));
}

Test(AttemptPolicy, truncatesAStartedResponse) {
  RequestProgress Progress = progress(false, 1);
  Progress.ResponseStarted = true;
  cr_assert_eq(nextStep(Progress, AttemptResult::Interrupted, false),
               NextStep::Truncate);
  cr_assert_eq(nextStep(Progress, AttemptResult::ErrorResponse, false),
               NextStep::Truncate);
}

// Guards against doubling the load of a failing service, which happens if each
// router retries each failure without a limit for all routers together.
Test(RetryAllowance, limitsRetriesToTheRatioOfEarlierRequests) {
  RetryAllowance Allowance({0.2, 10s, 50});
  FleetShare Unlisted("r", 10s);
  const auto CountRetries = [&](Duration Time) {
    int Count = 0;
    for (; Allowance.tryReserve(timeAt(Time), Unlisted); ++Count)
      Allowance.settle(timeAt(Time));
    return Count;
  };
  for (int I = 0; I < 100; ++I)
    Allowance.recordRequest(timeAt(1s));
  // The current part of 0.2 * 100, then the earlier part.
  cr_assert_eq(CountRetries(2s), 8);
  cr_assert_eq(CountRetries(10s), 0);
  cr_assert_eq(CountRetries(11500ms), 0);
  cr_assert_eq(CountRetries(30s), 0);
  for (int I = 0; I < 100; ++I)
    Allowance.recordRequest(timeAt(40s));
  cr_assert_eq(CountRetries(49900ms), 8);
}
