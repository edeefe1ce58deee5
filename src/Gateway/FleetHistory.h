#ifndef PARSLEYWING_GATEWAY_FLEETHISTORY_H
#define PARSLEYWING_GATEWAY_FLEETHISTORY_H

#include "Gateway/FleetSource.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace parsleywing {

/// The latest changes of servers, routers and evacuated zones as the store's
/// watch reported them, for the routers that follow this one.
///
/// Complete for every router that knows all changes up to `compactRevision`. It
/// therefore keeps each change that the watch reports, also one that this
/// router has from a newer list already: a follower may not have it.
///
/// The changes are shared between copies, since a large fleet copies its
/// history with each change.
class FleetHistory {
public:
  using Changes = std::vector<std::shared_ptr<const FleetChange>>;

  /// The history holds all changes after this revision.
  Revision compactRevision() const { return this->CompactRevision; }
  const Changes &changes() const { return this->Log; }

  /// Forgets all changes. The history continues after this revision.
  void restart(Revision After);
  /// Lets the history begin at an earlier revision, with all changes from there
  /// up to where it began. It must be empty.
  void beginEarlier(Revision After, std::vector<FleetChange> Changes);
  /// Adds a change that the watch reported. A quarter of the history is dropped
  /// at once when it exceeds `MaxChanges`.
  void append(FleetChange Change, std::size_t MaxChanges);

private:
  Revision CompactRevision = 0;
  Changes Log;
};

} // namespace parsleywing

#endif
