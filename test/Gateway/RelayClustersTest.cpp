#include "Gateway/RelayClusters.h"

#include <criterion/criterion.h>
#include <string>

using namespace parsleywing;

Test(RelayClusters, aSmallFleetSharesOneRelay) {
  const auto Clusters = relayClusters({{"a", 2}, {"b", 2}, {"c", 2}});
  cr_assert_eq(Clusters.size(), 1U);
  cr_assert_eq(Clusters[0].Zones.size(), 3U);
}

Test(RelayClusters, zonesShareRelaysIfThereAreFewerRelaysThanZones) {
  const auto Clusters =
      relayClusters({{"a", 17}, {"b", 14}, {"c", 16}, {"d", 16}});
  cr_assert_eq(Clusters.size(), 2U);
  for (const char *Zone : {"a", "b", "c", "d"})
    cr_assert_not_null(clusterOf(Clusters, "r", Zone));
  cr_assert_neq(Clusters[0].Key, Clusters[1].Key);
}

// Guards against relays in any zone: when a zone of a large fleet is lost and
// restored, each change would cross the zones' links to most routers, which is
// charged for.
Test(RelayClusters, inALargeFleetEveryRouterHasARelayOfItsZone) {
  const auto Clusters =
      relayClusters({{"a", 78}, {"b", 73}, {"c", 76}, {"d", 75}});
  cr_assert_eq(Clusters.size(), 8U);
  for (int Router = 0; Router < 50; ++Router)
    for (const char *Zone : {"a", "b", "c", "d"}) {
      const RelayCluster *Own =
          clusterOf(Clusters, "r" + std::to_string(Router), Zone);
      cr_assert(Own != nullptr && Own->Zones == std::set<std::string>{Zone});
    }
  cr_assert_null(clusterOf(Clusters, "r", "elsewhere"));
}

Test(RelayClusters, anEmptyFleetHasNoClusters) {
  cr_assert(relayClusters({}).empty());
}
