#ifndef PARSLEYWING_PLACEMENT_ROUTERORDER_H
#define PARSLEYWING_PLACEMENT_ROUTERORDER_H

#include "Placement/FleetView.h"

namespace parsleywing {

/// The score of a router in the weighted rendezvous order of a key. The third
/// power of its cores: among many small VMs, the few large ones get nearly all
/// of the work that is done for others. `Router` is the hash of its name.
double routerScore(std::uint64_t Router, std::uint64_t Key, double Cores);

/// The first router of the order, by the list alone; empty where none is
/// listed. Routers with the same list agree, whatever they think of who
/// answers.
std::string topRankedRouter(const RouterList &Listed, std::uint64_t Key);

} // namespace parsleywing

#endif
