#ifndef PARSLEYWING_PLATFORM_BACKOFF_H
#define PARSLEYWING_PLATFORM_BACKOFF_H

#include "Runtime/Clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace parsleywing {

namespace internal {

/// Returns the seed, or a random one if it is zero.
inline std::uint64_t seedOrRandom(std::uint64_t Seed) {
  if (Seed != 0)
    return Seed;
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

} // namespace internal

/// Exponential backoff with full jitter: the upper bound of the delay doubles
/// with each retry up to a maximum, and each delay is drawn uniformly between
/// zero and that bound. Without jitter all routers that saw the same outage
/// start would retry at the same times and overload the service as it recovers.
class Backoff {
public:
  Backoff(Duration Initial, Duration Max, std::uint64_t Seed)
      : InitialDelay(Initial), MaxDelay(Max), NextDelay(Initial), Random(Seed) {
  }

  /// Draws the delay before the next attempt.
  Duration nextDelay() {
    std::uniform_int_distribution<Duration::rep> Wait(0,
                                                      this->NextDelay.count());
    this->NextDelay = std::min(this->MaxDelay, this->NextDelay * 2);
    return Duration(Wait(this->Random));
  }

  /// Starts again from the initial delay, after a successful attempt.
  void reset() { this->NextDelay = this->InitialDelay; }

private:
  Duration InitialDelay;
  Duration MaxDelay;
  Duration NextDelay;
  std::mt19937_64 Random;
};

} // namespace parsleywing

#endif
