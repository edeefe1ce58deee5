#include "Gateway/FleetHistory.h"

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
  const auto FirstKept = this->Log.begin() + static_cast<std::ptrdiff_t>(
                                                 MaxChanges / DroppedDivisor);
  for (auto Each = this->Log.begin(); Each != FirstKept; ++Each)
    this->CompactRevision = std::max(this->CompactRevision, revisionOf(**Each));
  this->Log.erase(this->Log.begin(), FirstKept);
}

} // namespace parsleywing
