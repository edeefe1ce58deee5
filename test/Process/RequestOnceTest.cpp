#include "Process/Fleet.h"

#include <criterion/criterion.h>
#include <csignal>
#include <deque>
#include <random>

using namespace parsleywing::test;

namespace {

constexpr int LongResponseTokens = 300;

Call batchCall(const std::string &Key, int Tokens = 3) {
  return {.Service = "batch", .Tokens = Tokens, .IdempotencyKey = Key};
}

std::future<CallResult> startCall(const std::string &Address, const Call &C) {
  return std::async(std::launch::async,
                    [Address, C] { return sendCall(Address, C); });
}

/// Whether the response to a retry is correct for a key that ran or may have
/// run; it must never be "not run".
bool reportsPossibleRun(const CallResult &Result) {
  constexpr int Conflict = 409;
  return Result.Status == Conflict && Result.Reason == "already-run" &&
         (Result.Outcome == "unknown" || Result.Outcome == "completed");
}

/// Whether the response is a refusal that is true and has a retry delay.
bool isCorrectRefusal(const TestFleet &Fleet, const CallResult &Result) {
  constexpr int Unavailable = 503;
  return Result.Status == Unavailable && Result.Outcome == "not-run" &&
         Result.Reason == "record-unavailable" && !Result.RetryAfter.empty() &&
         Fleet.executionsOfRequest(Result.RequestId) == 0;
}

/// Retries a key until it completes or has been executed.
CallResult retryUntilDecided(const TestFleet &Fleet, const Call &C) {
  CallResult Last;
  const bool Decided = waitUntil([&] {
    Last = sendCall(Fleet.callerAddress(0), C);
    return Last.isComplete(C.Tokens) || Fleet.executionsOfKey(C.IdempotencyKey);
  });
  cr_assert(Decided, "%s", Last.describe().c_str());
  return Last;
}

} // namespace

// Guards against running a caller's request twice after its router was killed:
// an engine runs a keyed request for router A, A is killed, and the caller
// retries the key at B, and at A as soon as it is back, concurrently and again
// after the engine has finished. This happens if A keeps the key only in
// memory. Fails without the claim in RequestTable::on(RequestArrived): the
// retry at B runs.
Test(Once, AKilledRoutersRequestIsNotRunAgain) {
  TestFleet Fleet({.Engines = 1});
  cr_assert(Fleet.ready());
  auto Original =
      startCall(Fleet.callerAddress(0), batchCall("once", LongResponseTokens));
  cr_assert(waitUntil([&] { return Fleet.executionsOfKey("once") == 1; }));
  Fleet.router(0).kill();
  const CallResult Interrupted = Original.get();
  cr_assert_eq(Interrupted.FinalResponses, 0, "%s",
               Interrupted.describe().c_str());
  const CallResult AtB = sendCall(Fleet.callerAddress(1), batchCall("once"));
  cr_assert(reportsPossibleRun(AtB), "%s", AtB.describe().c_str());
  cr_assert(Fleet.startRouter(0));
  for (int Round = 0; Round < 2; ++Round) {
    std::deque<std::future<CallResult>> Retries;
    for (int Number = 0; Number < 6; ++Number)
      Retries.push_back(
          startCall(Fleet.callerAddress(Number % 2), batchCall("once")));
    for (auto &Retry : Retries) {
      const CallResult Result = Retry.get();
      cr_assert(reportsPossibleRun(Result), "%s", Result.describe().c_str());
    }
    cr_assert(waitUntil([&] { return Fleet.running() == 0; }));
  }
  cr_assert_eq(Fleet.executionsOfKey("once"), 1);
}

// Guards against two copies of a request that both run when sent to two routers
// at the same time, and against a second copy that gets an empty response as if
// it were the first's: eight callers send one key to two routers concurrently,
// then one retries it at each. Fails without the claim, and if RequestHandler
// ignores the reason of a completed outcome.
Test(Once, ConcurrentCopiesRunOnce) {
  TestFleet Fleet({.Engines = 1});
  cr_assert(Fleet.ready());
  std::deque<std::future<CallResult>> Copies;
  for (int Number = 0; Number < 8; ++Number)
    Copies.push_back(
        startCall(Fleet.callerAddress(Number % 2), batchCall("twin")));
  int Completed = 0;
  for (auto &Copy : Copies) {
    const CallResult Result = Copy.get();
    cr_assert(Result.isComplete(3) || reportsPossibleRun(Result), "%s",
              Result.describe().c_str());
    Completed += Result.isComplete(3) ? 1 : 0;
  }
  cr_assert_eq(Completed, 1);
  for (int Router = 0; Router < 2; ++Router) {
    const CallResult Result =
        sendCall(Fleet.callerAddress(Router), batchCall("twin"));
    cr_assert(reportsPossibleRun(Result), "%s", Result.describe().c_str());
  }
  cr_assert_eq(Fleet.executionsOfKey("twin"), 1);
}

// Guards against a request that is refused for good, or runs twice, because the
// reply of the store to its claim was lost: the store closes the connection
// after the effect of one, two or three writes while a keyed request is
// claimed, and the key is retried. This happens if the router mistakes its own
// record for another's or claims again. Fails without isOwn in RunRecordWriter:
// the retry gets a 409.
Test(Once, AClaimWithALostReplyRunsOnce) {
  TestFleet Fleet({.Engines = 1});
  cr_assert(Fleet.ready());
  cr_assert(sendCall(Fleet.callerAddress(0), batchCall("warm")).isComplete(3));
  for (int LostReplies = 1; LostReplies <= 3; ++LostReplies) {
    const Call C = batchCall("lost-" + std::to_string(LostReplies));
    Fleet.storeFaults(R"({"loseReplies":)" + std::to_string(LostReplies) + "}");
    const CallResult Result = sendCall(Fleet.callerAddress(0), C);
    Fleet.storeFaults(R"({"loseReplies":0})");
    cr_assert(Result.isComplete(3) || isCorrectRefusal(Fleet, Result), "%s",
              Result.describe().c_str());
    retryUntilDecided(Fleet, C);
    cr_assert_eq(Fleet.executionsOfKey(C.IdempotencyKey), 1);
  }
}

// Guards against keyed requests that run unrecorded, hang until their deadline
// or are never accepted again after a store outage: the store first refuses and
// then is silent, a keyed request with a deadline of a minute is sent, the
// store returns, and the key is retried at both routers. The claim needs a
// timeout, and the record of an abandoned claim must be deleted. Fails if an
// unavailable record counts as claimed: the request then runs unrecorded.
Test(Once, AStoreOutageIsReportedAndTheRetryRunsOnce) {
  TestFleet Fleet({.Engines = 1});
  cr_assert(Fleet.ready());
  cr_assert(sendCall(Fleet.callerAddress(0), batchCall("warm")).isComplete(3));
  for (const std::string Fault : {"refuse", "silent"}) {
    Fleet.storeFaults("{\"" + Fault + "\":true}");
    const CallResult Result =
        sendCall(Fleet.callerAddress(0), batchCall(Fault));
    cr_assert(isCorrectRefusal(Fleet, Result), "%s", Result.describe().c_str());
    cr_assert_lt(Result.Elapsed, std::chrono::seconds(20), "%s",
                 Result.describe().c_str());
    cr_assert_eq(Fleet.executionsOfKey(Fault), 0);
    // Repeatable requests need no record and are served during the outage.
    cr_assert(sendCall(Fleet.callerAddress(0), {}).isComplete(3));
    Fleet.storeFaults("{\"" + Fault + "\":false}");
    const CallResult RetryAtA = retryUntilDecided(Fleet, batchCall(Fault));
    cr_assert(RetryAtA.isComplete(3), "%s", RetryAtA.describe().c_str());
    const CallResult AtB = sendCall(Fleet.callerAddress(1), batchCall(Fault));
    cr_assert(reportsPossibleRun(AtB), "%s", AtB.describe().c_str());
    cr_assert_eq(Fleet.executionsOfKey(Fault), 1);
  }
}

namespace {

constexpr int Keys = 40;
constexpr auto RunTime = std::chrono::seconds(5);

std::string keyOf(unsigned Number) { return "key-" + std::to_string(Number); }

/// The guarantee that a result violates; empty if none.
std::string violationOf(const TestFleet &Fleet, const Call &C,
                        const CallResult &Result, bool RouterWasKilled) {
  if (Result.FinalResponses > 1)
    return "more than one final response";
  if (Result.FinalResponses == 0 && !RouterWasKilled)
    return "no final response";
  if (Result.Outcome == "not-run" &&
      Fleet.executionsOfRequest(Result.RequestId) > 0)
    return "not-run reported for an executed request";
  if (Result.LastEvent == "response.completed" && !Result.isComplete(C.Tokens))
    return "a mixed or truncated response";
  return {};
}

/// Sends requests with few keys to both routers, until stopped or a guarantee
/// is violated.
std::string retryKeys(const TestFleet &Fleet, unsigned Seed,
                      const std::vector<std::atomic<int>> &Kills,
                      const std::atomic<bool> &Stop) {
  std::mt19937 Random(Seed);
  while (!Stop) {
    const Call C =
        batchCall(keyOf(Random() % Keys), static_cast<int>(5 + Random() % 40));
    const unsigned Router = Random() % Kills.size();
    const int Before = Kills[Router];
    const CallResult Result =
        sendCall(Fleet.callerAddress(static_cast<int>(Router)), C);
    // The count is odd while the router is down.
    const bool Killed = Kills[Router] != Before || Before % 2 != 0;
    const std::string Violation = violationOf(Fleet, C, Result, Killed);
    if (!Violation.empty())
      return Violation + ": " + C.IdempotencyKey + " " + Result.describe();
  }
  return {};
}

} // namespace

// Guards against rare interleavings in which a keyed request runs twice or a
// caller gets no response or a false one: six callers retry forty keys at two
// routers for five seconds, while routers and engines are killed and restarted
// at random. Keys are drawn from fixed seeds; the order of events is up to the
// machine. Fails without the claim: a key runs twice.
Test(Once, RandomKillsNeverRunAKeyTwice) {
  TestFleet Fleet({.StepMilliseconds = 2});
  cr_assert(Fleet.ready());
  std::vector<std::atomic<int>> Kills(2);
  std::atomic<bool> Stop{false};
  std::deque<std::future<std::string>> Callers;
  for (unsigned Number = 0; Number < 6; ++Number)
    Callers.push_back(std::async(std::launch::async, [&, Number] {
      return retryKeys(Fleet, 17 + Number, Kills, Stop);
    }));
  std::mt19937 Random(17);
  const auto End = std::chrono::steady_clock::now() + RunTime;
  while (std::chrono::steady_clock::now() < End) {
    std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 400));
    const int Index = static_cast<int>(Random() % 2);
    if (Random() % 2 == 0) {
      ++Kills[Index];
      Fleet.router(Index).kill();
      cr_assert(Fleet.startRouter(Index));
      ++Kills[Index];
    } else {
      Fleet.engine(Index).kill();
      cr_assert(Fleet.startEngine(Index));
    }
  }
  Stop = true;
  for (auto &Caller : Callers) {
    const std::string Violation = Caller.get();
    cr_assert(Violation.empty(), "%s", Violation.c_str());
  }
  int Executions = 0;
  for (unsigned Number = 0; Number < Keys; ++Number) {
    cr_assert_leq(Fleet.executionsOfKey(keyOf(Number)), 1, "%s",
                  keyOf(Number).c_str());
    Executions += Fleet.executionsOfKey(keyOf(Number));
  }
  cr_assert_gt(Executions, Keys / 4);
}
