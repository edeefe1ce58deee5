#ifndef PARSLEYWING_PLACEMENT_FLEETSHARE_H
#define PARSLEYWING_PLACEMENT_FLEETSHARE_H

#include "Placement/FleetView.h"
#include "Placement/ServerOwnership.h"
#include "Retry/CreditHistory.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace parsleywing {

/// This router's share of an allowance that the whole fleet earns over time,
/// such as the slack of the retry budgets. At no moment do the routers that
/// earn have more than the whole together, whatever their lists show.
///
/// A router earns one part in the largest number of routers that its lists have
/// shown within `MaxListAge`. It earns only while its list is proven to have
/// been complete at most `MaxListAge` ago, has been for that long, and has
/// shown the router without interruption for twice that long. All routers that
/// earn at a moment were then listed together before it, at a time that the
/// lists of each of them cover.
///
/// A router that has just started, is cut off from the store or has left the
/// list therefore earns nothing. All times are on the clock that includes
/// suspended time. Performs no I/O.
class FleetShare {
public:
  static constexpr Duration MaxListAge = ServerOwnership::MaxListAge;

  /// `Window` is the time over which the fleet earns the allowance once.
  FleetShare(std::string Router, Duration Window)
      : RouterName(std::move(Router)), Window(Window), Credit(Window) {}

  void updateView(const FleetView &View, TimePoint Now);

  /// Adds what has been earned since the last call.
  void advance(TimePoint Now);

  /// What this router has earned, as a part of the fleet's allowance.
  const CreditHistory &earned() const { return this->Credit; }

  /// The number of routers that the allowance is divided by; zero while this
  /// router earns nothing.
  std::uint32_t divisor(TimePoint Now) const;

private:
  /// A list was received at this time, with so many routers.
  struct KnownList {
    TimePoint ReceivedAt{};
    std::uint32_t RouterCount = 1;
  };

  /// The time since which, until the lists expire, this router earns.
  TimePoint earnsSince() const;
  std::uint32_t maxCountSince(TimePoint Start) const;
  void dropOldLists(TimePoint Now);

  std::string RouterName;
  Duration Window;
  CreditHistory Credit;
  std::shared_ptr<const RouterList> Routers;
  std::deque<KnownList> Lists;
  /// The revision of this router's entry; zero while it is not listed.
  std::int64_t ListedRevision = 0;
  TimePoint ListedSince{};
  TimePoint ListsProvenAt{};
  /// The lists have not been older than `MaxListAge` since then.
  TimePoint ProvenSince{};
  TimePoint EarnedUntil{};
};

} // namespace parsleywing

#endif
