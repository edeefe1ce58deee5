#include "Process/ConfigurationFleet.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// The default of [platform] in the settings.
constexpr std::uint64_t CallsPerSecond = 8;

std::vector<std::string> namesOf(ConfigurationFleet &Fleet,
                                 const std::vector<std::size_t> &Indexes) {
  std::vector<std::string> Names;
  Names.reserve(Indexes.size());
  for (const std::size_t Index : Indexes)
    Names.push_back(Fleet.router(Index).Name);
  return Names;
}

void setStoreUnreachable(ConfigurationFleet &Fleet, bool Unreachable) {
  for (FleetRouter &Router : Fleet.routers())
    Router.StoreLink->setCut(Unreachable);
}

/// Applies another change and checks that it gets this generation.
void applyNext(ConfigurationFleet &Fleet, std::uint64_t Generation,
               const std::string &Account) {
  const CommandResult Command =
      Fleet.apply(Fleet.writeDeclarations(Account), "operator");
  cr_assert_eq(Command.Code, 0, "%s", Command.Output.c_str());
  cr_assert(Command.Output.find("in force as generation " +
                                std::to_string(Generation) + "\n") !=
            std::string::npos);
}

void applyNext(ConfigurationFleet &Fleet, std::uint64_t Generation) {
  applyNext(Fleet, Generation, "account" + std::to_string(Generation));
}

/// The highest rate of store calls in any second of this time.
double maxCallsPerSecond(const ConfigurationFleet &Fleet, int Seconds) {
  double Max = 0;
  auto MeasuredAt = std::chrono::steady_clock::now();
  std::uint64_t Before = Fleet.storeCalls();
  for (int Second = 0; Second < Seconds; ++Second) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const std::uint64_t Now = Fleet.storeCalls();
    const std::chrono::duration<double> Elapsed =
        std::chrono::steady_clock::now() - MeasuredAt;
    Max = std::max(Max, static_cast<double>(Now - Before) / Elapsed.count());
    MeasuredAt = std::chrono::steady_clock::now();
    Before = Now;
  }
  return Max;
}

} // namespace

// Guards against refusing requests during a store outage, against a router that
// serves nothing after a restart during it, and against flooding the store when
// it returns: the store becomes unreachable, a router is killed and restarted,
// and the store returns. This happens if only the store provides the
// configuration or if calls have no backoff.
Test(ConfigurationOutage, ServesDuringAndAfterAStoreOutage, .timeout = 280) {
  ConfigurationFleet Fleet(3, true);
  GenerationMonitor Monitor(Fleet.routers());
  applyNext(Fleet, 1);
  applyNext(Fleet, 2);
  cr_assert(Fleet.waitForGeneration(2));
  cr_assert(Fleet.waitForViewSize(3, {0, 1, 2}));
  setStoreUnreachable(Fleet, true);
  Fleet.router(0).Process->signal(SIGKILL);
  Fleet.startRouter(0);
  cr_assert(Fleet.waitForGeneration(2));
  const auto KeeperState =
      Fleet.router(0).dump()->getObject("configuration_keeper");
  cr_expect(KeeperState->getValue<bool>("takenWithoutStore"));
  cr_expect_eq(KeeperState->getValue<std::string>("from"), "peers");
  cr_expect(!KeeperState->getValue<bool>("storeAnswers"));
  // Longer than the lease TTL, so that all routers must acquire a new lease at
  // once.
  std::this_thread::sleep_for(std::chrono::seconds(7));
  for (std::size_t Index = 0; Index < 3; ++Index)
    cr_expect_eq(Fleet.requestStatusAt(Index, "account2"), 200);
  setStoreUnreachable(Fleet, false);
  const double Max = maxCallsPerSecond(Fleet, 12);
  cr_log_info("max store calls per second after the outage: %.1f", Max);
  cr_expect_leq(Max, static_cast<double>(CallsPerSecond * 3));
  applyNext(Fleet, 3);
  cr_assert(Fleet.waitForGeneration(3));
  const std::string Regressions = Monitor.stop();
  cr_expect(Regressions.empty(), "%s", Regressions.c_str());
}

// Guards against a disconnected router that reactivates an old file: a router
// is partitioned from the store and all other routers, changes are applied,
// another router is restarted, and the partition heals; then all of it again.
// This happens if routers accept a configuration by its arrival instead of its
// generation.
Test(ConfigurationOutage, ADisconnectedRouterRevertsNoOther, .timeout = 280) {
  ConfigurationFleet Fleet(4, true);
  GenerationMonitor Monitor(Fleet.routers());
  applyNext(Fleet, 1);
  cr_assert(Fleet.waitForGeneration(1));
  cr_assert(Fleet.waitForViewSize(4, {0, 1, 2, 3}));
  std::uint64_t Newest = 1;
  for (int Round = 0; Round < 2; ++Round) {
    const std::uint64_t OldGeneration = Newest;
    Fleet.router(3).StoreLink->setCut(true);
    cr_assert(Fleet.router(3).disconnectFrom(namesOf(Fleet, {0, 1, 2})));
    for (const std::size_t Index : {0, 1, 2})
      cr_assert(Fleet.router(Index).disconnectFrom({"r4"}));
    for (int Change = 0; Change < 3; ++Change)
      applyNext(Fleet, ++Newest);
    cr_assert(Fleet.waitForGeneration(Newest, {0, 1, 2}));
    cr_expect_eq(Fleet.router(3).generation()->Generation, OldGeneration);
    cr_expect_eq(
        Fleet.requestStatusAt(3, "account" + std::to_string(OldGeneration)),
        200);
    Fleet.router(1).Process->signal(SIGKILL);
    Fleet.startRouter(1);
    cr_assert(Fleet.waitForGeneration(Newest, {0, 1, 2}));
    Fleet.router(3).StoreLink->setCut(false);
    for (FleetRouter &Router : Fleet.routers())
      cr_assert(Router.disconnectFrom({}));
    cr_assert(Fleet.waitForGeneration(Newest));
    cr_expect_eq(Fleet.requestStatusAt(3, "account" + std::to_string(Newest)),
                 200);
  }
  const std::string Regressions = Monitor.stop();
  cr_expect(Regressions.empty(), "%s", Regressions.c_str());
  cr_expect_gt(Monitor.polls(), 100);
}

// Guards against a router that serves with an old file after a restart: the
// store returns stale reads, a change is applied, and a router is killed and
// restarted. This happens if the first read after a start is activated without
// regard to what other routers have. Fails without the wait until
// ConfigurationKeeper::JoinUntil.
Test(ConfigurationOutage, StaleReadsRevertNobody, .timeout = 280) {
  ConfigurationFleet Fleet(3);
  GenerationMonitor Monitor(Fleet.routers());
  applyNext(Fleet, 1);
  applyNext(Fleet, 2);
  cr_assert(Fleet.waitForGeneration(2));
  cr_assert(Fleet.waitForViewSize(3, {0, 1, 2}));
  Fleet.setStoreFaults(R"({"stale":true})");
  // The parts of the first file are still in the store, so that a watch event
  // can activate them although reads are stale.
  applyNext(Fleet, 3, "account1");
  cr_assert(Fleet.waitForGeneration(3));
  for (const std::size_t Index : {0, 1, 2}) {
    Fleet.router(Index).Process->signal(SIGKILL);
    Fleet.startRouter(Index);
    cr_assert(Fleet.waitForGeneration(3, {Index}));
    cr_expect_eq(Fleet.requestStatusAt(Index, "account1"), 200);
  }
  // Each relay reads the manifest again within some seconds.
  cr_expect(waitFor(std::chrono::seconds(60), [&] {
    return std::ranges::any_of(Fleet.routers(), [](const FleetRouter &Router) {
      const auto Dump = Router.dump();
      return Dump && Dump->getObject("configuration_keeper")
                             ->getValue<int>("staleNews") > 0;
    });
  }));
  Fleet.setStoreFaults(R"({"stale":false})");
  applyNext(Fleet, 4);
  cr_assert(Fleet.waitForGeneration(4));
  const std::string Regressions = Monitor.stop();
  cr_expect(Regressions.empty(), "%s", Regressions.c_str());
}
