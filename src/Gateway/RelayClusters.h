#ifndef PARSLEYWING_GATEWAY_RELAYCLUSTERS_H
#define PARSLEYWING_GATEWAY_RELAYCLUSTERS_H

#include "Placement/FleetView.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleywing {

/// The number of routers in each availability zone.
using RouterCounts = std::map<std::string, std::size_t>;

/// Routers that share one relay: the first in the key's rendezvous order among
/// the routers of these availability zones.
struct RelayCluster {
  std::uint64_t Key = 0;
  std::set<std::string> Zones;
};

/// Divides the fleet into clusters of about 48 routers along its zones. All
/// routers with the same list get the same clusters. A change is sent from the
/// store to each relay, and from there within the zone. A relay in another zone
/// would send each change over the zones' link, which is charged for: 0.098 GB
/// per day for 302 routers, which cost more than everything else together.
std::vector<RelayCluster> relayClusters(const RouterCounts &Counts);

/// The cluster of a router, or null if there is none for its zone.
const RelayCluster *clusterOf(const std::vector<RelayCluster> &Clusters,
                              const std::string &Router,
                              const std::string &Zone);

/// The relays of all clusters, if every listed router is alive.
std::set<std::string> relaysOf(const RouterList &Routers);

} // namespace parsleywing

#endif
