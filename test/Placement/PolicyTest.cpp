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
  Known.MaxAttempts = 2;
  Known.Runs = Runs;
  Known.Sends = 1;
  Known.Left = 1s;
  return Known;
}

} // namespace

// Symptom: a request that may run once runs twice. Sequence: its server breaks
// off after it was sent, and it is sent to another. Cause: a broken connection
// was taken for "not run".
Test(AttemptPolicy, whatMayHaveRunIsNotSentAgainUnlessItMayBeRepeated) {
  cr_assert_not(maySendAgain(progress(false, 1), SendOutcome::Lost));
  cr_assert_not(maySendAgain(progress(false, 1), SendOutcome::Failure));
  cr_assert(maySendAgain(progress(true, 1), SendOutcome::Lost));
  cr_assert_not(maySendAgain(progress(true, 2), SendOutcome::Lost));
}

Test(AttemptPolicy, whatHasNotRunMayBeSentAgain) {
  cr_assert(maySendAgain(progress(false, 0), SendOutcome::NotRun));
  cr_assert(maySendAgain(progress(false, 0), SendOutcome::NotSent));
  RequestProgress Short = progress(false, 0);
  Short.Left = 5ms;
  cr_assert_not(maySendAgain(Short, SendOutcome::NotRun));
}

// Symptom: a caller is told "not run" of a request that has run, and sends it
// again. Cause: the last send decided, not all of them.
Test(AttemptPolicy, notRunIsOnlySaidWhereNoSendMayHaveRun) {
  cr_assert_eq(nextStep(progress(false, 0), SendOutcome::NotRun, false),
               NextStep::Refuse);
  cr_assert_eq(nextStep(progress(true, 1), SendOutcome::NotRun, false),
               NextStep::FailUnknown);
  cr_assert_eq(nextStep(progress(false, 1), SendOutcome::Lost, false),
               NextStep::FailUnknown);
}

Test(AttemptPolicy, aBegunAnswerIsCutAndNeverEndedAsWhole) {
  RequestProgress Known = progress(false, 1);
  Known.AnswerBegun = true;
  cr_assert_eq(nextStep(Known, SendOutcome::BrokenOff, false),
               NextStep::CutOff);
  cr_assert_eq(nextStep(Known, SendOutcome::Failure, false), NextStep::CutOff);
}

// Symptom: a service that fails gets twice its load. Sequence: each failure is
// sent once more by each router. Cause: no bound over all routers together.
Test(RetryAllowance, repeatsStayWithinTheRatioAndThePartOfTheSlack) {
  RetryAllowance Allowance({0.2, 10s, 50});
  for (int I = 0; I < 100; ++I)
    Allowance.noteRequest(at(1s));
  int Taken = 0;
  while (Allowance.take(at(2s), 5))
    ++Taken;
  // Three quarters of 0.2 * 100 + 50 / 5.
  cr_assert_eq(Taken, 22);
  cr_assert_not(Allowance.take(at(10s), 5));
  cr_assert(Allowance.take(at(13s), 5));
}
