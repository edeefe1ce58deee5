#include "Overload/RelayPolicy.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr Duration Lagging = 25ms;
constexpr std::size_t MaxOpen = 1000;

void report(RelayPolicy &Policy, const std::string &Router, double SpareCores,
            bool IsInOwnZone = true, TimePoint At = Start) {
  static std::uint64_t Number = 0;
  Policy.recordQuery(Router, ++Number, IsInOwnZone, At);
  Policy.recordReport(Number, SpareCores, Router + ":1");
}

} // namespace

// Guards against relays without need, without a report or on one that is too
// old.
Test(RelayPolicy, relaysOnlyWithLagAndAFreshReport) {
  RelayPolicy Policy(1, MaxOpen);
  cr_expect_not(Policy.choose(Lagging, false, Start));
  Policy.recordQuery("a", 1000, true, Start);
  cr_expect_not(Policy.choose(Lagging, false, Start));
  report(Policy, "a", 0.3);
  cr_expect_not(Policy.choose(20ms, false, Start));
  cr_expect(Policy.choose(Lagging, false, Start + 1s));
  cr_expect_not(Policy.choose(Lagging, false, Start + 1001ms));
  Policy.recordUnreachable("a");
  cr_expect_not(Policy.choose(Lagging, false, Start));
}

// Guards against more relays than a target has time for, and than it takes at
// once.
Test(RelayPolicy, aFullTargetIsNotChosen) {
  RelayPolicy Policy(1, MaxOpen);
  report(Policy, "a", 0.1);
  int Relayed = 0;
  while (Policy.choose(Lagging, false, Start)) {
    Policy.recordOpened("a");
    ++Relayed;
  }
  cr_expect_geq(Relayed, 9);
  cr_expect_leq(Relayed, 10);
  report(Policy, "b", 100);
  Relayed = 0;
  while (Policy.choose(Lagging, false, Start)) {
    Policy.recordOpened("b");
    ++Relayed;
  }
  cr_expect_eq(Relayed, RelayPolicy::MaxOpenPerTarget);
  Policy.recordEnded("b");
  cr_expect(Policy.choose(Lagging, false, Start));
}

// Guards against a router that runs out of descriptors by its relays.
Test(RelayPolicy, theRelaysOpenAtOnceAreBounded) {
  RelayPolicy Policy(1, 2);
  report(Policy, "a", 100);
  Policy.recordOpened("a");
  cr_expect(Policy.choose(Lagging, false, Start));
  Policy.recordOpened("a");
  cr_expect_not(Policy.choose(Lagging, false, Start));
}

// Guards against traffic between zones while a router of the own zone has time,
// and against a connection that is served late since none there has.
Test(RelayPolicy, routersInTheOwnZoneComeFirst) {
  RelayPolicy Policy(1, MaxOpen);
  report(Policy, "far", 10, false);
  report(Policy, "near", 0.015);
  cr_expect_eq(Policy.choose(Lagging, false, Start)->Router, "near");
  Policy.recordOpened("near");
  cr_expect_eq(Policy.choose(Lagging, false, Start)->Router, "far");
}

// Guards against a connection that two routers, each of which believes that the
// other has time, relay to each other.
Test(RelayPolicy, aConnectionIsRelayedOnce) {
  RelayPolicy One(1, MaxOpen);
  RelayPolicy Other(2, MaxOpen);
  report(One, "other", 0.3);
  report(Other, "one", 0.3);
  cr_expect(One.choose(Lagging, false, Start));
  cr_expect_not(Other.choose(Lagging, true, Start));
  cr_expect(Other.choose(Lagging, false, Start));
}
