#include "Gateway/CrashFixture.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Sends to servers that a request may cause once it has crashed three.
constexpr std::size_t AllowedBehindThird = 3;
constexpr std::size_t Third = 3;
/// Between two repeats of a caller.
constexpr auto RepeatPause = 100ms;
/// Longer than any crash takes to be known at all routers.
constexpr auto NewsTime = 1s;

/// Repeats the request at one router after the other.
void repeat(CrashFixture &Fleet, std::size_t Routers, std::size_t Times,
            const std::string &Path, const std::string &Body) {
  for (std::size_t I = 0; I < Times; ++I) {
    Fleet.call(I % Routers, Path, Body);
    std::this_thread::sleep_for(RepeatPause);
  }
}

bool isServed(const std::string &Answer) {
  return Answer.starts_with("HTTP/1.1 200") && Answer.ends_with("\r\n\r\nok");
}

bool isRefused(const std::string &Answer) {
  return Answer.starts_with("HTTP/1.1 503");
}

} // namespace

// Guards against repeats at other routers that crash server after server.
Test(CrashingRequest, isNotSentOnAndOnThoughItsRepeatsComeAtOtherRouters,
     .timeout = 60) {
  CrashFixture Fleet(3, 12, 60s);
  Fleet.start();
  repeat(Fleet, 3, 12, "/safe/x", "crash");
  cr_assert_geq(Fleet.receivedCount("crash"), Third);
  cr_assert_leq(Fleet.receivedCount("crash"), Third + AllowedBehindThird);
}

// Guards against the same where attempts run once and servers come back.
Test(CrashingRequest,
     isNotSentOnAndOnThoughServersAreBackAndEachAttemptRunsOnce,
     .timeout = 60) {
  CrashFixture Fleet(3, 4, 200ms);
  Fleet.start();
  for (int Round = 0; Round < 5; ++Round) {
    repeat(Fleet, 3, 3, "/unsafe/x", "crash");
    std::this_thread::sleep_for(300ms);
    Fleet.restartServers();
  }
  cr_assert_geq(Fleet.receivedCount("crash"), Third);
  cr_assert_leq(Fleet.receivedCount("crash"), Third + AllowedBehindThird);
}

// Guards against a caller that waits for nothing, or is told what is not true.
Test(CrashingRequest, isRefusedAtOnceAsNotRunAndNotInvitedBack, .timeout = 60) {
  CrashFixture Fleet(2, 6, 60s);
  Fleet.start();
  repeat(Fleet, 2, 6, "/unsafe/x", "crash");
  const std::size_t Before = Fleet.receivedCount("crash");
  const auto Asked = std::chrono::steady_clock::now();
  const std::string Answer = Fleet.call(0, "/unsafe/x", "crash");
  cr_assert_lt(std::chrono::steady_clock::now() - Asked, 100ms);
  cr_assert(isRefused(Answer), "%s", Answer.c_str());
  cr_assert_eq(fieldOf(Answer, "Retry-After"), "");
  cr_assert_eq(Fleet.receivedCount("crash"), Before);
  cr_assert_eq(Fleet.router(0).metrics().find("reason=\"crashes-servers\"} 0"),
               std::string::npos);
}

// Guards against other requests of the same caller refused with it.
Test(CrashingRequest, leavesOtherRequestsOfItsCallerAlone, .timeout = 60) {
  CrashFixture Fleet(2, 6, 60s);
  Fleet.start();
  repeat(Fleet, 2, 6, "/unsafe/x", "crash");
  for (const char *Body : {"sound", "CRASH", ""})
    cr_assert(isServed(Fleet.call(1, "/unsafe/x", Body)), "%s", Body);
}

// Guards against a reset connection taken for a crash.
Test(CrashingRequest, isNotOneWhoseConnectionsWereReset, .timeout = 60) {
  CrashFixture Fleet(1, 6, 60s);
  Fleet.start();
  for (int I = 0; I < 3; ++I)
    cr_assert_not(isServed(Fleet.call(0, "/unsafe/x", "reset")));
  cr_assert(isServed(Fleet.call(0, "/unsafe/x", "reset")));
  cr_assert_neq(Fleet.router(0).metrics().find("server_crashes_total 0"),
                std::string::npos);
}

// Guards against a crash that is read out of a server's leaving.
Test(CrashingRequest, isNotOneWhoseServerLeftTheListAndLives, .timeout = 60) {
  CrashFixture Fleet(1, 2, 60s);
  Fleet.start();
  Fleet.call(0, "/unsafe/x", "reset");
  for (const char *Server : {"s0", "s1"})
    Fleet.router(0).removeServer(Server);
  std::this_thread::sleep_for(500ms);
  cr_assert_neq(Fleet.router(0).metrics().find("server_crashes_total 0"),
                std::string::npos);
}

// Guards against a request refused for being at servers that another crashed.
Test(CrashingRequest, isNotOneThatWasInHandBesideIt, .timeout = 60) {
  CrashFixture Fleet(2, 12, 60s);
  Fleet.start();
  auto Slow = std::async(std::launch::async, [&Fleet] {
    std::string Answer;
    for (int I = 0; I < 6 && !isServed(Answer); ++I)
      Answer = Fleet.call(1, "/safe/x", "slow");
    return Answer;
  });
  for (int I = 0; I < 5; ++I)
    Fleet.call(0, "/unsafe/x", "crash");
  cr_assert(isServed(Slow.get()));
  cr_assert_leq(Fleet.receivedCount("crash"), Third + AllowedBehindThird);
}

// Guards against servers lost to sends older than the third crash.
Test(CrashingRequest, isTakenBackFromServersThatHaveNotCrashedYet,
     .timeout = 60) {
  CrashFixture Fleet(2, 8, 60s);
  Fleet.start();
  Fleet.CrashDelay = 600ms;
  std::vector<std::future<std::string>> Calls;
  // The last begins before the first crash and would end behind the third.
  for (const auto Pause : {100ms, 100ms, 300ms, 0ms}) {
    Calls.push_back(std::async(std::launch::async, [&Fleet] {
      return Fleet.call(0, "/unsafe/x", "crash");
    }));
    std::this_thread::sleep_for(Pause);
  }
  for (auto &Each : Calls)
    Each.wait();
  std::this_thread::sleep_for(NewsTime);
  cr_assert_eq(Fleet.receivedCount("crash"), 4U);
  cr_assert_eq(Fleet.crashCount(), Third);
}

// Guards against a router that begins, or was killed, and knows of nothing.
Test(CrashingRequest, isRefusedByARouterThatStartsLater, .timeout = 60) {
  CrashFixture Fleet(3, 8, 60s);
  Fleet.start(2);
  repeat(Fleet, 2, 6, "/unsafe/x", "crash");
  const std::size_t Before = Fleet.receivedCount("crash");
  Fleet.startRouter(2);
  std::this_thread::sleep_for(NewsTime);
  cr_assert(isRefused(Fleet.call(2, "/unsafe/x", "crash")));
  cr_assert_eq(Fleet.receivedCount("crash"), Before);
}

// Guards against a router that was cut off from the others during the crashes.
Test(CrashingRequest, isRefusedByARouterThatWasCutOffOnceItIsInTouch,
     .timeout = 60) {
  CrashFixture Fleet(3, 8, 60s);
  const auto Whole = Fleet.router(0).Routers;
  auto Cut = std::make_shared<parsleywing::RouterList>(*Whole);
  // Nobody receives what is told there.
  Cut->at("r2").Address = freeLoopbackAddress();
  for (const std::size_t Router : {0U, 1U})
    Fleet.router(Router).Routers = Cut;
  Fleet.start();
  repeat(Fleet, 2, 6, "/unsafe/x", "crash");
  const std::size_t Before = Fleet.receivedCount("crash");
  for (const std::size_t Router : {0U, 1U})
    Fleet.router(Router).setRouters(Whole);
  std::this_thread::sleep_for(3s);
  cr_assert(isRefused(Fleet.call(2, "/unsafe/x", "crash")));
  cr_assert_eq(Fleet.receivedCount("crash"), Before);
}
