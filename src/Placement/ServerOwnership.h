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
/// complete at most `MaxListAge` ago, and if it has been first without
/// interruption for `TakeoverDelay`. Then two routers never own a server at the
/// same time: if each were first in its own list, the later one would have been
/// listed for longer than the age of the other's list, and the other's list
/// would contain it. A router that is listed again starts the delay again,
/// since it may have missed the time in which it was not listed.
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
  /// The maximum age of the previous owner's list, plus the send delay of its
  /// last grant, plus the one second over which requests are counted.
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
  bool isFirstFor(std::uint64_t Group);

  std::string RouterName;
  /// The revision of this router's entry.
  std::int64_t ListedRevision = 0;
  TimePoint ListsProvenAt{};
  /// Since when this router has been first for a server. Contains only servers
  /// of services with a warm-up limit.
  std::unordered_map<std::uint64_t, TimePoint> FirstSince;
  /// The router list from which `FirstForGroup` was computed.
  std::shared_ptr<const RouterList> Routers;
  /// Cached results of `isFirstFor`.
  std::unordered_map<std::uint64_t, bool> FirstForGroup;
};

} // namespace parsleywing

#endif
