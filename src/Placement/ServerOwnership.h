#ifndef PARSLEYWING_PLACEMENT_SERVEROWNERSHIP_H
#define PARSLEYWING_PLACEMENT_SERVEROWNERSHIP_H

#include "Placement/FleetView.h"
#include "Placement/ServerGroups.h"

#include <cstdint>
#include <unordered_map>

namespace parsleywing {

/// Knows for which servers this router is the only allocator of the whole
/// fleet, cut off routers included. Two that believe to allocate a server make
/// it busier than planned, which a warm one bears; one that warms up crashes.
///
/// Ownership follows from the store's list of routers, and from nothing that a
/// router thinks of another: the first listed router in the order of the
/// server's group. A claim needs a list that was complete less than
/// `ListsLife` ago, and to have been the first without a break for `TakeOver`.
/// Then no two claim a server at once: were both first, each by its own list,
/// the later one has been listed for longer than the other's list is old, so
/// that other would have seen it. A router that was listed anew begins anew,
/// since it may not have seen the gap.
///
/// What it costs: a server that warms up gets nothing for `TakeOver` after its
/// allocator was lost or has started, nor while the store is away. Takes no
/// calls and has no clock of its own; all moments are on the clock that counts
/// suspended time.
class ServerOwnership {
public:
  /// A list that was complete so long ago still counts. Relays prove theirs
  /// about once a second, and three proofs fit.
  static constexpr Duration MaxListAge = std::chrono::seconds(3);
  /// The life of the other's list, the slip of its last grant, and the second
  /// over which requests are counted.
  static constexpr Duration TakeoverDelay =
      MaxListAge + std::chrono::milliseconds(1600);

  explicit ServerOwnership(std::string Router)
      : RouterName(std::move(Router)) {}

  /// Takes what this router has learnt of the fleet.
  void updateView(const FleetView &View, const ServerGroups &Groups,
                  TimePoint Now);

  /// Whether this router alone may grant the server (by the hash of its
  /// identity).
  bool owns(std::uint64_t Server, TimePoint Now) const;

private:
  bool isFirstFor(std::uint64_t Group);

  std::string RouterName;
  /// The revision of this router's entry.
  std::int64_t ListedRevision = 0;
  TimePoint ListsProvenAt{};
  /// Since when this router has been the first for a server. Only servers
  /// whose service states a warm-up are in it.
  std::unordered_map<std::uint64_t, TimePoint> FirstSince;
  /// Whether this router is the first of a group by that list of routers.
  std::shared_ptr<const RouterList> Routers;
  std::unordered_map<std::uint64_t, bool> FirstForGroup;
};

} // namespace parsleywing

#endif
