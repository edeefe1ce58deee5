#include "Gateway/HedgeFleet.h"

#include <criterion/criterion.h>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t CallerCount = 200;
constexpr int EventCount = 6;
constexpr RetryBounds Bounds{0.2, 10s, 10};
/// Longer than a server may be silent before another one is asked.
constexpr auto Pause = 1800ms;

} // namespace

// Guards against a storm of second attempts when a server pauses that has many
// requests, and against requests that are given up since theirs is denied.
Test(HedgeLoad, secondAttemptsStayWithinTheRetryAllowance, .timeout = 60) {
  for (const std::string Kind : {"stream", "safe"}) {
    std::vector<PlannedReaction> Reactions(
        CallerCount,
        {ServerReaction::Pause, {PausePoint::BeforeHead, Pause, EventCount}});
    Reactions.resize(
        2 * CallerCount,
        {ServerReaction::Serve, {PausePoint::BeforeHead, 0ms, EventCount}});
    HedgeFleet Fleet(std::move(Reactions));
    Fleet.Front.Settings.Retries = Bounds;
    Fleet.Front.start();
    ServerList Both = Fleet.Front.servers();
    for (auto &[Id, Server] : Both)
      Server.Slots = 2 * CallerCount;
    ServerList One = Both;
    One.erase("s1");
    Fleet.Front.setServers(One);
    std::vector<std::future<std::string>> Calls;
    for (std::size_t Number = 0; Number < CallerCount; ++Number) {
      Calls.push_back(std::async(std::launch::async, [&Fleet, &Kind, Number] {
        return Fleet.call("/" + Kind + "/" + std::to_string(Number));
      }));
      std::this_thread::sleep_for(1ms);
    }
    Fleet.Front.setServers(Both);
    for (auto &Each : Calls) {
      const std::string Received = Each.get();
      cr_assert(Kind == "stream" ? isWholeStream(Received, EventCount)
                                 : Received.starts_with("HTTP/1.1 200"),
                "%s", Received.c_str());
    }
    const std::size_t Retries = Fleet.metric("repeats_total");
    cr_assert_gt(Retries, 0U);
    cr_assert_eq(Fleet.metric("sends_total"), CallerCount + Retries);
    cr_assert_leq(static_cast<double>(Retries),
                  Bounds.Ratio * CallerCount + Bounds.Slack);
    cr_assert_gt(Fleet.metric("retries_denied_total{service=\"plain\"}"), 0U);
    Fleet.waitForArrivals(CallerCount + Retries);
  }
}
