#ifndef PARSLEYWING_DECISION_REQUEST_RETRYBUDGET_H
#define PARSLEYWING_DECISION_REQUEST_RETRYBUDGET_H

#include "Decision/Request/RequestSettings.h"
#include "Runtime/Id.h"

#include <unordered_map>

namespace parsleywing {

/// Bounds retries by first attempts. Without it, servers that fail under load
/// would get each request several times, which keeps them failing; one would
/// see attempts grow while answers fall. Retries in all stay below the fraction
/// of first attempts plus the floor.
///
/// The fraction is kept by account, so that one account's failures take no
/// retries from others; the floor is shared. Holds one number for each account
/// that ever sent something here.
class RetryBudget {
public:
  explicit RetryBudget(const RetrySettings &S) : Settings(S) {}

  void countFirstAttempt(AccountId Account);

  /// Takes one retry; false where none is left.
  bool tryAcquire(TimePoint Now, AccountId Account);

private:
  void refillFloor(TimePoint Now);

  RetrySettings Settings;
  /// In thousandths of a retry, so that ten tenths are a whole one.
  std::unordered_map<AccountId, std::int64_t> Saved;
  double Floor = 1;
  TimePoint FloorFilled;
};

} // namespace parsleywing

#endif
