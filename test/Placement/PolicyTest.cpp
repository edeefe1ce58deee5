#include "Placement/AttemptPolicy.h"
#include "Placement/RetryAllowance.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Time) { return TimePoint(Time); }

RequestProgress progress(bool Repeatable, std::uint32_t Runs) {
  RequestProgress Known;
  Known.Repeatable = Repeatable;
  Known.MaxRuns = 2;
  Known.Runs = Runs;
  Known.Attempts = 1;
  Known.TimeLeft = 1s;
  return Known;
}

} // namespace

// Symptom: a request that may run once runs twice. Sequence: its server breaks
// off after it was sent, and it is sent to another. Cause: a broken connection
// was taken for "not run".
Test(AttemptPolicy, whatMayHaveRunIsNotSentAgainUnlessItMayBeRepeated) {
  cr_assert_not(mayRetry(progress(false, 1), AttemptResult::NoResponse));
  cr_assert_not(mayRetry(progress(false, 1), AttemptResult::ErrorResponse));
  cr_assert(mayRetry(progress(true, 1), AttemptResult::NoResponse));
  cr_assert_not(mayRetry(progress(true, 2), AttemptResult::NoResponse));
}

Test(AttemptPolicy, whatHasNotRunMayBeSentAgain) {
  cr_assert(mayRetry(progress(false, 0), AttemptResult::NotRun));
  cr_assert(mayRetry(progress(false, 0), AttemptResult::NotSent));
  RequestProgress Short = progress(false, 0);
  Short.TimeLeft = 5ms;
  cr_assert_not(mayRetry(Short, AttemptResult::NotRun));
}

// Symptom: a caller is told "not run" of a request that has run, and sends it
// again. Cause: the last send decided, not all of them.
Test(AttemptPolicy, notRunIsOnlySaidWhereNoSendMayHaveRun) {
  cr_assert_eq(nextStep(progress(false, 0), AttemptResult::NotRun, false),
               NextStep::Refuse);
  cr_assert_eq(nextStep(progress(true, 1), AttemptResult::NotRun, false),
               NextStep::FailUncertain);
  cr_assert_eq(nextStep(progress(false, 1), AttemptResult::NoResponse, false),
               NextStep::FailUncertain);
}

Test(AttemptPolicy, aBegunAnswerIsCutAndNeverEndedAsWhole) {
  RequestProgress Known = progress(false, 1);
  Known.ResponseStarted = true;
  cr_assert_eq(nextStep(Known, AttemptResult::Truncated, false),
               NextStep::Truncate);
  cr_assert_eq(nextStep(Known, AttemptResult::ErrorResponse, false),
               NextStep::Truncate);
}

// Symptom: a service that fails gets twice its load. Sequence: each failure is
// sent once more by each router. Cause: no bound over all routers together.
Test(RetryAllowance, repeatsStayWithinTheRatioAndThePartOfTheSlack) {
  RetryAllowance Allowance({0.2, 10s, 50});
  for (int I = 0; I < 100; ++I)
    Allowance.recordRequest(at(1s));
  int Taken = 0;
  while (Allowance.tryAcquire(at(2s), 5))
    ++Taken;
  // Three quarters of 0.2 * 100 + 50 / 5.
  cr_assert_eq(Taken, 22);
  cr_assert_not(Allowance.tryAcquire(at(10s), 5));
  cr_assert(Allowance.tryAcquire(at(13s), 5));
}
