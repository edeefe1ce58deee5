#include "Decision/RequestHarness.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using std::chrono::seconds;

namespace {

constexpr RequestId First{1};

/// The longest limit on the progress of an attempt at an engine.
constexpr Duration Silence = seconds(30);

} // namespace

// Guards against a request that is given up for silence, minutes before its
// deadline, because no retry is left to send it elsewhere: its server, which
// may go on, is cancelled before the retry is asked for.
Test(RequestSilence, aSilentAttemptGoesOnIfTheBudgetHasNoRetryForIt) {
  RequestSettings S;
  S.Retry.BudgetFraction = 0;
  S.Retry.BudgetFloorPerSecond = 0;
  RequestHarness H(S);
  H.admit(H.makeRequest(1));
  H.send(AttemptSent{First, 1});
  H.tickAfter(Silence);
  if (H.action<CancelAttempt>())
    H.send(AttemptEnded{First, 1, AttemptOutcome::Cancelled, 0});
  cr_assert(!H.action<FinishRequest>());
}
