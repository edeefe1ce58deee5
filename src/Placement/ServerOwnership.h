#ifndef PARSLEYWING_PLACEMENT_SERVEROWNERSHIP_H
#define PARSLEYWING_PLACEMENT_SERVEROWNERSHIP_H

#include "Placement/FleetView.h"
#include "Placement/ServerGroups.h"

#include <cstdint>
#include <unordered_map>

namespace parsleywing {

/// Determines for which servers this router is the only allocator in the fleet,
/// even if some routers are disconnected. Two allocators of one server make it
/// busier than planned. A warm server can handle that; a server that is warming
/// up crashes.
///
/// The owner is the top-ranked listed router for the server's group. This
/// depends only on the router list in the store, not on whether a router
/// considers another one reachable. A router owns a server if its list was
/// complete at most `MaxListAge` ago, and if it has been top-ranked without
/// interruption, in all lists that it has received, for `TakeoverDelay`. Then
/// two routers never own a server at the same time: the one that ranks higher
/// has been listed for `TakeoverDelay`, which is longer than the other's list
/// may be old. The other's list therefore contains it, and the other is not
/// top-ranked in this list. A router that is listed again starts the delay
/// again, since it may have missed the time in which it was not listed.
///
/// The cost: a server that is warming up gets no requests for `TakeoverDelay`
/// after its allocator was lost or has started, nor while the store is
/// unreachable. Performs no I/O and has no clock of its own; all times are on
/// the clock that includes suspended time.
class ServerOwnership {
public:
  /// The maximum age of a list. Relays prove their lists about once per second,
  /// so that three proofs fit.
  static constexpr Duration MaxListAge = std::chrono::seconds(3);
  /// The sum of the maximum age of the previous owner's list, the send delay of
  /// its last grant (`MaxWarmUpSendDelay`, 500 ms), the one second over which
  /// requests are counted, and a reserve of 100 ms.
  static constexpr Duration TakeoverDelay =
      MaxListAge + std::chrono::milliseconds(1600);

  explicit ServerOwnership(std::string Router)
      : RouterName(std::move(Router)) {}

  /// Updates the ownership from this router's current view.
  void updateView(const FleetView &View, const ServerGroups &Groups,
                  TimePoint Now);

  /// Whether this router alone may grant the server, given as the hash of its
  /// identity.
  bool owns(std::uint64_t Server, TimePoint Now) const;

private:
  bool isTopRankedFor(std::uint64_t Group);

  std::string RouterName;
  /// The revision of this router's entry.
  std::int64_t ListedRevision = 0;
  TimePoint ListsProvenAt{};
  /// The time from which this router has been top-ranked for the group of a
  /// server without interruption. Contains only servers of services with a
  /// warm-up limit.
  std::unordered_map<std::uint64_t, TimePoint> TopRankedSince;
  /// The router list from which `TopRankedForGroup` was computed.
  std::shared_ptr<const RouterList> Routers;
  /// Cached results of `isTopRankedFor`.
  std::unordered_map<std::uint64_t, bool> TopRankedForGroup;
};

} // namespace parsleywing

#endif
