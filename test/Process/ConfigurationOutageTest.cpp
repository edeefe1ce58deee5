#include "Process/ConfigurationFleet.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr std::uint64_t CallsPerSecond = 8; // [platform] default of a router.

std::vector<std::string> namesOf(ConfigurationFleet &Fleet,
                                 const std::vector<std::size_t> &Which) {
  std::vector<std::string> Names;
  Names.reserve(Which.size());
  for (const std::size_t Index : Which)
    Names.push_back(Fleet.router(Index).Name);
  return Names;
}

void setStoreAway(ConfigurationFleet &Fleet, bool Away) {
  for (FleetRouter &Router : Fleet.routers())
    Router.Relay->setCut(Away);
}

/// Applies one more change; its generation must be the next.
void applyNext(ConfigurationFleet &Fleet, std::uint64_t Generation,
               const std::string &Account) {
  const CommandResult Run = Fleet.apply(Fleet.declare(Account), "operator");
  cr_assert_eq(Run.Code, 0, "%s", Run.Printed.c_str());
  cr_assert(Run.Printed.find("in force as generation " +
                             std::to_string(Generation) + "\n") !=
            std::string::npos);
}

void applyNext(ConfigurationFleet &Fleet, std::uint64_t Generation) {
  applyNext(Fleet, Generation, "account" + std::to_string(Generation));
}

/// The most calls on the store in any of so many seconds.
double mostCallsPerSecond(const ConfigurationFleet &Fleet, int Seconds) {
  double Most = 0;
  auto At = std::chrono::steady_clock::now();
  std::uint64_t Before = Fleet.storeCalls();
  for (int Second = 0; Second < Seconds; ++Second) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const std::uint64_t Now = Fleet.storeCalls();
    const std::chrono::duration<double> Passed =
        std::chrono::steady_clock::now() - At;
    Most = std::max(Most, static_cast<double>(Now - Before) / Passed.count());
    At = std::chrono::steady_clock::now();
    Before = Now;
  }
  return Most;
}

} // namespace

// Symptom: while the store is down callers are refused, or a router that is
// restarted then serves nothing; when it is back it is flooded.
// Sequence: the store goes; a router is killed and started anew; it returns.
// Cause: a configuration that only the store gives; calls without backoff.
Test(ConfigurationOutage, StoreDownAndBackAgain, .timeout = 280) {
  ConfigurationFleet Fleet(3, true);
  GenerationWatch Watch(Fleet.routers());
  applyNext(Fleet, 1);
  applyNext(Fleet, 2);
  cr_assert(Fleet.waitForGeneration(2));
  cr_assert(Fleet.waitForViews(3, {0, 1, 2}));
  setStoreAway(Fleet, true);
  Fleet.router(0).Process->signal(SIGKILL);
  Fleet.startRouter(0);
  cr_assert(Fleet.waitForGeneration(2));
  const auto Keeper = Fleet.router(0).dump()->getObject("configuration_keeper");
  cr_expect(Keeper->getValue<bool>("takenWithoutStore"));
  cr_expect_eq(Keeper->getValue<std::string>("from"), "peers");
  cr_expect(!Keeper->getValue<bool>("storeAnswers"));
  // Past the life of each lease, so that all must take a new one at once.
  std::this_thread::sleep_for(std::chrono::seconds(7));
  for (std::size_t Index = 0; Index < 3; ++Index)
    cr_expect_eq(Fleet.callAt(Index, "account2"), 200);
  setStoreAway(Fleet, false);
  const double Most = mostCallsPerSecond(Fleet, 12);
  cr_log_info("most calls a second after the return: %.1f", Most);
  cr_expect_leq(Most, static_cast<double>(CallsPerSecond * 3));
  applyNext(Fleet, 3);
  cr_assert(Fleet.waitForGeneration(3));
  const std::string StepsBack = Watch.stop();
  cr_expect(StepsBack.empty(), "%s", StepsBack.c_str());
}

// Symptom: a router that was cut off brings an old file back in force.
// Sequence: a router is cut from the store and from all others; changes are
// applied; one of the others is restarted; the cut heals. Then all once more.
// Cause: news is taken by its arrival and not by its generation.
Test(ConfigurationOutage, ACutOffRouterNeverRevertsAnybody, .timeout = 280) {
  ConfigurationFleet Fleet(4, true);
  GenerationWatch Watch(Fleet.routers());
  applyNext(Fleet, 1);
  cr_assert(Fleet.waitForGeneration(1));
  cr_assert(Fleet.waitForViews(4, {0, 1, 2, 3}));
  std::uint64_t Newest = 1;
  for (int Round = 0; Round < 2; ++Round) {
    const std::uint64_t Old = Newest;
    Fleet.router(3).Relay->setCut(true);
    cr_assert(Fleet.router(3).cutFrom(namesOf(Fleet, {0, 1, 2})));
    for (const std::size_t Index : {0, 1, 2})
      cr_assert(Fleet.router(Index).cutFrom({"r4"}));
    for (int Change = 0; Change < 3; ++Change)
      applyNext(Fleet, ++Newest);
    cr_assert(Fleet.waitForGeneration(Newest, {0, 1, 2}));
    cr_expect_eq(Fleet.router(3).generation()->Generation, Old);
    cr_expect_eq(Fleet.callAt(3, "account" + std::to_string(Old)), 200);
    Fleet.router(1).Process->signal(SIGKILL);
    Fleet.startRouter(1);
    cr_assert(Fleet.waitForGeneration(Newest, {0, 1, 2}));
    Fleet.router(3).Relay->setCut(false);
    for (FleetRouter &Router : Fleet.routers())
      cr_assert(Router.cutFrom({}));
    cr_assert(Fleet.waitForGeneration(Newest));
    cr_expect_eq(Fleet.callAt(3, "account" + std::to_string(Newest)), 200);
  }
  const std::string StepsBack = Watch.stop();
  cr_expect(StepsBack.empty(), "%s", StepsBack.c_str());
  cr_expect_gt(Watch.polls(), 100);
}

// Symptom: after a restart a router serves by an old file for a while.
// Sequence: the store answers reads from the past; a change is applied; a
// router is killed and started anew.
// Cause: the first answer after a start is put in force, whatever others have.
// Run without the wait of ConfigurationKeeper::JoinUntil: a step back is seen.
Test(ConfigurationOutage, StaleReadsRevertNobody, .timeout = 280) {
  ConfigurationFleet Fleet(3);
  GenerationWatch Watch(Fleet.routers());
  applyNext(Fleet, 1);
  applyNext(Fleet, 2);
  cr_assert(Fleet.waitForGeneration(2));
  cr_assert(Fleet.waitForViews(3, {0, 1, 2}));
  Fleet.orderStoreFaults(R"({"stale":true})");
  // The parts of the first file are in the store still, so that a watch event
  // puts it in force though reads show the past.
  applyNext(Fleet, 3, "account1");
  cr_assert(Fleet.waitForGeneration(3));
  for (const std::size_t Index : {0, 1, 2}) {
    Fleet.router(Index).Process->signal(SIGKILL);
    Fleet.startRouter(Index);
    cr_assert(Fleet.waitForGeneration(3, {Index}));
    cr_expect_eq(Fleet.callAt(Index, "account1"), 200);
  }
  // Each relay reads the manifest again within some seconds.
  cr_expect(within(std::chrono::seconds(60), [&] {
    return std::ranges::any_of(Fleet.routers(), [](const FleetRouter &Router) {
      const auto Dump = Router.dump();
      return Dump && Dump->getObject("configuration_keeper")
                             ->getValue<int>("staleNews") > 0;
    });
  }));
  Fleet.orderStoreFaults(R"({"stale":false})");
  applyNext(Fleet, 4);
  cr_assert(Fleet.waitForGeneration(4));
  const std::string StepsBack = Watch.stop();
  cr_expect(StepsBack.empty(), "%s", StepsBack.c_str());
}
