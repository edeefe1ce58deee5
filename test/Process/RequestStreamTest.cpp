#include "Process/Fleet.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace parsleywing::test;

namespace {

constexpr const char *ShortProgressTimeout =
    "[backends]\nsilence_limit_milliseconds = 1500\n";
constexpr int Tokens = 60;

std::future<CallResult>
startCall(const std::string &Address, const Call &C,
          const std::function<bool(const std::string &)> &OnText = {}) {
  return std::async(std::launch::async, [Address, C, OnText] {
    return sendCall(Address, C, OnText);
  });
}

Call batchCall(const std::string &Key, int TokenCount) {
  return {.Service = "batch", .Tokens = TokenCount, .IdempotencyKey = Key};
}

/// Returns a callback that runs the action once, when the received text
/// contains the expected text.
std::function<bool(const std::string &)>
onceTextContains(const std::string &Expected,
                 const std::function<void()> &Action) {
  auto HasRun = std::make_shared<bool>(false);
  return [=](const std::string &Text) {
    if (!*HasRun && Text.find(Expected) != std::string::npos) {
      *HasRun = true;
      Action();
    }
    return true;
  };
}

/// Whether the response was reported as incomplete and is a proper prefix of
/// the complete text.
bool isReportedIncomplete(const CallResult &Result, int TokenCount) {
  std::string CompleteText;
  for (int Number = 0; Number < TokenCount; ++Number)
    CompleteText += "t" + std::to_string(Number) + " ";
  return Result.LastEvent == "response.incomplete" &&
         Result.Outcome == "unknown" && Result.FinalResponses == 1 &&
         CompleteText.starts_with(Result.Text) && Result.Text != CompleteText;
}

} // namespace

// Guards against a caller's stream that ends early, or repeats or lacks tokens,
// when a connection to an engine breaks: after ten tokens the engine closes the
// stream, truncates an event, sends an event of another response, or omits one.
// The router must resume the stream at the right position. Fails without
// resumption (RequestTable::mayResume).
Test(Streams, ABrokenStreamIsResumed) {
  TestFleet Fleet({.Routers = 1, .Engines = 1});
  cr_assert(Fleet.ready());
  for (const std::string Fault :
       {"cut_after", "truncate_after", "crossed_after", "skip_after"}) {
    Fleet.engineFaults(0, "{\"" + Fault + "\":10}");
    const CallResult Result =
        sendCall(Fleet.callerAddress(0), batchCall(Fault, Tokens));
    cr_assert(Result.isComplete(Tokens), "%s: %s", Fault.c_str(),
              Result.describe().c_str());
    cr_assert_eq(Fleet.executionsOfKey(Fault), 1);
    const CallResult Unstreamed =
        sendCall(Fleet.callerAddress(0), {.Tokens = Tokens, .Stream = false});
    cr_assert(Unstreamed.isComplete(Tokens), "%s: %s", Fault.c_str(),
              Unstreamed.describe().c_str());
  }
}

// Guards against a partial response that is reported as complete, and against a
// response joined from two runs: an engine is killed while it streams, another
// engine is free, and the killed one restarts without its state. Fails if the
// end of the connection counts as the end of the response
// (EngineAttempt::readEvents), or if RequestTable::onAttemptFailed starts a new
// run after a part has been forwarded.
Test(Streams, AnEngineKilledMidStreamIsReportedAsIncomplete) {
  TestFleet Fleet({.Routers = 1});
  cr_assert(Fleet.ready());
  for (const std::string Service : {"advisory", "batch"}) {
    Call C = batchCall("mid-" + Service, 1000);
    C.Service = Service;
    int KilledEngine = 0;
    const CallResult Result =
        sendCall(Fleet.callerAddress(0), C, onceTextContains("t5 ", [&] {
                   KilledEngine = Fleet.runningAt(0) == 1 ? 0 : 1;
                   Fleet.engine(KilledEngine).kill();
                 }));
    cr_assert(isReportedIncomplete(Result, C.Tokens), "%s",
              Result.describe().c_str());
    cr_assert_lt(Result.Elapsed, std::chrono::seconds(30));
    cr_assert(Fleet.startEngine(KilledEngine));
    cr_assert_eq(Fleet.executionsOfKey(C.IdempotencyKey), 1);
  }
}

namespace {

/// The results of two callers.
struct ResultPair {
  CallResult First;
  CallResult Second;

  int completedCount() const {
    return (this->First.isComplete(Tokens) ? 1 : 0) +
           (this->Second.isComplete(Tokens) ? 1 : 0);
  }
  std::string describe() const {
    return this->First.describe() + " | " + this->Second.describe();
  }
};

/// Two stalled engines have one request each; then the callback runs, and
/// engine 1 continues.
ResultPair loseEngineBeforeFirstToken(const TestFleet &Fleet,
                                      const std::string &Service,
                                      const std::function<void()> &LoseEngine) {
  Fleet.engineFaults(0, R"({"stall":true})");
  Fleet.engineFaults(1, R"({"stall":true})");
  Call C = batchCall("first", Tokens);
  C.Service = Service;
  auto First = startCall(Fleet.callerAddress(0), C);
  C.IdempotencyKey = "second";
  auto Second = startCall(Fleet.callerAddress(0), C);
  cr_assert(waitUntil(
      [&] { return Fleet.waitingAt(0) == 1 && Fleet.waitingAt(1) == 1; }));
  LoseEngine();
  Fleet.engineFaults(1, "{}");
  return {First.get(), Second.get()};
}

} // namespace

// Guards against one dead engine that fails requests which another could serve:
// an engine is killed before the first token of a repeatable request, and
// another engine's only slot becomes free a little later. Fails without the
// retry, and without the further attempts if nothing was sent
// (RequestTable::scheduleRetry).
Test(Streams, ARepeatableRequestOfAKilledEngineRunsAtAnother) {
  TestFleet Fleet({.Routers = 1, .MaxConcurrent = 1});
  cr_assert(Fleet.ready());
  waitForRetryFloor();
  const ResultPair Result = loseEngineBeforeFirstToken(
      Fleet, "advisory", [&] { Fleet.engine(0).kill(); });
  cr_assert_eq(Result.completedCount(), 2, "%s", Result.describe().c_str());
}

// Guards against running a non-repeatable request twice, and against a caller
// that waits until its deadline, a minute later: an engine is killed before the
// first token of a non-repeatable request, and another engine is available.
// Fails if RequestTable::onAttemptFailed retries every request.
Test(Streams, AKeyedRequestOfAKilledEngineIsReportedAsUnknownAtOnce) {
  TestFleet Fleet({.Routers = 1, .MaxConcurrent = 1});
  cr_assert(Fleet.ready());
  const ResultPair Result = loseEngineBeforeFirstToken(
      Fleet, "batch", [&] { Fleet.engine(0).kill(); });
  cr_assert_eq(Result.completedCount(), 1, "%s", Result.describe().c_str());
  const CallResult &Interrupted =
      Result.First.isComplete(Tokens) ? Result.Second : Result.First;
  cr_assert_eq(Interrupted.Outcome, "unknown", "%s", Result.describe().c_str());
  cr_assert_eq(Interrupted.FinalResponses, 1, "%s", Result.describe().c_str());
  cr_assert_lt(Interrupted.Elapsed, std::chrono::seconds(30), "%s",
               Result.describe().c_str());
  cr_assert_leq(Fleet.executionsOfKey("first"), 1);
  cr_assert_leq(Fleet.executionsOfKey("second"), 1);
}

// Guards against callers that wait forever while the engine works: every
// connection to the engine goes silent in the middle of a stream, while new
// connections work. The router must detect missing progress and must not resume
// over a connection that is silent, too. Fails without resumption
// (RequestTable::mayResume).
Test(Streams, ASilentConnectionIsReplaced) {
  TestFleet Fleet(
      {.Routers = 1, .Engines = 1, .Settings = ShortProgressTimeout});
  cr_assert(Fleet.ready());
  // Leaves an idle connection in the pool, which goes silent as well.
  cr_assert(sendCall(Fleet.callerAddress(0), {}).isComplete(3));
  const CallResult Result =
      sendCall(Fleet.callerAddress(0), batchCall("silent", Tokens),
               onceTextContains("t5 ", [&] {
                 httpPost(Fleet.engineAddress(0), "/standin/silence", "{}");
               }));
  cr_assert(Result.isComplete(Tokens), "%s", Result.describe().c_str());
  cr_assert_eq(Fleet.executionsOfKey("silent"), 1);
  const CallResult Next = sendCall(Fleet.callerAddress(0), {});
  cr_assert(Next.isComplete(3), "%s", Next.describe().c_str());
}

// Guards against a stopped engine that holds requests until their deadline: an
// engine is stopped before the first token of a repeatable request, and another
// engine's only slot becomes free a little later. An open connection does not
// prove that the engine is alive. Fails without the retry.
Test(Streams, ARepeatableRequestOfAFrozenEngineRunsAtAnother) {
  TestFleet Fleet(
      {.Routers = 1, .MaxConcurrent = 1, .Settings = ShortProgressTimeout});
  cr_assert(Fleet.ready());
  const ResultPair Result = loseEngineBeforeFirstToken(
      Fleet, "advisory", [&] { Fleet.engine(0).signal(SIGSTOP); });
  cr_assert_eq(Result.completedCount(), 2, "%s", Result.describe().c_str());
}

// Guards against running a non-repeatable request twice, and against late
// tokens in another response, when a stopped engine continues: an engine is
// stopped in the middle of a non-repeatable response and continued after the
// caller has got its result. Fails if RequestTable::onAttemptFailed retries
// every request. Late events are dropped because the connection is closed,
// which this test does not prove on its own.
Test(Streams, AContinuedEngineRunsNothingTwiceAndItsLateEventsAreDropped) {
  TestFleet Fleet(
      {.Routers = 1, .Engines = 1, .Settings = ShortProgressTimeout});
  cr_assert(Fleet.ready());
  const Call Keyed = batchCall("frozen", 2000);
  const CallResult Result = sendCall(
      Fleet.callerAddress(0), Keyed,
      onceTextContains("t5 ", [&] { Fleet.engine(0).signal(SIGSTOP); }));
  cr_assert(isReportedIncomplete(Result, Keyed.Tokens), "%s",
            Result.describe().c_str());
  cr_assert_lt(Result.Elapsed, std::chrono::seconds(30), "%s",
               Result.describe().c_str());
  Fleet.engine(0).signal(SIGCONT);
  for (int Number = 0; Number < 4; ++Number) {
    const CallResult Later =
        sendCall(Fleet.callerAddress(0), {.Tokens = Tokens});
    cr_assert(Later.isComplete(Tokens), "%s", Later.describe().c_str());
  }
  const CallResult Retry = sendCall(Fleet.callerAddress(0), Keyed);
  cr_assert_eq(Retry.Reason, "already-run", "%s", Retry.describe().c_str());
  cr_assert_eq(Fleet.executionsOfKey("frozen"), 1);
}

// Guards against engines that work for disconnected callers while others wait:
// a caller disconnects in the middle of a response of 25 s, and another caller
// needs the engine's only slot. Fails if EngineAttempt does not cancel the
// request at the engine: the next caller then waits 25 s.
Test(Streams, ADisconnectedCallerFreesItsSlot) {
  TestFleet Fleet({.Routers = 1, .Engines = 1, .MaxConcurrent = 1});
  cr_assert(Fleet.ready());
  sendCall(Fleet.callerAddress(0), batchCall("left", 5000),
           [](const std::string &Text) {
             return Text.find("t3 ") == std::string::npos;
           });
  const CallResult Next = sendCall(Fleet.callerAddress(0), {});
  cr_assert(Next.isComplete(3), "%s", Next.describe().c_str());
  cr_assert_lt(Next.Elapsed, std::chrono::seconds(10), "%s",
               Next.describe().c_str());
  cr_assert(waitUntil(
      [&] { return Fleet.running() == 0 && Fleet.openRequestsAt(0) == 0; }));
}
