#include "Gateway/CrashFixture.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Attempts that may still reach servers after the request has crashed three.
constexpr std::size_t AllowedExtraAttempts = 3;
/// Crashes after which a request is refused.
constexpr std::size_t CrashesToRefuse = 3;
/// Pause between two retries of a caller.
constexpr auto RetryPause = 100ms;
/// Longer than it takes until all routers know of a crash.
constexpr auto PropagationTime = 1s;

/// Sends the request `Times` times, to each router in turn.
void sendRepeatedly(CrashFixture &Fleet, std::size_t Routers, std::size_t Times,
                    const std::string &Path, const std::string &Body) {
  for (std::size_t I = 0; I < Times; ++I) {
    Fleet.call(I % Routers, Path, Body);
    std::this_thread::sleep_for(RetryPause);
  }
}

bool isServed(const std::string &Response) {
  return Response.starts_with("HTTP/1.1 200") &&
         Response.ends_with("\r\n\r\nok");
}

bool isRefused(const std::string &Response) {
  return Response.starts_with("HTTP/1.1 503");
}

} // namespace

// Guards against a request that crashes one server after another because its
// caller retries at other routers.
Test(CrashingRequest, isRefusedIfRetriedAtOtherRouters, .timeout = 60) {
  CrashFixture Fleet(3, 12, 60s);
  Fleet.start();
  sendRepeatedly(Fleet, 3, 12, "/safe/x", "crash");
  cr_assert_geq(Fleet.receivedCount("crash"), CrashesToRefuse);
  cr_assert_leq(Fleet.receivedCount("crash"),
                CrashesToRefuse + AllowedExtraAttempts);
}

// Guards against the same if the router may not retry the request and the
// crashed servers restart.
Test(CrashingRequest, isRefusedIfServersRestartAndRouterMayNotRetry,
     .timeout = 60) {
  CrashFixture Fleet(3, 4, 200ms);
  Fleet.start();
  for (int Round = 0; Round < 5; ++Round) {
    sendRepeatedly(Fleet, 3, 3, "/unsafe/x", "crash");
    std::this_thread::sleep_for(300ms);
    Fleet.restartServers();
  }
  cr_assert_geq(Fleet.receivedCount("crash"), CrashesToRefuse);
  cr_assert_leq(Fleet.receivedCount("crash"),
                CrashesToRefuse + AllowedExtraAttempts);
}

// Guards against a refusal that comes late, does not state that the request has
// not run, or suggests a retry.
Test(CrashingRequest, isRefusedAtOnceWithoutRetryAfter, .timeout = 60) {
  CrashFixture Fleet(2, 6, 60s);
  Fleet.start();
  sendRepeatedly(Fleet, 2, 6, "/unsafe/x", "crash");
  const std::size_t Before = Fleet.receivedCount("crash");
  const auto Start = std::chrono::steady_clock::now();
  const std::string Response = Fleet.call(0, "/unsafe/x", "crash");
  cr_assert_lt(std::chrono::steady_clock::now() - Start, 100ms);
  cr_assert(isRefused(Response), "%s", Response.c_str());
  cr_assert_eq(fieldOf(Response, "Retry-After"), "");
  cr_assert_eq(Fleet.receivedCount("crash"), Before);
  cr_assert_eq(Fleet.router(0).metrics().find("reason=\"crashes-servers\"} 0"),
               std::string::npos);
}

// Guards against refusing other requests of the same caller.
Test(CrashingRequest, doesNotAffectOtherRequestsOfItsCaller, .timeout = 60) {
  CrashFixture Fleet(2, 6, 60s);
  Fleet.start();
  sendRepeatedly(Fleet, 2, 6, "/unsafe/x", "crash");
  for (const char *Body : {"sound", "CRASH", ""})
    cr_assert(isServed(Fleet.call(1, "/unsafe/x", Body)), "%s", Body);
}

// Guards against taking a reset connection for a crash.
Test(CrashingRequest, resetConnectionsAreNoCrashes, .timeout = 60) {
  CrashFixture Fleet(1, 6, 60s);
  Fleet.start();
  for (int I = 0; I < 3; ++I)
    cr_assert_not(isServed(Fleet.call(0, "/unsafe/x", "reset")));
  cr_assert(isServed(Fleet.call(0, "/unsafe/x", "reset")));
  cr_assert_neq(Fleet.router(0).metrics().find("server_crashes_total 0"),
                std::string::npos);
}

// Guards against taking the removal of a live server from the list for a crash.
Test(CrashingRequest, removedServersAreNoCrashes, .timeout = 60) {
  CrashFixture Fleet(1, 2, 60s);
  Fleet.start();
  Fleet.call(0, "/unsafe/x", "reset");
  for (const char *Server : {"s0", "s1"})
    Fleet.router(0).removeServer(Server);
  std::this_thread::sleep_for(500ms);
  cr_assert_neq(Fleet.router(0).metrics().find("server_crashes_total 0"),
                std::string::npos);
}

// Guards against refusing a request that was only active on servers that
// another request crashed.
Test(CrashingRequest, concurrentRequestsAreNotRefused, .timeout = 60) {
  CrashFixture Fleet(2, 12, 60s);
  Fleet.start();
  auto SlowCall = std::async(std::launch::async, [&Fleet] {
    std::string Response;
    for (int I = 0; I < 6 && !isServed(Response); ++I)
      Response = Fleet.call(1, "/safe/x", "slow");
    return Response;
  });
  for (int I = 0; I < 5; ++I)
    Fleet.call(0, "/unsafe/x", "crash");
  cr_assert(isServed(SlowCall.get()));
  cr_assert_leq(Fleet.receivedCount("crash"),
                CrashesToRefuse + AllowedExtraAttempts);
}

// Guards against losing more servers to attempts that were started before the
// third crash.
Test(CrashingRequest, isCancelledAtServersThatHaveNotCrashedYet,
     .timeout = 60) {
  CrashFixture Fleet(2, 8, 60s);
  Fleet.start();
  Fleet.CrashDelay = 600ms;
  std::vector<std::future<std::string>> Calls;
  // The last call starts before the first crash and would end after the third.
  for (const auto Pause : {100ms, 100ms, 300ms, 0ms}) {
    Calls.push_back(std::async(std::launch::async, [&Fleet] {
      return Fleet.call(0, "/unsafe/x", "crash");
    }));
    std::this_thread::sleep_for(Pause);
  }
  for (auto &Each : Calls)
    Each.wait();
  std::this_thread::sleep_for(PropagationTime);
  cr_assert_eq(Fleet.receivedCount("crash"), 4U);
  cr_assert_eq(Fleet.crashCount(), CrashesToRefuse);
}

// Guards against a router that has just started, or restarted after a kill, and
// does not know of earlier crashes.
Test(CrashingRequest, isRefusedByRouterThatStartsLater, .timeout = 60) {
  CrashFixture Fleet(3, 8, 60s);
  Fleet.start(2);
  sendRepeatedly(Fleet, 2, 6, "/unsafe/x", "crash");
  const std::size_t Before = Fleet.receivedCount("crash");
  Fleet.startRouter(2);
  std::this_thread::sleep_for(PropagationTime);
  cr_assert(isRefused(Fleet.call(2, "/unsafe/x", "crash")));
  cr_assert_eq(Fleet.receivedCount("crash"), Before);
}

// Guards against a router that was disconnected from the others during the
// crashes.
Test(CrashingRequest, isRefusedByRouterAfterItReconnects, .timeout = 60) {
  CrashFixture Fleet(3, 8, 60s);
  const auto FullList = Fleet.router(0).Routers;
  auto PartialList = std::make_shared<parsleywing::RouterList>(*FullList);
  // Nothing receives the messages that are sent to this address.
  PartialList->at("r2").Address = freeLoopbackAddress();
  for (const std::size_t Router : {0U, 1U})
    Fleet.router(Router).Routers = PartialList;
  Fleet.start();
  sendRepeatedly(Fleet, 2, 6, "/unsafe/x", "crash");
  const std::size_t Before = Fleet.receivedCount("crash");
  for (const std::size_t Router : {0U, 1U})
    Fleet.router(Router).setRouters(FullList);
  std::this_thread::sleep_for(3s);
  cr_assert(isRefused(Fleet.call(2, "/unsafe/x", "crash")));
  cr_assert_eq(Fleet.receivedCount("crash"), Before);
}
