#ifndef PARSLEYWING_PROGRAM_ORDERS_LOADRATELIMITER_H
#define PARSLEYWING_PROGRAM_ORDERS_LOADRATELIMITER_H

#include "Platform/StoreClient.h"

#include <random>

namespace parsleywing {

struct LoadRateLimiterSettings {
  /// Start of the keys that stand for loads begun.
  std::string Prefix;
  /// At most so many loads begin in each `Period`, fleet-wide.
  std::uint32_t MaxLoads = 4;
  std::chrono::seconds Period = std::chrono::seconds(60);
  std::uint64_t Seed = 0;
};

/// Keeps loads from the weight store within its rate over the whole fleet. Each
/// load takes one of a few keys in the platform's store and leaves it under a
/// lease of one period; the store's own clock frees it. So no two machines'
/// clocks are compared: one that ran ahead could otherwise block everybody, or
/// let everybody through.
///
/// Costs three calls a load (read, lease, swap), and one read a second while
/// it waits. A reply that is lost costs one load of the period, never adds one.
class LoadRateLimiter {
public:
  LoadRateLimiter(LoadRateLimiterSettings S, StoreClient C, Clock T);

  /// Waits for leave to begin one load, until the deadline at the latest.
  /// `TimedOut` where none came free, or the store's error of the last try.
  Result<void> acquire(TimePoint Deadline);

private:
  Result<bool> tryAcquire();
  Result<bool> claimSlot(const std::string &Key);
  std::string slotKey(std::uint32_t Place) const;

  LoadRateLimiterSettings Settings;
  StoreClient Store;
  Clock Time;
  std::mt19937_64 Random;
};

} // namespace parsleywing

#endif
