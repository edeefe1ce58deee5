#include "Gateway/RelayClusters.h"

#include "Runtime/Id.h"

namespace parsleywing {

namespace {

/// Routers for each relay, about: 40 to 80 words a second, up to 6 KB and 0.2 %
/// of a core.
constexpr std::size_t RoutersForRelay = 48;
/// The key of the order of relays.
constexpr std::uint64_t OrderKey = 0x70726F6F66;

std::size_t relaysFor(std::size_t Routers) {
  return (Routers + RoutersForRelay - 1) / RoutersForRelay;
}

/// Several zones share a relay where the fleet is small: one for each zone
/// would read the store more often than the fleet needs.
std::vector<RelayCluster> sharedClusters(const RouterCounts &Zones,
                                         std::size_t Relays) {
  if (Relays == 0)
    return {};
  std::vector<RelayCluster> Made(Relays);
  std::size_t Place = 0;
  for (const auto &[Zone, Count] : Zones)
    Made[Place++ % Relays].Zones.insert(Zone);
  for (std::size_t I = 0; I < Made.size(); ++I)
    Made[I].Key = rendezvousScore(OrderKey, I);
  return Made;
}

} // namespace

std::vector<RelayCluster> relayClusters(const RouterCounts &Routers) {
  std::size_t All = 0;
  for (const auto &[Zone, Count] : Routers)
    All += Count;
  const std::size_t Relays = relaysFor(All);
  if (Relays <= Routers.size())
    return sharedClusters(Routers, Relays);
  std::vector<RelayCluster> Made;
  for (const auto &[Zone, Count] : Routers)
    for (std::size_t I = 0; I < relaysFor(Count); ++I)
      Made.push_back({rendezvousScore(OrderKey ^ hashName(Zone), I), {Zone}});
  return Made;
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
