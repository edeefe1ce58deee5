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

int countFinished(const Calls &Requests) {
  return static_cast<int>(
      std::ranges::count_if(Requests, [](const auto &Pending) {
        return Pending.wait_for(std::chrono::seconds(0)) ==
               std::future_status::ready;
      }));
}

int toInt(ExitCode Code) { return static_cast<int>(Code); }

} // namespace

namespace {

/// Whether a waiting request of a drained router was refused correctly.
bool isRefusal(const CallResult &Result) {
  constexpr int Unavailable = 503;
  return Result.Status == Unavailable && Result.Outcome == "not-run" &&
         Result.FinalResponses == 1 && !Result.RetryAfter.empty();
}

/// Starts six requests. Half of them have an idempotency key and are not
/// repeatable.
Calls startWaiting(const TestFleet &Fleet) {
  Calls Waiting;
  for (int Number = 0; Number < 6; ++Number)
    Waiting.push_back(
        startCall(Fleet.callerAddress(0),
                  {.Service = Number % 2 == 0 ? "advisory" : "batch",
                   .IdempotencyKey = "waits-" + std::to_string(Number)}));
  return Waiting;
}

/// Drains router 0 while two streams run at the only engine and six requests
/// wait. The engine holds the streams half-way until the drained router has no
/// other requests left, so that no slot becomes free for a waiting request,
/// however long the start of the second stream or a poll of the engine takes.
void drainUnderLoad(TestFleet &Fleet) {
  const int OtherRouters = static_cast<int>(Fleet.routers()) - 1;
  Fleet.engineFaults(0, R"({"hold_after":100})");
  Calls Streams;
  for (int Number = 0; Number < 2; ++Number)
    Streams.push_back(startCall(Fleet.callerAddress(0), {.Tokens = 200}));
  cr_assert(waitUntil([&] { return Fleet.running() == 2; }));
  Calls Waiting = startWaiting(Fleet);
  cr_assert(waitUntil([&] { return Fleet.openRequestsAt(0) == 8; }));
  Fleet.router(0).signal(SIGTERM);
  cr_assert(waitUntil([&] {
    const int HandedOver = OtherRouters == 0 ? 0 : Fleet.openRequestsAt(1);
    return HandedOver + countFinished(Waiting) == 6;
  }));
  cr_assert_eq(countFinished(Streams), 0);
  const CallResult LateResult = sendCall(Fleet.callerAddress(0), {});
  cr_assert(LateResult.Status == 0 || isRefusal(LateResult), "%s",
            LateResult.describe().c_str());
  Fleet.engineFaults(0, "{}");
  for (auto &Pending : Streams) {
    const CallResult Result = Pending.get();
    cr_assert(Result.isComplete(200), "%s", Result.describe().c_str());
  }
  for (auto &Pending : Waiting) {
    const CallResult Result = Pending.get();
    cr_assert(isRefusal(Result) || (OtherRouters > 0 && Result.isComplete(3)),
              "%s", Result.describe().c_str());
    cr_assert(!isRefusal(Result) ||
              Fleet.executionsOfRequest(Result.RequestId) == 0);
  }
  cr_assert_eq(Fleet.router(0).wait(), toInt(ExitCode::Success));
}

} // namespace

// Guards against lost responses and pointless waits when a router is replaced:
// a router with two streams and six waiting requests is told to stop, once
// alone and once next to another router, where the keys are then retried. The
// drain must neither truncate streams nor hold waiting requests until it ends.
Test(Drain, StreamsCompleteAndWaitingRequestsAreRefusedAtOnce) {
  TestFleet Alone({.Routers = 1, .Engines = 1, .MaxConcurrent = 2});
  cr_assert(Alone.ready());
  drainUnderLoad(Alone);
}

Test(Drain, WaitingRequestsRunOnceAtAnotherRouter) {
  TestFleet Fleet({.Engines = 1, .MaxConcurrent = 2});
  cr_assert(Fleet.ready());
  drainUnderLoad(Fleet);
  for (int Number = 1; Number < 6; Number += 2) {
    const std::string Key = "waits-" + std::to_string(Number);
    const int RunsBefore = Fleet.executionsOfKey(Key);
    const CallResult Retry = sendCall(
        Fleet.callerAddress(1), {.Service = "batch", .IdempotencyKey = Key});
    cr_assert(RunsBefore == 1 ? Retry.Reason == "already-run"
                              : Retry.isComplete(3),
              "%s", Retry.describe().c_str());
    cr_assert_eq(Fleet.executionsOfKey(Key), 1);
  }
}

// Guards against a drain that never ends or that does not report lost requests:
// an operator drains a router whose engine has stalled, with a limit of one
// second. Fails without DrainPlan::checkHardLimit.
Test(Drain, TheHardLimitEndsRequestsAndIsReported) {
  TestFleet Fleet({.Routers = 1,
                   .Engines = 1,
                   .Settings = "[requests]\ndrain_limit_seconds = 1\n"});
  cr_assert(Fleet.ready());
  auto Stream = startCall(Fleet.callerAddress(0), {.Tokens = 2000});
  cr_assert(waitUntil([&] { return Fleet.running() == 1; }));
  Fleet.engineFaults(0, R"({"stall":true})");
  ChildProcess Command("parsleywing",
                       {"drain", "--router", Fleet.operatorAddress(0)},
                       Fleet.folder().path("drain.log"));
  cr_assert_eq(Command.wait(), toInt(ExitCode::Success));
  const CallResult Result = Stream.get();
  cr_assert_eq(Result.Outcome, "unknown", "%s", Result.describe().c_str());
  cr_assert_eq(Result.FinalResponses, 1, "%s", Result.describe().c_str());
  cr_assert_eq(Fleet.router(0).wait(), toInt(ExitCode::Unfinished));
}

// Guards against one account whose flood makes the requests of others fail or
// wait: an account with a limit of four queued requests sends forty long ones
// at once, while another account sends requests. Fails without the limit per
// account in LoadShedder::decide.
Test(Limits, AFloodingAccountIsRefusedAndTheOtherServed) {
  TestFleet Fleet({.Routers = 1,
                   .Engines = 1,
                   .AccountLines = "max_queued_requests = 4\n",
                   .MaxConcurrent = 2});
  cr_assert(Fleet.ready());
  Calls Flood;
  for (int Number = 0; Number < 40; ++Number)
    Flood.push_back(
        startCall(Fleet.callerAddress(0), {.Account = "gulf", .Tokens = 150}));
  cr_assert(waitUntil([&] { return Fleet.running() == 2; }));
  for (int Number = 0; Number < 3; ++Number) {
    const CallResult Result = sendCall(Fleet.callerAddress(0), {});
    cr_assert(Result.isComplete(3), "%s", Result.describe().c_str());
  }
  int Refused = 0;
  for (auto &Pending : Flood) {
    const CallResult Result = Pending.get();
    if (Result.isComplete(150))
      continue;
    ++Refused;
    cr_assert_eq(Result.Status, 429, "%s", Result.describe().c_str());
    cr_assert_eq(Result.Outcome, "not-run", "%s", Result.describe().c_str());
    cr_assert_neq(Result.RetryAfter, "", "%s", Result.describe().c_str());
  }
  cr_assert_geq(Refused, 20);
}
