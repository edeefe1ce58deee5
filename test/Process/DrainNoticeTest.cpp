#include "Process/Fleet.h"

#include <criterion/criterion.h>

using namespace parsleywing::test;

namespace {

constexpr int RouterCount = 2;

void callAllRouters(const TestFleet &Fleet, int Times) {
  for (int I = 0; I < Times; ++I)
    for (int Router = 0; Router < RouterCount; ++Router) {
      const CallResult Result = sendCall(Fleet.callerAddress(Router), {});
      cr_assert(Result.isComplete(3), "%s", Result.describe().c_str());
    }
}

bool callUntilArrivalAt(const TestFleet &Fleet, int Engine) {
  const int Before = Fleet.arrivalsAt(Engine);
  return waitUntil([&] {
    callAllRouters(Fleet, 1);
    return Fleet.arrivalsAt(Engine) > Before;
  });
}

} // namespace

// Guards against new requests to an engine that still serves, but states in its
// responses that it drains, while the store is away.
Test(DrainNotice, inASuccessfulResponseIsHeeded, .timeout = 120) {
  const TestFleet Fleet({.Routers = RouterCount, .Engines = 2});
  cr_assert(Fleet.ready());
  cr_assert(callUntilArrivalAt(Fleet, 0));
  Fleet.storeFaults(R"({"awayMs":60000})");
  Fleet.engineFaults(0, R"({"leaving_served":true})");
  cr_assert(callUntilArrivalAt(Fleet, 0));
  // A request of the other router may be on its way.
  callAllRouters(Fleet, 1);
  const int Before = Fleet.arrivalsAt(0);
  callAllRouters(Fleet, 20);
  cr_assert_eq(Fleet.arrivalsAt(0), Before);
}
