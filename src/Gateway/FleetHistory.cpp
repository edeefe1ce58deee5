#include "Gateway/FleetHistory.h"

#include "Placement/RouterMessages.h"
#include "Runtime/Invariant.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

constexpr std::size_t DroppedDivisor = 4;

} // namespace

void FleetHistory::restart(Revision After) {
  this->CompactRevision = After;
  this->Log.clear();
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

void FleetHistory::beginEarlier(Revision After,
                                std::vector<FleetChange> Changes) {
  PARSLEYWING_INVARIANT(this->Log.empty() && After <= this->CompactRevision,
                        "earlier changes come before all others");
  this->CompactRevision = After;
  for (FleetChange &Each : Changes)
    this->Log.push_back(std::make_shared<const FleetChange>(std::move(Each)));
}

void FleetHistory::append(FleetChange Change, std::size_t MaxChanges) {
  this->Log.push_back(std::make_shared<const FleetChange>(std::move(Change)));
  if (this->Log.size() <= MaxChanges)
    return;
  this->compact(revisionOf(*this->Log[MaxChanges / DroppedDivisor]));
}

} // namespace parsleywing
