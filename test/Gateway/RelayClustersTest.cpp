#include "Gateway/RelayClusters.h"

#include "Placement/RouterOrder.h"
#include "Runtime/Id.h"

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

// Guards against a router that takes itself for a relay when others do not, or
// the other way round.
Test(RelayClusters, theRelaysOfAListAreTheFirstOfEachCluster) {
  RouterList Routers;
  for (int Number = 0; Number < 120; ++Number)
    Routers["r" + std::to_string(Number)] = {"127.0.0.1:1",
                                             Number % 10 == 0 ? 1.0 : 0.1, 1,
                                             Number % 2 == 0 ? "a" : "b"};
  const auto Relays = relaysOf(Routers);
  const auto Clusters = relayClusters({{"a", 60}, {"b", 60}});
  cr_assert_eq(Clusters.size(), 4U);
  cr_expect_leq(Relays.size(), Clusters.size());
  for (const RelayCluster &Cluster : Clusters) {
    std::string First;
    double Best = -1;
    for (const auto &[Name, Endpoint] : Routers)
      if (const double Score =
              routerScore(hashName(Name), Cluster.Key, Endpoint.Cores);
          Cluster.Zones.contains(Endpoint.Zone) && Score > Best) {
        First = Name;
        Best = Score;
      }
    cr_expect(Relays.contains(First), "%s", First.c_str());
  }
  cr_expect(relaysOf({}).empty());
}

Test(RelayClusters, anEmptyFleetHasNoClusters) {
  cr_assert(relayClusters({}).empty());
}
