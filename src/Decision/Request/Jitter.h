#ifndef PARSLEYWING_DECISION_REQUEST_JITTER_H
#define PARSLEYWING_DECISION_REQUEST_JITTER_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <random>

namespace parsleywing {

/// Randomizes delays so that requests that failed together are not retried
/// together. The same seed gives the same delays.
class Jitter {
public:
  explicit Jitter(std::uint64_t Seed) : Generator(Seed) {}

  /// A random delay between `Low` and `High` times `Delay`.
  Duration spread(Duration Delay, double Low, double High) {
    const double Fraction =
        static_cast<double>(this->Generator() - std::mt19937_64::min()) /
        static_cast<double>(std::mt19937_64::max());
    const double Factor = Low + (High - Low) * Fraction;
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(Delay.count()) * Factor));
  }

private:
  std::mt19937_64 Generator;
};

} // namespace parsleywing

#endif
