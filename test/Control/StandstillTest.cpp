#include "Control/ClaimFixture.h"

using namespace parsleywing::test;

// Guards against a request that is given up for a pause of its router: the
// reply waits in the control thread's queue, and the tick that finds the claim
// overdue runs first.
Test(ControlStandstill, aTickRunsBehindWhatWasPosted, .timeout = 60) {
  ClaimFixture F;
  F.pause(0);
  cr_expect(!F.givenUp());
}
