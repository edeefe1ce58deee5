#ifndef PARSLEYWING_RUNTIME_LOGRATELIMITER_H
#define PARSLEYWING_RUNTIME_LOGRATELIMITER_H

#include "Runtime/Clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace parsleywing {

/// Token bucket that limits the rate of log lines, so that a flood of requests
/// with a line each does not spend its CPU time on logging or hide other lines.
/// Dropped lines are counted and reported with the next line that passes. Not
/// thread safe.
class LogRateLimiter {
public:
  /// A busy router serves about 100 requests per second and writes one or two
  /// lines for each. A line costs about 10 microseconds of CPU time, so this
  /// limit amounts to 0.4 % of a core.
  static constexpr double LinesPerSecond = 400;
  static constexpr double Burst = 800;

  /// Consumes the token for one line. Returns the number of lines dropped since
  /// the last line that passed, or nothing if this line has to be dropped too.
  std::optional<std::uint64_t> tryAcquire(TimePoint Now) {
    const std::chrono::duration<double> Elapsed = Now - this->LastRefill;
    this->LastRefill = Now;
    this->Tokens =
        std::min(Burst, this->Tokens + Elapsed.count() * LinesPerSecond);
    if (this->Tokens < 1) {
      ++this->DroppedLines;
      return std::nullopt;
    }
    this->Tokens -= 1;
    const std::uint64_t DroppedBefore = this->DroppedLines;
    this->DroppedLines = 0;
    return DroppedBefore;
  }

private:
  double Tokens = Burst;
  TimePoint LastRefill{};
  std::uint64_t DroppedLines = 0;
};

} // namespace parsleywing

#endif
