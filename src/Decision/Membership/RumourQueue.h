#ifndef PARSLEYWING_DECISION_MEMBERSHIP_RUMOURQUEUE_H
#define PARSLEYWING_DECISION_MEMBERSHIP_RUMOURQUEUE_H

#include "Runtime/Id.h"

#include <cstddef>
#include <map>
#include <vector>

namespace parsleywing {

/// The routers whose rumours are still to be passed on, each with the remaining
/// number of transmissions. Rumours with the fewest transmissions so far are
/// sent first, so that old rumours do not delay new ones.
class RumourQueue {
public:
  /// Passes on the rumour about this router `Times` times, counted from now.
  void add(RouterId Router, unsigned Times) {
    this->RemainingSends[Router] = Times;
  }

  /// Returns up to `MaxCount` routers whose rumours are included in the next
  /// message.
  std::vector<RouterId> take(std::size_t MaxCount);

  bool empty() const { return this->RemainingSends.empty(); }
  std::size_t size() const { return this->RemainingSends.size(); }

private:
  std::map<RouterId, unsigned> RemainingSends;
};

} // namespace parsleywing

#endif
