#include "Placement/FleetShare.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

void FleetShare::updateView(const FleetView &View, TimePoint Now) {
  this->advance(Now);
  if (Now - this->ListsProvenAt > MaxListAge)
    this->ProvenSince = Now;
  this->ListsProvenAt = std::max(this->ListsProvenAt, View.ListsProvenAt);
  if (View.RouterEndpoints == nullptr || View.RouterEndpoints == this->Routers)
    return;
  this->Routers = View.RouterEndpoints;
  const auto Self = this->Routers->find(this->RouterName);
  const bool Listed = Self != this->Routers->end();
  const std::int64_t Revision = Listed ? Self->second.ListedRevision : 0;
  if (Revision != std::exchange(this->ListedRevision, Revision))
    this->ListedSince = Now;
  this->Lists.push_back({Now, View.RouterCount});
  this->dropOldLists(Now);
}

void FleetShare::advance(TimePoint Now) {
  const TimePoint From = std::max(this->EarnedUntil, this->earnsSince());
  const TimePoint To = std::min(Now, this->ListsProvenAt + MaxListAge);
  this->EarnedUntil = std::max(this->EarnedUntil, Now);
  if (this->ListedRevision == 0 || From >= To)
    return;
  const double Windows = static_cast<double>((To - From).count()) /
                         static_cast<double>(this->Window.count());
  this->Credit.addOver(From, To,
                       Windows / this->maxCountSince(From - MaxListAge));
}

std::uint32_t FleetShare::divisor(TimePoint Now) const {
  const bool Earns = this->ListedRevision != 0 && Now >= this->earnsSince() &&
                     Now <= this->ListsProvenAt + MaxListAge;
  return Earns ? this->maxCountSince(Now - MaxListAge) : 0;
}

TimePoint FleetShare::earnsSince() const {
  return std::max(this->ProvenSince + MaxListAge,
                  this->ListedSince + 2 * MaxListAge);
}

/// The largest count of the lists that were known since then, including the one
/// that was known at that time.
std::uint32_t FleetShare::maxCountSince(TimePoint Start) const {
  std::uint32_t Max = 1;
  for (auto Each = this->Lists.rbegin(); Each != this->Lists.rend(); ++Each) {
    Max = std::max(Max, Each->RouterCount);
    if (Each->ReceivedAt <= Start)
      break;
  }
  return Max;
}

void FleetShare::dropOldLists(TimePoint Now) {
  while (this->Lists.size() > 1 &&
         this->Lists.at(1).ReceivedAt <= Now - 2 * MaxListAge)
    this->Lists.pop_front();
}

} // namespace parsleywing
