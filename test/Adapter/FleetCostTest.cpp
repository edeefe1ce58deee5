#include "Adapter/FleetRouter.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Servers on three pages, each with an entry of the usual size.
constexpr int ServerCount = 1200;
constexpr int PagesOfAllLists = 5;
/// Changes while a relay is away.
constexpr int ChangeCount = 20;

std::size_t routerCount() {
  const char *Text = std::getenv("FLEET_ROUTERS");
  return Text == nullptr ? 30 : std::strtoul(Text, nullptr, 10);
}

/// What the store has been asked for.
struct StoreUse {
  int Pages = 0;
  int Watches = 0;
  std::int64_t Bytes = 0;
};

StoreUse useOf(const FakePlatformStore &Store) {
  return {Store.pageReads(), Store.watches(), Store.bytesSent()};
}

/// What was asked for since an earlier time, also printed.
StoreUse report(const char *Phase, const FakePlatformStore &Store,
                const StoreUse &Before) {
  const StoreUse Now = useOf(Store);
  const StoreUse Used{Now.Pages - Before.Pages, Now.Watches - Before.Watches,
                      Now.Bytes - Before.Bytes};
  std::fprintf(stderr, "routers=%zu phase=%s pages=%d watches=%d kB=%ld\n",
               routerCount(), Phase, Used.Pages, Used.Watches,
               static_cast<long>(Used.Bytes / 1000));
  return Used;
}

} // namespace

// Guards against calls on the store that grow with the fleet when a relay
// starts anew. `FLEET_ROUTERS` is the number of routers.
Test(FleetCost, aRelaysRestartCostsNoCallsOfItsFollowers, .timeout = 280) {
  FakePlatformStore Store;
  RouterFleet Fleet(Store);
  for (int Number = 0; Number < ServerCount; ++Number)
    putServer(Store, "s" + std::to_string(Number));
  StoreUse Before = useOf(Store);
  for (std::size_t Number = 0; Number < routerCount(); ++Number)
    Fleet.start("r" + std::to_string(Number));
  cr_assert(Fleet.becomesCurrent(60s));
  report("start", Store, Before);
  std::this_thread::sleep_for(2s);
  Before = useOf(Store);
  std::this_thread::sleep_for(10s);
  report("rest-10s", Store, Before);
  const std::string Relay = Fleet.relays().front();
  Before = useOf(Store);
  Fleet.kill(Relay);
  for (int Number = 0; Number < ChangeCount; ++Number)
    putServer(Store, "s" + std::to_string(Number), "draining");
  Fleet.start(Relay);
  cr_expect(Fleet.becomesCurrent(10s));
  const StoreUse Restart = report("relay-restart", Store, Before);
  cr_expect_leq(Restart.Pages, 2 * PagesOfAllLists,
                "%d pages of lists were read", Restart.Pages);
}
