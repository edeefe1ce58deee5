#ifndef PARSLEYWING_PLACEMENT_ROUTERORDER_H
#define PARSLEYWING_PLACEMENT_ROUTERORDER_H

#include "Placement/FleetView.h"

namespace parsleywing {

/// The score of a router for a key in weighted rendezvous hashing. The weight
/// is the sixth power of the core count, so that among many small VMs the few
/// large ones get nearly all of the work that routers do for each other. With
/// 82 VMs of 0.12 cores and 6 of 0.5, the small ones get 0.3 % of it; with the
/// third power they got a sixth, and one of two allocators was on a small one.
/// `Router` is the hash of the router's name.
double routerScore(std::uint64_t Router, std::uint64_t Key, double Cores);

/// The router with the highest score for the key; empty if none is listed. It
/// depends only on the list, so that routers with the same list agree,
/// whichever routers each of them can reach.
std::string topRankedRouter(const RouterList &Listed, std::uint64_t Key);

} // namespace parsleywing

#endif
