#include "Gateway/SignalFixture.h"

#include <criterion/criterion.h>
#include <future>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Lists more routers than the servers have slots (4 each). The others are not
/// running; with these cores they are first in the order of allocators, or
/// last.
void listOthers(SignalFixture &Fleet, std::size_t Running, double Cores,
                int Count = 4) {
  auto Listed = std::make_shared<RouterList>(*Fleet.router(0).Routers);
  for (int I = 0; I < Count; ++I)
    (*Listed)["x" + std::to_string(I)] = {freeLoopbackAddress(), Cores};
  for (std::size_t I = 0; I < Running; ++I) {
    Fleet.router(I).Routers = Listed;
    Fleet.router(I).Settings.ShareSlots = true;
  }
}

bool hasAsked(SignalFixture &Fleet, std::size_t Router) {
  return Fleet.router(Router).metrics().find(
             "parsleywing_allocation_asks_total 0") == std::string::npos;
}

} // namespace

// Guards against routers that each fill the server of a plain service: the
// requests of two routers beyond its slots must wait until a slot is free.
Test(SharedSlots, requestsOfAllRoutersWaitForASlot, .timeout = 60) {
  SignalFixture Fleet(2, 1, false);
  listOthers(Fleet, 2, 0.01);
  Fleet.start();
  Fleet.callServed(0, 1);
  ServerBehavior Slow;
  Slow.Fields = "Server-Load: 1,0,4,100\r\n";
  Slow.Delay = 100ms;
  Fleet.setBehavior(0, Slow);
  const auto Start = std::chrono::steady_clock::now();
  std::vector<std::future<std::string>> Calls;
  for (std::size_t I = 0; I < 8; ++I)
    Calls.push_back(std::async(std::launch::async,
                               [&Fleet, I] { return Fleet.call(I % 2); }));
  for (auto &Each : Calls) {
    const std::string Response = Each.get();
    cr_assert(isServed(Response), "%s", Response.c_str());
  }
  cr_assert_geq(std::chrono::steady_clock::now() - Start, 200ms);
  cr_assert(hasAsked(Fleet, 0) && hasAsked(Fleet, 1));
}

// Guards against a router that refuses plain requests since no allocator
// answers it.
Test(SharedSlots, routerWithoutAllocatorServes, .timeout = 60) {
  SignalFixture Fleet(1, 2, false);
  listOthers(Fleet, 1, 100, 8);
  for (GatewayRoute &Each : Fleet.router(0).Configuration.Routes)
    Each.LatencyObjective = 120ms;
  Fleet.start();
  Fleet.callServed(0, 5);
  cr_assert(hasAsked(Fleet, 0));
}

// Guards against attempts after a full server that bypass the allocator or the
// retry budget.
Test(SharedSlots, fullServerCostsAChargedRetryThroughTheAllocator,
     .timeout = 60) {
  SignalFixture Fleet(1, 2, false);
  listOthers(Fleet, 1, 0.01, 8);
  Fleet.start();
  const std::size_t Server = Fleet.preferredServer(0);
  Fleet.setBehavior(Server, {"503 Service Unavailable",
                             "Not-Executed: 1\r\nServer-Load: 4,0,4,100\r\n"});
  const std::size_t Before = Fleet.received(Server);
  Fleet.callServed(0, 1);
  cr_assert_eq(Fleet.received(Server), Before + 1);
  const std::string Metrics = Fleet.router(0).metrics();
  const auto Has = [&Metrics](const char *Line) {
    return Metrics.find(Line) != std::string::npos;
  };
  cr_assert(Has("parsleywing_allocation_asks_total 3\n"));
  cr_assert(Has("retries_charged_total{service=\"plain\"} 1\n"));
}

// Guards against the earlier behaviour changing where the setting is off.
Test(SharedSlots, offByDefault, .timeout = 60) {
  SignalFixture Fleet(1, 1, false);
  listOthers(Fleet, 1, 0.01);
  Fleet.router(0).Settings.ShareSlots = GatewaySettings().ShareSlots;
  Fleet.start();
  Fleet.callServed(0, 2);
  cr_assert_not(hasAsked(Fleet, 0));
}
