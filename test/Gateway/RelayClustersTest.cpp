#include "Gateway/RelayClusters.h"

#include <criterion/criterion.h>
#include <string>

using namespace parsleywing;

Test(RelayClusters, aSmallFleetSharesOneRelay) {
  const auto Made = relayClusters({{"a", 2}, {"b", 2}, {"c", 2}});
  cr_assert_eq(Made.size(), 1U);
  cr_assert_eq(Made[0].Zones.size(), 3U);
}

Test(RelayClusters, zonesShareRelaysWhereThereAreFewerRelaysThanZones) {
  const auto Made = relayClusters({{"a", 17}, {"b", 14}, {"c", 16}, {"d", 16}});
  cr_assert_eq(Made.size(), 2U);
  for (const char *Zone : {"a", "b", "c", "d"})
    cr_assert_not_null(clusterOf(Made, "r", Zone));
  cr_assert_neq(Made[0].Key, Made[1].Key);
}

// Symptom: most of what routers send crosses zones, at a price that is higher
// than all others together. Sequence: a zone of 3,000 servers' fleet is lost
// and comes back; each change goes to 300 routers. Cause: relays anywhere.
Test(RelayClusters, inALargeFleetEveryRouterHasARelayOfItsZone) {
  const auto Made = relayClusters({{"a", 78}, {"b", 73}, {"c", 76}, {"d", 75}});
  cr_assert_eq(Made.size(), 8U);
  for (int Router = 0; Router < 50; ++Router)
    for (const char *Zone : {"a", "b", "c", "d"}) {
      const RelayCluster *Own =
          clusterOf(Made, "r" + std::to_string(Router), Zone);
      cr_assert(Own != nullptr && Own->Zones == std::set<std::string>{Zone});
    }
  cr_assert_null(clusterOf(Made, "r", "elsewhere"));
}

Test(RelayClusters, noRoutersNoClusters) {
  cr_assert(relayClusters({}).empty());
}
