#include "Process/Fleet.h"

#include <criterion/criterion.h>

using namespace parsleywing::test;

namespace {

constexpr int Engines = 10;
/// Servers that a request may cost: three, and three further sends.
constexpr int MostLost = 6;
constexpr int Attempts = 20;
/// No other request asks for as many.
constexpr int Tokens = 77;

int lostEngines(const TestFleet &Fleet) {
  int Lost = 0;
  for (int Engine = 0; Engine < Engines; ++Engine)
    Lost += getFrom(Fleet.engineAddress(Engine), "/health").empty() ? 1 : 0;
  return Lost;
}

} // namespace

// Guards against repeats of a request that crash one engine after the other.
Test(CrashingRequest, doesNotTakeOneEngineAfterTheOther, .timeout = 120) {
  TestFleet Fleet({.Routers = 2, .Engines = Engines});
  cr_assert(Fleet.ready());
  for (int Engine = 0; Engine < Engines; ++Engine)
    Fleet.engineFaults(Engine,
                       R"({"crash_on":"tokens=77","back_after_ms":100000})");
  for (int Attempt = 0; Attempt < Attempts; ++Attempt)
    sendCall(Fleet.callers(Attempt % 2),
             {.Tokens = Tokens, .Stream = false, .TimeoutSeconds = 2});
  cr_assert_leq(lostEngines(Fleet), MostLost, "%d engines lost",
                lostEngines(Fleet));
}
