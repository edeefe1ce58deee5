#ifndef PARSLEYWING_DECISION_REQUEST_RETRYBUDGET_H
#define PARSLEYWING_DECISION_REQUEST_RETRYBUDGET_H

#include "Decision/Request/RequestSettings.h"
#include "Runtime/Id.h"

#include <unordered_map>

namespace parsleywing {

/// Limits retries in proportion to first attempts. Without a limit, servers
/// that fail under load would receive each request several times and keep
/// failing: attempts would rise while responses fall. The total of retries
/// stays below the fraction of first attempts plus the floor.
///
/// The fraction is counted per account, so that the failures of one account
/// take no retries from others; the floor is shared. Stores one number for each
/// account that has ever sent a request to this router.
class RetryBudget {
public:
  explicit RetryBudget(const RetrySettings &S) : Settings(S) {}

  void countFirstAttempt(AccountId Account);

  /// Consumes one retry; false if none is left.
  bool tryAcquire(TimePoint Now, AccountId Account);

private:
  void refillFloor(TimePoint Now);

  RetrySettings Settings;
  /// In thousandths of a retry, so that ten tenths add up to exactly one.
  std::unordered_map<AccountId, std::int64_t> Saved;
  double Floor = 1;
  TimePoint FloorRefilledAt;
};

} // namespace parsleywing

#endif
