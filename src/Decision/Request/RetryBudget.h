#ifndef PARSLEYWING_DECISION_REQUEST_RETRYBUDGET_H
#define PARSLEYWING_DECISION_REQUEST_RETRYBUDGET_H

#include "Decision/Request/RequestSettings.h"
#include "Retry/RetryLedger.h"
#include "Runtime/Id.h"

#include <Poco/JSON/Object.h>
#include <map>
#include <optional>
#include <unordered_map>

namespace parsleywing {

/// Limits retries in proportion to first attempts. Without a limit, servers
/// that fail under load would receive each request several times and keep
/// failing: attempts would rise while responses fall. In each window, the
/// retries to a service stay below the fraction of its first attempts, in that
/// window or the window before, plus the floor of the routers that run; the
/// ledgers see to that over restarts as well.
///
/// The fraction is also counted per account, so that the failures of one
/// account take no retries from others; the floor is shared. Stores some 50
/// bytes for each account that has ever sent a request to this router, and a
/// ledger of some 7 kB for each service in use.
class RetryBudget {
public:
  explicit RetryBudget(const RetrySettings &S);

  /// Earns the floor up to now, from the first call on.
  void advance(TimePoint Now);

  void countFirstAttempt(TimePoint Now, AccountId Account, ServiceId Service);

  /// Reserves one retry; false if none is left.
  bool tryAcquire(TimePoint Now, AccountId Account, ServiceId Service);

  /// Whether a reserved retry may still be sent.
  bool isWithinBound(TimePoint Now, ServiceId Service);
  /// A reserved retry has reached its server.
  void settle(TimePoint Now, ServiceId Service);
  /// A reserved retry was never sent.
  void cancel(ServiceId Service);

  Poco::JSON::Object::Ptr dump(TimePoint Now) const;

private:
  struct AccountBalance {
    /// In thousandths of a retry, so that ten tenths add up to exactly one.
    std::int64_t Saved = 0;
    /// The number of the current period, as long as a window.
    std::int64_t Period = -1;
    /// Retries earned in the period before and in the current one.
    double EarnedBefore = 0;
    double Earned = 0;
    /// Retries taken from `Saved` in the current period.
    std::uint32_t Taken = 0;
  };

  RetryLedger &ledger(TimePoint Now, ServiceId Service);
  AccountBalance &balance(TimePoint Now, AccountId Account);
  /// Takes a retry that the account has saved. An account with many requests
  /// may not take more of the retries of a window than its own part.
  static bool takeSaved(AccountBalance &Balance);
  bool takeFloor();

  RetrySettings Settings;
  std::unordered_map<AccountId, AccountBalance> Balances;
  double Floor = 0;
  std::optional<TimePoint> FloorRefilledAt;
  /// The windows of the floor that have passed since the router started.
  CreditHistory FloorEarned;
  std::map<ServiceId, RetryLedger> Ledgers;
};

} // namespace parsleywing

#endif
