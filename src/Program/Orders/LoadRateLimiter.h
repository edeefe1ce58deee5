#ifndef PARSLEYWING_PROGRAM_ORDERS_LOADRATELIMITER_H
#define PARSLEYWING_PROGRAM_ORDERS_LOADRATELIMITER_H

#include "Platform/StoreClient.h"

#include <random>

namespace parsleywing {

struct LoadRateLimiterSettings {
  /// Prefix of the keys that represent started loads.
  std::string Prefix;
  /// Maximum number of loads started in each `Period`, fleet-wide.
  std::uint32_t MaxLoads = 4;
  std::chrono::seconds Period = std::chrono::seconds(60);
  std::uint64_t Seed = 0;
};

/// Limits the rate of loads from the weight store for the whole fleet. Each
/// load acquires one of a few keys in the platform's store and attaches it to a
/// lease of one period, which expires by the store's clock. No clocks of
/// different machines are compared: a clock that runs fast could otherwise
/// block every load or admit every load.
///
/// Costs three calls per load (read, lease, swap), and about one read per
/// second while waiting. A lost response may waste one load of the period, but
/// never permits an additional one.
class LoadRateLimiter {
public:
  LoadRateLimiter(LoadRateLimiterSettings S, StoreClient C, Clock T);

  /// Waits until one load may start, at most until the deadline. Returns
  /// `TimedOut` if no key became free, or the store's error of the last
  /// attempt.
  Result<void> acquire(TimePoint Deadline);

private:
  Result<bool> tryAcquire();
  Result<bool> claimSlot(const std::string &Key);
  std::string slotKey(std::uint32_t Index) const;

  LoadRateLimiterSettings Settings;
  StoreClient Store;
  Clock Time;
  std::mt19937_64 Random;
};

} // namespace parsleywing

#endif
