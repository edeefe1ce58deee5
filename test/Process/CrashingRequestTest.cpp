#include "Process/Fleet.h"

#include <criterion/criterion.h>

using namespace parsleywing::test;

namespace {

constexpr int Engines = 10;
/// The servers that one request may crash: three, plus three further attempts.
constexpr int MaxCrashed = 6;
constexpr int Attempts = 20;
/// A token count that no other request uses.
constexpr int Tokens = 77;

int crashedEngines(const TestFleet &Fleet) {
  int Count = 0;
  for (int Engine = 0; Engine < Engines; ++Engine)
    Count += httpGet(Fleet.engineAddress(Engine), "/health").empty() ? 1 : 0;
  return Count;
}

} // namespace

// Guards against retries of a request that crash one engine after the other.
Test(CrashingRequest, doesNotTakeOneEngineAfterTheOther, .timeout = 120) {
  TestFleet Fleet({.Routers = 2, .Engines = Engines});
  cr_assert(Fleet.ready());
  for (int Engine = 0; Engine < Engines; ++Engine)
    Fleet.engineFaults(Engine,
                       R"({"crash_on":"tokens=77","back_after_ms":100000})");
  for (int Attempt = 0; Attempt < Attempts; ++Attempt)
    sendCall(Fleet.callerAddress(Attempt % 2),
             {.Tokens = Tokens, .Stream = false, .TimeoutSeconds = 2});
  cr_assert_leq(crashedEngines(Fleet), MaxCrashed, "%d engines crashed",
                crashedEngines(Fleet));
}
