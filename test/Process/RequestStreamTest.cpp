#include "Process/Fleet.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace parsleywing::test;

namespace {

constexpr const char *Impatient =
    "[backends]\nsilence_limit_milliseconds = 1500\n";
constexpr int Tokens = 60;

std::future<CallResult>
startCall(const std::string &Address, const Call &C,
          const std::function<bool(const std::string &)> &OnText = {}) {
  return std::async(std::launch::async, [Address, C, OnText] {
    return sendCall(Address, C, OnText);
  });
}

Call batchCall(const std::string &Key, int Wanted) {
  return {.Service = "batch", .Tokens = Wanted, .IdempotencyKey = Key};
}

/// Does something once, as soon as the caller has this piece of the answer.
std::function<bool(const std::string &)>
onceAt(const std::string &Piece, const std::function<void()> &Act) {
  auto Done = std::make_shared<bool>(false);
  return [=](const std::string &Text) {
    if (!*Done && Text.find(Piece) != std::string::npos) {
      *Done = true;
      Act();
    }
    return true;
  };
}

/// Whether the caller was told that its answer is a part, and it is one.
bool isHonestPart(const CallResult &Got, int Wanted) {
  std::string Whole;
  for (int Number = 0; Number < Wanted; ++Number)
    Whole += "t" + std::to_string(Number) + " ";
  return Got.LastEvent == "response.incomplete" && Got.Outcome == "unknown" &&
         Got.FinalAnswers == 1 && Whole.starts_with(Got.Text) &&
         Got.Text != Whole;
}

} // namespace

// Symptom: a caller's stream ends early, or repeats or lacks tokens, when a
// connection to an engine breaks.
// Sequence: the engine cuts each stream after ten tokens; or sends a part of an
// event, or an event of another answer; or leaves one out.
// Cause: the rest is not asked for, or asked for from the wrong place.
// Fails without resumptions (RequestTable::mayResume). (Run on a scratch copy.)
Test(Streams, ABrokenConnectionIsTakenUpWhereItBroke) {
  TestFleet Fleet({.Routers = 1, .Engines = 1});
  cr_assert(Fleet.ready());
  for (const std::string Fault :
       {"cut_after", "truncate_after", "crossed_after", "skip_after"}) {
    Fleet.engineFaults(0, "{\"" + Fault + "\":10}");
    const CallResult Got = sendCall(Fleet.callers(0), batchCall(Fault, Tokens));
    cr_assert(Got.isWhole(Tokens), "%s: %s", Fault.c_str(),
              Got.describe().c_str());
    cr_assert_eq(Fleet.executionsOfKey(Fault), 1);
    const CallResult Free =
        sendCall(Fleet.callers(0), {.Tokens = Tokens, .Stream = false});
    cr_assert(Free.isWhole(Tokens), "%s: %s", Fault.c_str(),
              Free.describe().c_str());
  }
}

// Symptom: after an engine died a caller takes half an answer for a whole one,
// or gets the beginning of one answer and the end of another.
// Sequence: an engine is killed while its answer streams; another engine is
// free; the dead one comes back without memory.
// Cause: the end of the connection is taken for the end of the answer, or the
// rest is taken from a new run.
// Fails where the end of the connection counts as the end of the answer
// (EngineAttempt::readEvents), and where a part passed on does not keep
// RequestTable::onBroken from starting anew. (Both run on scratch copies.)
Test(Streams, AnEngineKilledMidStreamIsToldAsIncomplete) {
  TestFleet Fleet({.Routers = 1});
  cr_assert(Fleet.ready());
  for (const std::string Service : {"advisory", "batch"}) {
    Call C = batchCall("mid-" + Service, 1000);
    C.Service = Service;
    int Killed = 0;
    const CallResult Got = sendCall(Fleet.callers(0), C, onceAt("t5 ", [&] {
                                      Killed = Fleet.runningAt(0) == 1 ? 0 : 1;
                                      Fleet.engine(Killed).kill();
                                    }));
    cr_assert(isHonestPart(Got, C.Tokens), "%s", Got.describe().c_str());
    cr_assert_lt(Got.Took, std::chrono::seconds(30));
    cr_assert(Fleet.startEngine(Killed));
    cr_assert_eq(Fleet.executionsOfKey(C.IdempotencyKey), 1);
  }
}

namespace {

/// What two callers got.
struct Pair {
  CallResult First;
  CallResult Second;

  int whole() const {
    return (this->First.isWhole(Tokens) ? 1 : 0) +
           (this->Second.isWhole(Tokens) ? 1 : 0);
  }
  std::string describe() const {
    return this->First.describe() + " | " + this->Second.describe();
  }
};

/// Two engines that make no tokens hold one request each; something happens to
/// engine 0, and engine 1 goes on.
Pair loseEngineBeforeFirstToken(const TestFleet &Fleet,
                                const std::string &Service,
                                const std::function<void()> &Lose) {
  Fleet.engineFaults(0, R"({"stall":true})");
  Fleet.engineFaults(1, R"({"stall":true})");
  Call C = batchCall("first", Tokens);
  C.Service = Service;
  auto First = startCall(Fleet.callers(0), C);
  C.IdempotencyKey = "second";
  auto Second = startCall(Fleet.callers(0), C);
  cr_assert(waitUntil(
      [&] { return Fleet.waitingAt(0) == 1 && Fleet.waitingAt(1) == 1; }));
  Lose();
  Fleet.engineFaults(1, "{}");
  return {First.get(), Second.get()};
}

} // namespace

// Symptom: one dead engine fails requests that another could serve.
// Sequence: an engine is killed before the first token of a repeatable request;
// another engine has its one slot free a little later.
// Cause: no retry, or every retry goes to the engine that died.
// Fails without the retry, and without the further starts where nothing was
// sent (RequestTable::retry). (Both run on scratch copies.)
Test(Streams, ARepeatableRequestOfAKilledEngineRunsAtAnother) {
  TestFleet Fleet({.Routers = 1, .MaxConcurrent = 1});
  cr_assert(Fleet.ready());
  const Pair Got = loseEngineBeforeFirstToken(Fleet, "advisory",
                                              [&] { Fleet.engine(0).kill(); });
  cr_assert_eq(Got.whole(), 2, "%s", Got.describe().c_str());
}

// Symptom: what may not be repeated runs twice, or its caller waits to the
// deadline, a minute off.
// Sequence: an engine is killed before the first token of a request that may
// not be repeated; another engine is there.
// Cause: a retry of everything, or a resumption without an end.
// Fails where RequestTable::onBroken starts everything anew. (Run on a scratch
// copy.)
Test(Streams, AKeyedRequestOfAKilledEngineIsToldAsUnknownAtOnce) {
  TestFleet Fleet({.Routers = 1, .MaxConcurrent = 1});
  cr_assert(Fleet.ready());
  const Pair Got = loseEngineBeforeFirstToken(Fleet, "batch",
                                              [&] { Fleet.engine(0).kill(); });
  cr_assert_eq(Got.whole(), 1, "%s", Got.describe().c_str());
  const CallResult &Lost = Got.First.isWhole(Tokens) ? Got.Second : Got.First;
  cr_assert_eq(Lost.Outcome, "unknown", "%s", Got.describe().c_str());
  cr_assert_eq(Lost.FinalAnswers, 1, "%s", Got.describe().c_str());
  cr_assert_lt(Lost.Took, std::chrono::seconds(30), "%s",
               Got.describe().c_str());
  cr_assert_leq(Fleet.executionsOfKey("first"), 1);
  cr_assert_leq(Fleet.executionsOfKey("second"), 1);
}

// Symptom: callers wait for good while the engine works.
// Sequence: every connection to the engine goes silent in the middle of a
// stream, while new ones work.
// Cause: nobody watches that an answer goes on, or it is resumed over a
// connection that is as dead.
// Fails without resumptions (RequestTable::mayResume). (Run on a scratch copy.)
Test(Streams, ASilentConnectionIsReplaced) {
  TestFleet Fleet({.Routers = 1, .Engines = 1, .Settings = Impatient});
  cr_assert(Fleet.ready());
  // Leaves an idle connection behind, which goes silent as well.
  cr_assert(sendCall(Fleet.callers(0), {}).isWhole(3));
  const CallResult Got = sendCall(
      Fleet.callers(0), batchCall("silent", Tokens), onceAt("t5 ", [&] {
        postTo(Fleet.engineAddress(0), "/standin/silence", "{}");
      }));
  cr_assert(Got.isWhole(Tokens), "%s", Got.describe().c_str());
  cr_assert_eq(Fleet.executionsOfKey("silent"), 1);
  const CallResult Next = sendCall(Fleet.callers(0), {});
  cr_assert(Next.isWhole(3), "%s", Next.describe().c_str());
}

// Symptom: a frozen engine holds requests to their deadline.
// Sequence: an engine is stopped before the first token of a repeatable
// request; another engine has its one slot free a little later.
// Cause: an open connection is taken for a living engine.
// Fails without the retry. (Run on a scratch copy.)
Test(Streams, ARepeatableRequestOfAFrozenEngineRunsAtAnother) {
  TestFleet Fleet({.Routers = 1, .MaxConcurrent = 1, .Settings = Impatient});
  cr_assert(Fleet.ready());
  const Pair Got = loseEngineBeforeFirstToken(
      Fleet, "advisory", [&] { Fleet.engine(0).signal(SIGSTOP); });
  cr_assert_eq(Got.whole(), 2, "%s", Got.describe().c_str());
}

// Symptom: when a frozen engine thaws, what may not be repeated runs again, or
// the engine's late tokens get into somebody's answer.
// Sequence: an engine is stopped in the middle of an answer that may not be
// repeated, and goes on once its caller has been told.
// Cause: the request was given to another engine, or a connection with late
// events is used again.
// Fails where RequestTable::onBroken starts everything anew. (Run on a scratch
// copy.) That late events are dropped rests on the closed connection; no run
// without that was made.
Test(Streams, AThawedEngineRunsNothingTwiceAndItsLateEventsAreDropped) {
  TestFleet Fleet({.Routers = 1, .Engines = 1, .Settings = Impatient});
  cr_assert(Fleet.ready());
  const Call Keyed = batchCall("frozen", 2000);
  const CallResult Got =
      sendCall(Fleet.callers(0), Keyed,
               onceAt("t5 ", [&] { Fleet.engine(0).signal(SIGSTOP); }));
  cr_assert(isHonestPart(Got, Keyed.Tokens), "%s", Got.describe().c_str());
  cr_assert_lt(Got.Took, std::chrono::seconds(30), "%s",
               Got.describe().c_str());
  Fleet.engine(0).signal(SIGCONT);
  for (int Number = 0; Number < 4; ++Number) {
    const CallResult Later = sendCall(Fleet.callers(0), {.Tokens = Tokens});
    cr_assert(Later.isWhole(Tokens), "%s", Later.describe().c_str());
  }
  const CallResult Repeat = sendCall(Fleet.callers(0), Keyed);
  cr_assert_eq(Repeat.Reason, "already-run", "%s", Repeat.describe().c_str());
  cr_assert_eq(Fleet.executionsOfKey("frozen"), 1);
}

// Symptom: engines work for callers who left, and the others wait.
// Sequence: a caller goes away in the middle of an answer of 25 s; the engine
// has one slot, which another caller wants.
// Cause: nobody tells the engine to stop.
// Fails without the order to cancel (EngineAttempt::freeSlot): the next caller
// waited 25 s. (Run on a scratch copy.)
Test(Streams, ACallerThatLeavesFreesItsSlot) {
  TestFleet Fleet({.Routers = 1, .Engines = 1, .MaxConcurrent = 1});
  cr_assert(Fleet.ready());
  sendCall(Fleet.callers(0), batchCall("left", 5000),
           [](const std::string &Text) {
             return Text.find("t3 ") == std::string::npos;
           });
  const CallResult Next = sendCall(Fleet.callers(0), {});
  cr_assert(Next.isWhole(3), "%s", Next.describe().c_str());
  cr_assert_lt(Next.Took, std::chrono::seconds(10), "%s",
               Next.describe().c_str());
  cr_assert(
      waitUntil([&] { return Fleet.running() == 0 && Fleet.openAt(0) == 0; }));
}
