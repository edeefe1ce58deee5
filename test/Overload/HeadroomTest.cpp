#include "Overload/HeadroomPeers.h"
#include "Overload/HeadroomTable.h"
#include "Overload/RedirectPolicy.h"

#include <criterion/criterion.h>
#include <map>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

void ask(HeadroomTable &Table, const std::string &Router, double SpareCores,
         TimePoint Now = Start) {
  static std::uint64_t Number = 100;
  Table.recordQuery(Router, ++Number, true, Now);
  Table.recordReport(Number, SpareCores);
}

} // namespace

// Guards against redirecting on the word of a router that may have died.
Test(Headroom, aReportIsValidForOneSecondAfterItsQuery) {
  HeadroomTable Table;
  cr_assert_not(Table.hasRoom(Start));
  ask(Table, "a", 0.3);
  cr_assert(Table.hasRoom(Start + 1s));
  cr_assert_not(Table.hasRoom(Start + 1001ms));
  // Neither a reply that is missing nor one to an earlier query renews it.
  Table.recordQuery("a", 1, true, Start + 500ms);
  Table.recordQuery("a", 2, true, Start + 750ms);
  Table.recordReport(1, 0.3);
  cr_assert_not(Table.hasRoom(Start + 1001ms));
}

// Guards against more redirected requests than the others have time for.
Test(Headroom, redirectsReduceTheReportsBeforeThem) {
  HeadroomTable Table;
  ask(Table, "a", 0.1);
  ask(Table, "b", 0.3);
  int Redirected = 0;
  while (Table.hasRoom(Start)) {
    Table.recordRedirect();
    ++Redirected;
  }
  // Half of them reach "a", which is full before "b".
  cr_expect_geq(Redirected * HeadroomTable::RequestSeconds, 0.5);
  cr_expect_leq(Redirected * HeadroomTable::RequestSeconds, 0.61);
  ask(Table, "b", 0.05, Start + 100ms);
  cr_expect(Table.hasRoom(Start + 100ms));
}

// Guards against a full fleet whose routers all query each other at the highest
// rate, and against one spare router that is then found late.
Test(Headroom, theFleetIsFullIfNoReportStatesSpareTime) {
  HeadroomTable Table;
  cr_expect_not(Table.isFleetFull(Start));
  ask(Table, "a", 0);
  cr_expect(Table.isFleetFull(Start));
  cr_expect_not(Table.isFleetFull(Start + 1001ms));
  ask(Table, "b", 0.1);
  while (Table.hasRoom(Start))
    Table.recordRedirect();
  cr_expect_not(Table.isFleetFull(Start));
}

// Guards against a router that takes an outage of the store for its own: it is
// cut off only if no router of another zone replies.
Test(Headroom, aRouterIsCutOffIfNoRouterElsewhereReplies) {
  HeadroomTable Table;
  Table.recordQuery("near", 1, false, Start);
  Table.recordReport(1, 0);
  std::uint64_t Number = 1;
  for (const char *Far : {"a", "b", "c"})
    Table.recordQuery(Far, ++Number, true, Start);
  cr_expect_not(Table.isCutOff(Start + 100ms));
  cr_expect(Table.isCutOff(Start + 200ms));
  Table.recordReport(Number, 0);
  cr_expect_not(Table.isCutOff(Start + 200ms));
  cr_expect_not(Table.hasRoom(Start + 200ms));
}

// Guards against queries that all reach the same routers, or only those of a
// zone that may be cut off as a whole.
Test(Headroom, largerRoutersAreAskedMoreOftenAndTwoElsewhere) {
  std::vector<HeadroomPeer> Peers;
  Peers.reserve(40);
  for (int Index = 0; Index < 40; ++Index)
    Peers.push_back({"r" + std::to_string(Index), Index % 4 == 0 ? 0.5 : 0.12,
                     Index % 3 == 0});
  HeadroomPeers Choice(7);
  Choice.setPeers(Peers);
  std::map<std::string, int> Asked;
  int Large = 0;
  constexpr int Rounds = 100;
  for (int Round = 0; Round < Rounds; ++Round) {
    int Elsewhere = 0;
    const auto Chosen = Choice.choose(6);
    cr_assert_eq(Chosen.size(), 6U);
    for (const HeadroomPeer &Each : Chosen) {
      ++Asked[Each.Name];
      Large += Each.Cores > 0.4 ? 1 : 0;
      Elsewhere += Each.IsInOwnZone ? 0 : 1;
    }
    cr_assert_eq(Elsewhere, 2);
  }
  // A quarter of the routers is large, and 1 - 0.75 * 0.75 of the draws.
  cr_expect_gt(Large, Rounds * 6 / 3);
  cr_expect_geq(Asked.size(), 35U);
}

// Guards against another behaviour in fleets of equal routers.
Test(Headroom, equalRoutersDoNotRedirect) {
  const RedirectSettings Off;
  const RedirectSettings On{true, 2};
  cr_expect(On.appliesTo({0.5, 0.5, 0.25}));
  cr_expect_not(On.appliesTo({0.5, 0.5, 0.4}));
  cr_expect_not(On.appliesTo({0.5}));
  cr_expect_not(Off.appliesTo({0.5, 0.09}));
}
