#ifndef PARSLEYWING_DECISION_REQUEST_JITTER_H
#define PARSLEYWING_DECISION_REQUEST_JITTER_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <random>

namespace parsleywing {

/// Draws waits so that requests that failed together do not come back
/// together. The same seed draws the same waits.
class Jitter {
public:
  explicit Jitter(std::uint64_t Seed) : Numbers(Seed) {}

  /// A wait between `Low` and `High` times the given one.
  Duration spread(Duration Wait, double Low, double High) {
    const double Drawn =
        static_cast<double>(this->Numbers() - std::mt19937_64::min()) /
        static_cast<double>(std::mt19937_64::max());
    const double Factor = Low + (High - Low) * Drawn;
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(Wait.count()) * Factor));
  }

private:
  std::mt19937_64 Numbers;
};

} // namespace parsleywing

#endif
