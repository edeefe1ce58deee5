#include "Gateway/RelayClusters.h"

#include "Placement/RouterOrder.h"
#include "Runtime/Id.h"

namespace parsleywing {

namespace {

/// Approximate number of routers per relay. A relay then sends 40 to 80 status
/// messages per second (up to 6 KB), which takes 0.2 % of a core.
constexpr std::size_t RoutersPerRelay = 48;
/// Key of the rendezvous order of relays. Any constant does, but all routers
/// must have the same one.
constexpr std::uint64_t RelayOrderKey = 0x70726F6F66;

std::size_t relaysFor(std::size_t Routers) {
  return (Routers + RoutersPerRelay - 1) / RoutersPerRelay;
}

/// In a small fleet several zones share a relay: one relay per zone would read
/// the store more often than needed.
std::vector<RelayCluster> sharedClusters(const RouterCounts &Counts,
                                         std::size_t Relays) {
  if (Relays == 0)
    return {};
  std::vector<RelayCluster> Clusters(Relays);
  std::size_t Index = 0;
  for (const auto &[Zone, Count] : Counts)
    Clusters[Index++ % Relays].Zones.insert(Zone);
  for (std::size_t I = 0; I < Clusters.size(); ++I)
    Clusters[I].Key = rendezvousScore(RelayOrderKey, I);
  return Clusters;
}

} // namespace

std::vector<RelayCluster> relayClusters(const RouterCounts &Counts) {
  std::size_t Total = 0;
  for (const auto &[Zone, Count] : Counts)
    Total += Count;
  const std::size_t Relays = relaysFor(Total);
  if (Relays <= Counts.size())
    return sharedClusters(Counts, Relays);
  std::vector<RelayCluster> Clusters;
  for (const auto &[Zone, Count] : Counts)
    for (std::size_t I = 0; I < relaysFor(Count); ++I)
      Clusters.push_back(
          {rendezvousScore(RelayOrderKey ^ hashName(Zone), I), {Zone}});
  return Clusters;
}

std::set<std::string> relaysOf(const RouterList &Routers) {
  RouterCounts Counts;
  for (const auto &[Name, Endpoint] : Routers)
    ++Counts[Endpoint.Zone];
  std::set<std::string> Relays;
  for (const RelayCluster &Cluster : relayClusters(Counts)) {
    const std::string *First = nullptr;
    double BestScore = 0;
    for (const auto &[Name, Endpoint] : Routers) {
      const double Score =
          routerScore(hashName(Name), Cluster.Key, Endpoint.Cores);
      if (!Cluster.Zones.contains(Endpoint.Zone) || Score <= BestScore)
        continue;
      First = &Name;
      BestScore = Score;
    }
    if (First != nullptr)
      Relays.insert(*First);
  }
  return Relays;
}

const RelayCluster *clusterOf(const std::vector<RelayCluster> &Clusters,
                              const std::string &Router,
                              const std::string &Zone) {
  std::vector<const RelayCluster *> Own;
  for (const RelayCluster &Each : Clusters)
    if (Each.Zones.contains(Zone))
      Own.push_back(&Each);
  return Own.empty() ? nullptr : Own[hashName(Router) % Own.size()];
}

} // namespace parsleywing
