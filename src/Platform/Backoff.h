#ifndef PARSLEYWING_PLATFORM_BACKOFF_H
#define PARSLEYWING_PLATFORM_BACKOFF_H

#include "Runtime/Clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace parsleywing {

namespace internal {

/// The chosen seed, or where it is zero one of the system's.
inline std::uint64_t seedOrRandom(std::uint64_t Chosen) {
  if (Chosen != 0)
    return Chosen;
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

} // namespace internal

/// Waits between tries that grow twofold up to a limit, each drawn at random
/// from zero to the whole of it. Without the random part all routers that saw
/// the same outage begin would call again at the same moments, and the service
/// would go down again as it returns.
class Backoff {
public:
  Backoff(Duration First, Duration Limit, std::uint64_t Seed)
      : InitialDelay(First), MaxDelay(Limit), NextDelay(First), Random(Seed) {}

  /// The wait before the next try.
  Duration nextDelay() {
    std::uniform_int_distribution<Duration::rep> Wait(0,
                                                      this->NextDelay.count());
    this->NextDelay = std::min(this->MaxDelay, this->NextDelay * 2);
    return Duration(Wait(this->Random));
  }

  /// A try went well.
  void reset() { this->NextDelay = this->InitialDelay; }

private:
  Duration InitialDelay;
  Duration MaxDelay;
  Duration NextDelay;
  std::mt19937_64 Random;
};

} // namespace parsleywing

#endif
