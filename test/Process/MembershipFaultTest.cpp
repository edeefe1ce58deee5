#include "Process/ConfigurationFleet.h"

#include "Program/PlatformDeclarations.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

const std::vector<std::size_t> AllThree{0, 1, 2};
const std::vector<std::string> Patient{"--wait-in-force", "60"};

void applyEverywhere(const ConfigurationFleet &Fleet,
                     const std::string &Account) {
  const CommandResult Run =
      Fleet.apply(Fleet.declare(Account), "operator", Patient);
  cr_assert_eq(Run.Code, 0, "%s", Run.Printed.c_str());
}

/// The registration of the third router, as the store lists it.
std::optional<RouterRegistration>
thirdRegistration(const ConfigurationFleet &Fleet) {
  const auto Listed = listRouters({Fleet.storeAddress(), "parsleywing/"});
  if (Listed)
    for (const RouterRegistration &Router : *Listed)
      if (Router.Name == "r3")
        return Router;
  return std::nullopt;
}

} // namespace

// Symptom: after a cut the two halves never work together again.
// Sequence: two routers are cut from two others for long enough that each half
// counts the other as dead; the cut heals. Then all once more.
// Cause: nobody speaks to a router that counts as dead.
Test(MembershipFault, ViewsAgreeAgainAfterAPartition, .timeout = 280) {
  ConfigurationFleet Fleet(4);
  const std::vector<std::size_t> All{0, 1, 2, 3};
  cr_assert(Fleet.waitForViews(4, All));
  for (const std::string Account : {"almond", "basil"}) {
    for (const std::size_t Index : {0, 1})
      cr_assert(Fleet.router(Index).cutFrom({"r3", "r4"}));
    for (const std::size_t Index : {2, 3})
      cr_assert(Fleet.router(Index).cutFrom({"r1", "r2"}));
    cr_assert(Fleet.waitForViews(2, All));
    // Both halves reach the store: both get the change.
    applyEverywhere(Fleet, Account);
    for (const std::size_t Index : All)
      cr_expect_eq(Fleet.callAt(Index, Account), 200);
    for (FleetRouter &Router : Fleet.routers())
      cr_assert(Router.cutFrom({}));
    cr_assert(Fleet.waitForViews(4, All));
  }
}

// Symptom: a router that was frozen stays outside, or serves by an old file.
// Sequence: SIGSTOP; its lease lapses and the others count it as dead; a
// change is applied; SIGCONT.
// Cause: a lapsed lease is renewed for ever; others stay dead in its view.
Test(MembershipFault, AFrozenRouterCatchesUp, .timeout = 280) {
  ConfigurationFleet Fleet(3);
  GenerationWatch Watch(Fleet.routers());
  cr_assert(Fleet.waitForViews(3, AllThree));
  applyEverywhere(Fleet, "almond");
  Fleet.router(2).Process->signal(SIGSTOP);
  cr_assert(Fleet.waitForViews(2, {0, 1}));
  cr_assert(within(std::chrono::seconds(60),
                   [&] { return !thirdRegistration(Fleet); }));
  applyEverywhere(Fleet, "basil");
  Fleet.router(2).Process->signal(SIGCONT);
  cr_assert(Fleet.waitForGeneration(2, {2}));
  cr_assert(Fleet.waitForViews(3, AllThree));
  cr_assert(within(std::chrono::seconds(60),
                   [&] { return thirdRegistration(Fleet).has_value(); }));
  cr_expect_eq(Fleet.callAt(2, "basil"), 200);
  const std::string StepsBack = Watch.stop();
  cr_expect(StepsBack.empty(), "%s", StepsBack.c_str());
}

// Symptom: two processes serve under one name, or the live one is in no list.
// Sequence: SIGSTOP; another process takes the name at other addresses;
// SIGCONT. Once the woken one hears the others, once it is cut off from them.
// Cause: the woken process goes on, and writes its registration over that of
// the other. Run without the look at the holder in PlatformThread::registerSelf
// and in MembershipTable::on(LeaseListed): the live one is in no list.
Test(MembershipFault, AReplacedProcessEnds, .timeout = 280) {
  ConfigurationFleet Fleet(3);
  applyEverywhere(Fleet, "almond");
  cr_assert(Fleet.waitForViews(3, AllThree));
  for (const bool IsCutOff : {false, true}) {
    if (IsCutOff)
      cr_assert(Fleet.router(2).cutFrom({"r1", "r2"}));
    Fleet.router(2).Process->signal(SIGSTOP);
    cr_assert(within(std::chrono::seconds(60),
                     [&] { return !thirdRegistration(Fleet); }));
    const auto Old = Fleet.replaceRouter(2);
    cr_assert(within(std::chrono::seconds(60),
                     [&] { return thirdRegistration(Fleet).has_value(); }));
    const auto Life = Fleet.router(2).generation()->Incarnation;
    cr_assert(Fleet.waitForViews(3, AllThree));
    Old->signal(SIGCONT);
    cr_assert(within(std::chrono::seconds(60), [&] { return Old->ended(); }),
              "the old process goes on%s", IsCutOff ? ", cut off" : "");
    const auto Listed = thirdRegistration(Fleet);
    cr_assert(Listed.has_value());
    cr_expect_eq(Listed->IncarnationNumber, Life);
    cr_assert(Fleet.waitForViews(3, AllThree));
    cr_assert(Fleet.waitForGeneration(1));
    cr_expect_eq(Fleet.callAt(2, "almond"), 200);
  }
}
