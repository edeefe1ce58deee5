#ifndef PARSLEYWING_RUNTIME_LOGRATELIMITER_H
#define PARSLEYWING_RUNTIME_LOGRATELIMITER_H

#include "Runtime/Clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace parsleywing {

/// Bounds the lines written in a second. A flood of requests, each with its
/// line, would else spend the processor's time and the reader's on the log. The
/// next line that passes says how many were left out. Not thread safe.
class LogRateLimiter {
public:
  /// A busy router serves some 100 requests a second, with a line or two each;
  /// a line costs about 10 microseconds of processor time, so the bound is 0.4
  /// % of a core.
  static constexpr double LinesPerSecond = 400;
  static constexpr double Burst = 800;

  /// Takes one line. Gives the number of lines left out before it, or nothing
  /// where it is left out too.
  std::optional<std::uint64_t> tryAcquire(TimePoint Now) {
    const std::chrono::duration<double> Gone = Now - this->LastRefill;
    this->LastRefill = Now;
    this->Tokens =
        std::min(Burst, this->Tokens + Gone.count() * LinesPerSecond);
    if (this->Tokens < 1) {
      ++this->DroppedLines;
      return std::nullopt;
    }
    this->Tokens -= 1;
    const std::uint64_t Before = this->DroppedLines;
    this->DroppedLines = 0;
    return Before;
  }

private:
  double Tokens = Burst;
  TimePoint LastRefill{};
  std::uint64_t DroppedLines = 0;
};

} // namespace parsleywing

#endif
