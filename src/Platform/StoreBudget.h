#ifndef PARSLEYWING_PLATFORM_STOREBUDGET_H
#define PARSLEYWING_PLATFORM_STOREBUDGET_H

#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"

#include <Poco/JSON/Object.h>
#include <array>
#include <cstdint>
#include <mutex>

namespace parsleywing {

/// The kinds of calls to the platform's key-value service, which are counted
/// separately.
enum class StoreCall {
  Range,
  Put,
  Transaction,
  LeaseGrant,
  LeaseKeepAlive,
  LeaseRevoke,
  Watch
};

inline constexpr EnumNames<StoreCall, 7> StoreCallNames{{
    {StoreCall::Range, "range"},
    {StoreCall::Put, "put"},
    {StoreCall::Transaction, "txn"},
    {StoreCall::LeaseGrant, "lease-grant"},
    {StoreCall::LeaseKeepAlive, "lease-keepalive"},
    {StoreCall::LeaseRevoke, "lease-revoke"},
    {StoreCall::Watch, "watch"},
}};

/// Limits the rate of one router's calls to the service: a token bucket for
/// calls of every kind, shared by the clients that use it. Thread-safe. Without
/// it a fault that makes one router repeat its calls would use up the service's
/// rate limit for the whole fleet.
class StoreBudget {
public:
  /// Allows `PerSecond` calls on average, and `Burst` at once.
  StoreBudget(double PerSecond, double Burst, TimePoint Now)
      : PerSecond(PerSecond), Burst(Burst), Tokens(Burst), RefilledAt(Now) {}

  /// Consumes a token, counts the call and returns zero; if no token is
  /// available, returns the time to wait.
  Duration tryAcquire(StoreCall Kind, TimePoint Now);

  /// The time until a token is available; consumes none.
  Duration timeUntilAvailable(TimePoint Now) const;

  std::uint64_t callCount(StoreCall Kind) const;

  /// The number of calls of each kind, and how often a call had to wait.
  Poco::JSON::Object::Ptr dump() const;

private:
  double tokensAt(TimePoint Now) const;
  Duration timeToNextToken(double Available) const;

  double PerSecond;
  double Burst;
  mutable std::mutex Mutex;
  double Tokens;
  TimePoint RefilledAt;
  std::array<std::uint64_t, StoreCallNames.size()> CallCounts{};
  std::uint64_t WaitCount = 0;
};

} // namespace parsleywing

#endif
