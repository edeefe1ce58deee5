#include "Placement/RetryAllowance.h"

namespace parsleywing {

void RetryAllowance::recordRequest(TimePoint Now) {
  this->Ledger.earn(Now, this->Bounds.Ratio);
}

bool RetryAllowance::hasRetry(TimePoint Now, FleetShare &Share) const {
  Share.advance(Now);
  return this->Ledger.mayReserve(Now, Share.earned(), this->Bounds.Slack);
}

bool RetryAllowance::tryReserve(TimePoint Now, FleetShare &Share) {
  Share.advance(Now);
  return this->Ledger.tryReserve(Now, Share.earned(), this->Bounds.Slack);
}

bool RetryAllowance::isWithinBound(TimePoint Now, FleetShare &Share) const {
  Share.advance(Now);
  return this->Ledger.isWithinBound(Now, Share.earned(), this->Bounds.Slack);
}

RetryUsage RetryAllowance::usage(TimePoint Now, const FleetShare &Share) const {
  return {this->Ledger.retriesInWindow(Now), this->Ledger.reservedCount(),
          this->Ledger.earnedInWindow(Now), Share.divisor(Now)};
}

} // namespace parsleywing
