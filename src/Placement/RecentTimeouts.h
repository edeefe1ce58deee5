#ifndef PARSLEYWING_PLACEMENT_RECENTTIMEOUTS_H
#define PARSLEYWING_PLACEMENT_RECENTTIMEOUTS_H

#include "Runtime/Clock.h"

#include <algorithm>

namespace parsleywing {

/// What an account's queue has shown of late: requests of some work waited in
/// vain. One of as much work or more that comes now, behind others that wait
/// already, would fare no better. Has no clock of its own.
///
/// Answers the load in which one account asks for much more than its part: its
/// larger requests would each be held until they are too late, and only then
/// told to come back, when little of their callers' time is left. What was seen
/// holds for half a second; then the next one waits again, and shows whether it
/// is still so. In the lab, 12 seeds, half of the refused hear so within 2 ms
/// in place of 504, and callers get the same: worth by +0.006 (± 0.007) on
/// `overloaded-reviews`, -0.001 (± 0.005) on `flood`, -0.002 (± 0.005) on
/// `slow-links`. A forecast from the rate at which a queue drains was tried
/// beside it and hardly ever foretold a refusal: queues of smallest-first
/// accounts are short.
class RecentTimeouts {
public:
  /// A request of this work has waited for its whole time.
  void recordTimeout(double Work, TimePoint Now) {
    const bool Known = Now < this->Until;
    this->MinWork = Known ? std::min(this->MinWork, Work) : Work;
    this->Until = Now + Lifetime;
  }

  /// A request of this work was served.
  void recordServed(double Work) {
    if (Work >= this->MinWork)
      this->Until = TimePoint{};
  }

  /// Whether a request of this work would wait in vain now.
  bool wouldTimeOut(double Work, TimePoint Now) const {
    return Now < this->Until && Work >= this->MinWork;
  }

private:
  /// The shortest objectives are 0.3 to 0.6 s: what waits in vain does so about
  /// as long.
  static constexpr Duration Lifetime = std::chrono::milliseconds(500);

  double MinWork = 0;
  TimePoint Until{};
};

} // namespace parsleywing

#endif
