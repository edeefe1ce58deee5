#include "Process/Fleet.h"

#include <chrono>
#include <criterion/criterion.h>
#include <cstdlib>

using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Requests that may reach an engine after it has asked for a pause, as they
/// were on their way.
constexpr int AllowedArrivals = 2;
/// Longer than a refusal takes, and shorter than any wait for an engine.
constexpr auto Promptly = 500ms;

} // namespace

// Guards against repeated requests to an engine that has asked for a pause.
Test(EnginePause, isKeptByTheRouter, .timeout = 120) {
  const TestFleet Fleet({.Routers = 1, .Engines = 2});
  cr_assert(Fleet.ready());
  Fleet.engineFaults(0, R"({"refuse":true,"pause_s":30})");
  cr_assert(waitUntil([&] {
    sendCall(Fleet.callerAddress(0), {});
    return Fleet.arrivalsAt(0) > 0;
  }));
  const int Before = Fleet.arrivalsAt(0);
  for (int I = 0; I < 30; ++I) {
    const CallResult Result = sendCall(Fleet.callerAddress(0), {});
    cr_assert(Result.isComplete(3), "%s", Result.describe().c_str());
  }
  cr_assert_leq(Fleet.arrivalsAt(0), Before + AllowedArrivals);
}

// Guards against a pause that never ends.
Test(EnginePause, ends, .timeout = 120) {
  const TestFleet Fleet({.Routers = 1, .Engines = 2});
  cr_assert(Fleet.ready());
  Fleet.engineFaults(0, R"({"refuse":true,"pause_s":2})");
  cr_assert(waitUntil([&] {
    sendCall(Fleet.callerAddress(0), {});
    return Fleet.arrivalsAt(0) > 0;
  }));
  Fleet.engineFaults(0, "{}");
  const int Before = Fleet.arrivalsAt(0);
  cr_assert(waitUntil([&] {
    sendCall(Fleet.callerAddress(0), {});
    return Fleet.arrivalsAt(0) > Before;
  }));
}

// Guards against requests that are held while all engines have asked for a
// pause.
Test(EnginePause, requestIsRefusedAtOnceIfAllEnginesArePaused, .timeout = 120) {
  const TestFleet Fleet({.Routers = 1, .Engines = 2});
  cr_assert(Fleet.ready());
  for (const int Engine : {0, 1})
    Fleet.engineFaults(Engine, R"({"refuse":true,"pause_s":30})");
  cr_assert(waitUntil([&] {
    sendCall(Fleet.callerAddress(0), {.TimeoutSeconds = 2});
    return Fleet.arrivalsAt(0) > 0 && Fleet.arrivalsAt(1) > 0;
  }));
  const int Before = Fleet.arrivalsAt(0) + Fleet.arrivalsAt(1);
  for (int I = 0; I < 5; ++I) {
    const CallResult Result =
        sendCall(Fleet.callerAddress(0), {.TimeoutSeconds = 5});
    cr_assert_eq(Result.Status, 503, "%s", Result.describe().c_str());
    cr_assert_lt(Result.Elapsed, Promptly, "%s", Result.describe().c_str());
    cr_assert_geq(std::atoi(Result.RetryAfter.c_str()), 10, "%s",
                  Result.describe().c_str());
  }
  cr_assert_eq(Fleet.arrivalsAt(0) + Fleet.arrivalsAt(1), Before);
}
