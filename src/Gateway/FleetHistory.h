#ifndef PARSLEYWING_GATEWAY_FLEETHISTORY_H
#define PARSLEYWING_GATEWAY_FLEETHISTORY_H

#include "Gateway/FleetSource.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace parsleywing {

/// The latest changes of servers, routers and evacuated zones as the store's
/// watch reported them, for the routers that follow this one.
///
/// Complete for every router that knows all changes up to `compactRevision`. It
/// therefore keeps each change that the watch reports, also one that this
/// router has from a newer list already: a follower may not have it.
///
/// After a gap in the watch this router reads the lists, and the history has
/// what differs in place of the changes in the gap. That serves routers that
/// know exactly what this one knew before the gap, as its followers do. One
/// that knows a part of the gap may know an entry that was removed in the rest,
/// and this router never heard of.
///
/// The changes are shared between copies, since a large fleet copies its
/// history with each change.
class FleetHistory {
public:
  using Changes = std::vector<std::shared_ptr<const FleetChange>>;

  /// The history holds all changes after this revision.
  Revision compactRevision() const { return this->CompactRevision; }
  const Changes &changes() const { return this->Log; }

  /// The differences of lists that were read after a gap in the watch.
  struct Gap {
    Revision After = 0;
    Revision To = 0;
    Changes Differences;
  };
  const std::optional<Gap> &gap() const { return this->LastGap; }

  /// What a router must know at least so that this history is complete for it:
  /// the changes up to the beginning of the history or, if those it knows end
  /// inside of the gap, up to the end of the gap.
  Revision completeFrom(Revision Seen) const;

  /// Forgets all changes. The history begins after this revision, with these
  /// changes.
  void restart(Revision After, std::vector<FleetChange> Changes = {});
  /// Continues the history behind a gap. It begins anew if the differences are
  /// too many for one message: a receiver must get all or none of them.
  void addGap(Gap New);
  /// Adds a change that the watch reported. A quarter of the history is dropped
  /// at once when it exceeds `MaxChanges`.
  void append(FleetChange Change, std::size_t MaxChanges);

private:
  void compact(Revision After);

  Revision CompactRevision = 0;
  Changes Log;
  std::optional<Gap> LastGap;
};

} // namespace parsleywing

#endif
