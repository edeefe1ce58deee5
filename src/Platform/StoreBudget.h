#ifndef PARSLEYWING_PLATFORM_STOREBUDGET_H
#define PARSLEYWING_PLATFORM_STOREBUDGET_H

#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"

#include <Poco/JSON/Object.h>
#include <array>
#include <cstdint>
#include <mutex>

namespace parsleywing {

/// The kinds of calls on the platform's key-value service, as they are counted.
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

/// What one router may ask of the service: a token bucket over calls of every
/// kind, shared by all its clients. Safe from every thread. Without it a fault
/// that makes one router repeat its calls would use up the service's rate for
/// the whole fleet.
class StoreBudget {
public:
  /// At most `PerSecond` calls on average, `Burst` at once.
  StoreBudget(double PerSecond, double Burst, TimePoint Now)
      : PerSecond(PerSecond), Burst(Burst), Tokens(Burst), RefilledAt(Now) {}

  /// Takes one call and counts it: zero. Or takes nothing: the time to wait.
  Duration tryAcquire(StoreCall Kind, TimePoint Now);

  /// How long `take` would have the caller wait now; takes nothing.
  Duration timeUntilAvailable(TimePoint Now) const;

  std::uint64_t callCount(StoreCall Kind) const;

  /// Calls of each kind since the start, and how often a call had to wait.
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
