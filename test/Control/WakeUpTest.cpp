#include "Control/ClaimFixture.h"

using namespace parsleywing::test;

// Guards against a request that is given up for a pause of its router: the
// threads that read from sockets and from the store wake up with the control
// thread, and post what arrived meanwhile just behind its look at the clock.
Test(ControlWakeUp, aTickWaitsForThreadsThatWakeUp, .timeout = 60) {
  ClaimFixture F;
  F.pause(3);
  cr_expect(!F.givenUp());
}
