#include "Gateway/SignalFixture.h"

#include <criterion/criterion.h>
#include <future>
#include <string>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// The pause that a server asks for, as a duration and as a field value.
constexpr auto Pause = 1s;
constexpr const char *PauseText = "1";
/// Longer than a refusal takes, and shorter than any wait for a server.
constexpr auto Promptly = 200ms;

double retryAfterOf(const std::string &Response) {
  const std::string Text = fieldOf(Response, "Retry-After");
  return Text.empty() ? 0 : std::stod(Text);
}

} // namespace

// Guards against repeated requests to a server that has asked for a pause.
Test(ServerPause, isKeptByTheRouterThatWasAsked, .timeout = 60) {
  for (const bool Allocated : {false, true}) {
    SignalFixture Fleet(2, 2, Allocated);
    Fleet.start();
    const std::size_t Server = Fleet.preferredServer(0);
    Fleet.setBehavior(Server, refusing(PauseText));
    for (const std::size_t Router : {0U, 1U}) {
      const std::size_t Before = Fleet.received(Server);
      Fleet.callServed(Router, 20);
      cr_assert_leq(Fleet.received(Server), Before + 1);
    }
  }
}

// Guards against a pause that outlasts what the server asked for.
Test(ServerPause, ends, .timeout = 60) {
  SignalFixture Fleet(1, 2, false);
  Fleet.start();
  const std::size_t Server = Fleet.preferredServer(0);
  Fleet.setBehavior(Server, refusing(PauseText));
  Fleet.callServed(0, 2);
  Fleet.setBehavior(Server, {});
  std::this_thread::sleep_for(Pause);
  cr_assert_eq(Fleet.preferredServer(0), Server);
}

// Guards against a pause that ends as soon as an earlier request succeeds.
Test(ServerPause, isNotEndedByAnEarlierRequest, .timeout = 60) {
  SignalFixture Fleet(1, 2, false);
  Fleet.start();
  const std::size_t Server = Fleet.preferredServer(0);
  Fleet.setBehavior(Server, {"200 OK", "", 300ms});
  auto Slow = std::async(std::launch::async, [&] { return Fleet.call(0); });
  std::this_thread::sleep_for(100ms);
  Fleet.setBehavior(Server, refusing(PauseText));
  Fleet.setBehavior(1 - Server, refusing(PauseText));
  cr_assert(isRefused(Fleet.call(0)));
  cr_assert(isServed(Slow.get()));
  const std::size_t Before = Fleet.received(Server);
  cr_assert(isRefused(Fleet.call(0)));
  cr_assert_eq(Fleet.received(Server), Before);
}

// Guards against requests that are held, or sent, while all servers have asked
// for a pause, and against callers that return before it ends.
Test(ServerPause, requestIsRefusedAtOnceIfAllServersArePaused, .timeout = 60) {
  for (const bool Allocated : {false, true}) {
    SignalFixture Fleet(1, 3, Allocated);
    Fleet.start();
    for (const std::size_t Server : {0U, 1U, 2U})
      Fleet.setBehavior(Server, refusing(PauseText));
    cr_assert(isRefused(Fleet.call(0)));
    const auto Start = std::chrono::steady_clock::now();
    for (const char *Path : {"/safe/x", "/unsafe/x", "/stream/x"}) {
      const std::string Response = Fleet.call(0, Path);
      cr_assert(isRefused(Response), "%s", Response.c_str());
      cr_assert_gt(retryAfterOf(Response), 0.5, "%s", Response.c_str());
    }
    cr_assert_lt(std::chrono::steady_clock::now() - Start, 3 * Promptly);
    for (const std::size_t Server : {0U, 1U, 2U})
      cr_assert_eq(Fleet.received(Server), 1U);
  }
}

// Guards against a request that waits for a server although the last one has
// asked for a pause meanwhile.
Test(ServerPause, queuedRequestIsRefusedWhenTheLastServerIsPaused,
     .timeout = 60) {
  SignalFixture Fleet(1, 1, true);
  Fleet.start();
  ServerBehavior Behavior = refusing("3");
  Behavior.Delay = 400ms;
  Fleet.setBehavior(0, Behavior);
  // The allocator leaves one of the server's four slots free.
  constexpr int RunningCount = 3;
  std::vector<std::future<std::string>> Running;
  Running.reserve(RunningCount);
  for (int I = 0; I < RunningCount; ++I)
    Running.push_back(
        std::async(std::launch::async, [&] { return Fleet.call(0); }));
  std::this_thread::sleep_for(100ms);
  const auto Start = std::chrono::steady_clock::now();
  const std::string Response = Fleet.call(0);
  cr_assert_lt(std::chrono::steady_clock::now() - Start, 300ms + Promptly);
  cr_assert(isRefused(Response), "%s", Response.c_str());
  for (auto &Each : Running)
    cr_assert(isRefused(Each.get()));
  cr_assert_eq(Fleet.received(0), 3U);
}

// Guards against an endless or unknown pause because of an odd value.
Test(ServerPause, oddValuesCauseNone, .timeout = 60) {
  for (const char *Value : {"0", "-1", "later", ""}) {
    SignalFixture Fleet(1, 1, false);
    Fleet.start();
    Fleet.setBehavior(0, refusing(Value));
    cr_assert(isRefused(Fleet.call(0)));
    Fleet.setBehavior(0, {});
    cr_assert(isServed(Fleet.call(0)), "Retry-After: %s", Value);
  }
}
