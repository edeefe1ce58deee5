#include "Process/Fleet.h"

#include "Program/ExitCode.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
#include <deque>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

using Calls = std::deque<std::future<CallResult>>;

std::future<CallResult> startCall(const std::string &Address, const Call &C) {
  return std::async(std::launch::async,
                    [Address, C] { return sendCall(Address, C); });
}

int countReady(const Calls &Of) {
  return static_cast<int>(std::ranges::count_if(Of, [](const auto &Each) {
    return Each.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
  }));
}

int codeOf(ExitCode Code) { return static_cast<int>(Code); }

} // namespace

namespace {

/// Whether a waiting request of a drained router was refused as it should be.
bool isRefusal(const CallResult &Got) {
  constexpr int Unavailable = 503;
  return Got.Status == Unavailable && Got.Outcome == "not-run" &&
         Got.FinalAnswers == 1 && !Got.RetryAfter.empty();
}

/// Six requests, half of them keyed and not repeatable.
Calls startWaiting(const TestFleet &Fleet) {
  Calls Waiting;
  for (int Number = 0; Number < 6; ++Number)
    Waiting.push_back(
        startCall(Fleet.callers(0),
                  {.Service = Number % 2 == 0 ? "advisory" : "batch",
                   .IdempotencyKey = "waits-" + std::to_string(Number)}));
  return Waiting;
}

/// Drains router 0 while two streams run at the only engine and six requests
/// wait. The engine holds the streams half-way until the drained router holds
/// nothing but them, so no slot falls free for what waits, however long the
/// second stream or a look at the engine takes.
void drainUnderLoad(TestFleet &Fleet) {
  const int Others = static_cast<int>(Fleet.routers()) - 1;
  Fleet.engineFaults(0, R"({"hold_after":100})");
  Calls Streams;
  for (int Number = 0; Number < 2; ++Number)
    Streams.push_back(startCall(Fleet.callers(0), {.Tokens = 200}));
  cr_assert(waitUntil([&] { return Fleet.running() == 2; }));
  Calls Waiting = startWaiting(Fleet);
  cr_assert(waitUntil([&] { return Fleet.openAt(0) == 8; }));
  Fleet.router(0).signal(SIGTERM);
  cr_assert(waitUntil([&] {
    const int HandedOver = Others == 0 ? 0 : Fleet.openAt(1);
    return HandedOver + countReady(Waiting) == 6;
  }));
  cr_assert_eq(countReady(Streams), 0);
  const CallResult Late = sendCall(Fleet.callers(0), {});
  cr_assert(Late.Status == 0 || isRefusal(Late), "%s", Late.describe().c_str());
  Fleet.engineFaults(0, "{}");
  for (auto &Each : Streams) {
    const CallResult Got = Each.get();
    cr_assert(Got.isWhole(200), "%s", Got.describe().c_str());
  }
  for (auto &Each : Waiting) {
    const CallResult Got = Each.get();
    cr_assert(isRefusal(Got) || (Others > 0 && Got.isWhole(3)), "%s",
              Got.describe().c_str());
    cr_assert(!isRefusal(Got) || Fleet.executionsOfRequest(Got.RequestId) == 0);
  }
  cr_assert_eq(Fleet.router(0).wait(), codeOf(ExitCode::Success));
}

} // namespace

// Symptom: callers lose answers, or wait for nothing, when a router is
// replaced.
// Sequence: a router with two streams and six waiting requests is told to stop,
// alone, and beside another router, where the keys are then repeated.
// Cause: the drain cuts streams, or holds what waits until its own end.
Test(Drain, StreamsEndWholeAndWhatWaitsIsDecidedAtOnce) {
  TestFleet Alone({.Routers = 1, .Engines = 1, .MaxConcurrent = 2});
  cr_assert(Alone.ready());
  drainUnderLoad(Alone);
}

Test(Drain, WhatWaitedRunsOnceInAllAtAnotherRouter) {
  TestFleet Fleet({.Engines = 1, .MaxConcurrent = 2});
  cr_assert(Fleet.ready());
  drainUnderLoad(Fleet);
  for (int Number = 1; Number < 6; Number += 2) {
    const std::string Key = "waits-" + std::to_string(Number);
    const int Before = Fleet.executionsOfKey(Key);
    const CallResult Again =
        sendCall(Fleet.callers(1), {.Service = "batch", .IdempotencyKey = Key});
    cr_assert(Before == 1 ? Again.Reason == "already-run" : Again.isWhole(3),
              "%s", Again.describe().c_str());
    cr_assert_eq(Fleet.executionsOfKey(Key), 1);
  }
}

// Symptom: a router that is to be replaced never ends, or ends as if nothing
// had been lost.
// Sequence: an operator drains a router whose engine stands still, with a limit
// of one second.
// Cause: no limit to the drain, or an end that is not reported.
// Fails without DrainPlan::takeHardLimit. (Run on a scratch copy.)
Test(Drain, TheHardLimitCutsAndReports) {
  TestFleet Fleet({.Routers = 1,
                   .Engines = 1,
                   .Settings = "[requests]\ndrain_limit_seconds = 1\n"});
  cr_assert(Fleet.ready());
  auto Stream = startCall(Fleet.callers(0), {.Tokens = 2000});
  cr_assert(waitUntil([&] { return Fleet.running() == 1; }));
  Fleet.engineFaults(0, R"({"stall":true})");
  ChildProcess Command("parsleywing", {"drain", "--router", Fleet.operators(0)},
                       Fleet.folder().path("drain.log"));
  cr_assert_eq(Command.wait(), codeOf(ExitCode::Success));
  const CallResult Got = Stream.get();
  cr_assert_eq(Got.Outcome, "unknown", "%s", Got.describe().c_str());
  cr_assert_eq(Got.FinalAnswers, 1, "%s", Got.describe().c_str());
  cr_assert_eq(Fleet.router(0).wait(), codeOf(ExitCode::Unfinished));
}

// Symptom: one account's flood makes the others' requests fail or wait.
// Sequence: an account that may have four requests waiting sends forty at
// once, long ones; another account calls meanwhile.
// Cause: a limit that is not kept, or one that the accounts share.
// Fails without the account's limit in LoadShedder::decide: all forty were
// taken in. (Run on a scratch copy.)
Test(Limits, AFloodingAccountIsRefusedAndTheOtherServed) {
  TestFleet Fleet({.Routers = 1,
                   .Engines = 1,
                   .AccountLines = "max_queued_requests = 4\n",
                   .MaxConcurrent = 2});
  cr_assert(Fleet.ready());
  Calls Flood;
  for (int Number = 0; Number < 40; ++Number)
    Flood.push_back(
        startCall(Fleet.callers(0), {.Account = "gulf", .Tokens = 150}));
  cr_assert(waitUntil([&] { return Fleet.running() == 2; }));
  for (int Number = 0; Number < 3; ++Number) {
    const CallResult Got = sendCall(Fleet.callers(0), {});
    cr_assert(Got.isWhole(3), "%s", Got.describe().c_str());
  }
  int Refused = 0;
  for (auto &Each : Flood) {
    const CallResult Got = Each.get();
    if (Got.isWhole(150))
      continue;
    ++Refused;
    cr_assert_eq(Got.Status, 429, "%s", Got.describe().c_str());
    cr_assert_eq(Got.Outcome, "not-run", "%s", Got.describe().c_str());
    cr_assert_neq(Got.RetryAfter, "", "%s", Got.describe().c_str());
  }
  cr_assert_geq(Refused, 20);
}
