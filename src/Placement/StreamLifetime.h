#ifndef PARSLEYWING_PLACEMENT_STREAMLIFETIME_H
#define PARSLEYWING_PLACEMENT_STREAMLIFETIME_H

#include "Placement/FleetView.h"

namespace parsleywing {

/// How much longer than the caller's timeout a stream is remembered. Covers the
/// time that requests take to reach a router.
inline constexpr Duration StreamLifetimeMargin = std::chrono::seconds(2);

/// The longest timeout of a caller that counts for a stream of the route. Twice
/// the route's, so that no account can fill the records of all routers for
/// long.
inline Duration maxStreamTimeout(const GatewayRoute &Route) {
  return Route.Timeout * 2;
}

/// How long after its caller's first attempt a stream of the route may be taken
/// up, at most.
inline Duration maxStreamLifetime(const GatewayRoute &Route) {
  return maxStreamTimeout(Route) + StreamLifetimeMargin;
}

} // namespace parsleywing

#endif
