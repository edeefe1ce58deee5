#include "Gateway/FleetHistory.h"

#include "Placement/RouterMessages.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

constexpr std::size_t DroppedDivisor = 4;

} // namespace

void FleetHistory::restart(Revision After, std::vector<FleetChange> Changes) {
  this->CompactRevision = After;
  this->Log.clear();
  for (FleetChange &Each : Changes)
    this->Log.push_back(std::make_shared<const FleetChange>(std::move(Each)));
  this->LastGap.reset();
}

Revision FleetHistory::completeFrom(Revision Seen) const {
  if (Seen >= this->CompactRevision && this->LastGap &&
      Seen > this->LastGap->After && Seen < this->LastGap->To)
    return this->LastGap->To;
  return this->CompactRevision;
}

void FleetHistory::addGap(Gap New) {
  if (New.Differences.size() > MaxUpdateItems)
    return this->restart(New.To);
  if (this->LastGap)
    this->compact(this->LastGap->To);
  this->LastGap = std::move(New);
}

/// Forgets the changes up to a revision, and a gap that begins before it.
void FleetHistory::compact(Revision After) {
  if (this->LastGap && this->LastGap->After < After) {
    After = std::max(After, this->LastGap->To);
    this->LastGap.reset();
  }
  this->CompactRevision = std::max(this->CompactRevision, After);
  std::erase_if(this->Log, [this](const auto &Each) {
    return revisionOf(*Each) <= this->CompactRevision;
  });
}

void FleetHistory::append(FleetChange Change, std::size_t MaxChanges) {
  this->Log.push_back(std::make_shared<const FleetChange>(std::move(Change)));
  if (this->Log.size() <= MaxChanges)
    return;
  this->compact(revisionOf(*this->Log[MaxChanges / DroppedDivisor]));
}

} // namespace parsleywing
