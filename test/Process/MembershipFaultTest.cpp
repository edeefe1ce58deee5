#include "Process/ConfigurationFleet.h"

#include "Program/PlatformDeclarations.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

const std::vector<std::size_t> AllThree{0, 1, 2};
const std::vector<std::string> LongWait{"--wait-in-force", "60"};

void applyEverywhere(const ConfigurationFleet &Fleet,
                     const std::string &Account) {
  const CommandResult Command =
      Fleet.apply(Fleet.writeDeclarations(Account), "operator", LongWait);
  cr_assert_eq(Command.Code, 0, "%s", Command.Output.c_str());
}

/// The registration of the third router in the store, if any.
std::optional<RouterRegistration>
thirdRegistration(const ConfigurationFleet &Fleet) {
  const auto Registrations =
      listRouters({Fleet.storeAddress(), "parsleywing/"});
  if (Registrations)
    for (const RouterRegistration &Router : *Registrations)
      if (Router.Name == "r3")
        return Router;
  return std::nullopt;
}

} // namespace

// Guards against halves of a fleet that stay separate after a partition: two
// routers are partitioned from two others until each half considers the other
// dead, and the partition heals; then again. This happens if routers send
// nothing to routers that they consider dead.
Test(MembershipFault, ViewsAgreeAgainAfterAPartition, .timeout = 280) {
  ConfigurationFleet Fleet(4);
  const std::vector<std::size_t> All{0, 1, 2, 3};
  cr_assert(Fleet.waitForViewSize(4, All));
  for (const std::string Account : {"almond", "basil"}) {
    for (const std::size_t Index : {0, 1})
      cr_assert(Fleet.router(Index).disconnectFrom({"r3", "r4"}));
    for (const std::size_t Index : {2, 3})
      cr_assert(Fleet.router(Index).disconnectFrom({"r1", "r2"}));
    cr_assert(Fleet.waitForViewSize(2, All));
    // Both halves are connected to the store, so both receive the change.
    applyEverywhere(Fleet, Account);
    for (const std::size_t Index : All)
      cr_expect_eq(Fleet.requestStatusAt(Index, Account), 200);
    for (FleetRouter &Router : Fleet.routers())
      cr_assert(Router.disconnectFrom({}));
    cr_assert(Fleet.waitForViewSize(4, All));
  }
}

// Guards against a stopped router that stays outside the fleet or serves with
// an old file: after SIGSTOP its lease expires and the others consider it dead,
// a change is applied, and the router is continued with SIGCONT. This happens
// if it only renews its expired lease, or if the others stay dead in its view.
Test(MembershipFault, AFrozenRouterCatchesUp, .timeout = 280) {
  ConfigurationFleet Fleet(3);
  GenerationMonitor Monitor(Fleet.routers());
  cr_assert(Fleet.waitForViewSize(3, AllThree));
  applyEverywhere(Fleet, "almond");
  Fleet.router(2).Process->signal(SIGSTOP);
  cr_assert(Fleet.waitForViewSize(2, {0, 1}));
  cr_assert(waitFor(std::chrono::seconds(60),
                    [&] { return !thirdRegistration(Fleet); }));
  applyEverywhere(Fleet, "basil");
  Fleet.router(2).Process->signal(SIGCONT);
  cr_assert(Fleet.waitForGeneration(2, {2}));
  cr_assert(Fleet.waitForViewSize(3, AllThree));
  cr_assert(waitFor(std::chrono::seconds(60),
                    [&] { return thirdRegistration(Fleet).has_value(); }));
  cr_expect_eq(Fleet.requestStatusAt(2, "basil"), 200);
  const std::string Regressions = Monitor.stop();
  cr_expect(Regressions.empty(), "%s", Regressions.c_str());
}

// Guards against two processes that serve under one router name, and against a
// live router missing from the list: a router is stopped with SIGSTOP, another
// process takes its name at other addresses, and the first is continued with
// SIGCONT, once connected to the others and once partitioned from them. The
// continued process must exit rather than overwrite the registration of its
// replacement. Fails without the check of the holder in
// PlatformThread::registerRouter and in MembershipTable::on(LeaseListed): the
// live router is then in no list.
Test(MembershipFault, AReplacedProcessExits, .timeout = 280) {
  ConfigurationFleet Fleet(3);
  applyEverywhere(Fleet, "almond");
  cr_assert(Fleet.waitForViewSize(3, AllThree));
  for (const bool IsPartitioned : {false, true}) {
    if (IsPartitioned)
      cr_assert(Fleet.router(2).disconnectFrom({"r1", "r2"}));
    Fleet.router(2).Process->signal(SIGSTOP);
    cr_assert(waitFor(std::chrono::seconds(60),
                      [&] { return !thirdRegistration(Fleet); }));
    const auto OldProcess = Fleet.replaceRouter(2);
    cr_assert(waitFor(std::chrono::seconds(60),
                      [&] { return thirdRegistration(Fleet).has_value(); }));
    const auto Incarnation = Fleet.router(2).generation()->Incarnation;
    cr_assert(Fleet.waitForViewSize(3, AllThree));
    OldProcess->signal(SIGCONT);
    cr_assert(
        waitFor(std::chrono::seconds(60), [&] { return OldProcess->ended(); }),
        "the old process did not exit%s", IsPartitioned ? ", partitioned" : "");
    const auto Registration = thirdRegistration(Fleet);
    cr_assert(Registration.has_value());
    cr_expect_eq(Registration->IncarnationNumber, Incarnation);
    cr_assert(Fleet.waitForViewSize(3, AllThree));
    cr_assert(Fleet.waitForGeneration(1));
    cr_expect_eq(Fleet.requestStatusAt(2, "almond"), 200);
  }
}
