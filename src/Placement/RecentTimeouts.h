#ifndef PARSLEYWING_PLACEMENT_RECENTTIMEOUTS_H
#define PARSLEYWING_PLACEMENT_RECENTTIMEOUTS_H

#include "Runtime/Clock.h"

#include <algorithm>

namespace parsleywing {

/// Predicts which requests of an account would time out in the queue. While a
/// request has timed out recently, a new request of at least the same work that
/// queues behind others would time out as well. `Work` is the sort key of a
/// request in its account's queue. Has no clock of its own.
///
/// This matters if one account sends much more than its share. Without the
/// prediction, each of its larger requests waits until it is too late and is
/// refused only then, with little of the caller's time left. A timeout counts
/// for half a second. After that, the next request waits again and shows
/// whether the overload lasts. How fast the queue becomes shorter does not
/// predict these timeouts, since the queues of accounts that are served
/// smallest first are short.
class RecentTimeouts {
public:
  /// A request of this work has timed out in the queue.
  void recordTimeout(double Work, TimePoint Now) {
    const bool Active = Now < this->Until;
    this->MinWork = Active ? std::min(this->MinWork, Work) : Work;
    this->Until = Now + Lifetime;
  }

  /// A request of this work was served.
  void recordServed(double Work) {
    if (Work >= this->MinWork)
      this->Until = TimePoint{};
  }

  /// Whether a request of this work would time out now.
  bool wouldTimeOut(double Work, TimePoint Now) const {
    return Now < this->Until && Work >= this->MinWork;
  }

private:
  /// About as long as a request waits before it times out: the shortest latency
  /// objectives are 0.3 to 0.6 s.
  static constexpr Duration Lifetime = std::chrono::milliseconds(500);

  double MinWork = 0;
  TimePoint Until{};
};

} // namespace parsleywing

#endif
