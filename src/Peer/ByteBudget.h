#ifndef PARSLEYWING_PEER_BYTEBUDGET_H
#define PARSLEYWING_PEER_BYTEBUDGET_H

#include "Runtime/Clock.h"

#include <algorithm>
#include <cstdint>

namespace parsleywing {

/// A token bucket with a rate in bytes per second and a burst size. Urgent
/// messages may overdraw it by up to one burst, which delays later messages; so
/// at most 2 bursts + t x rate are sent in any t seconds.
class ByteBudget {
public:
  ByteBudget(std::int64_t BytesPerSecond, std::int64_t BurstBytes,
             TimePoint Start)
      : BytesPerSecond(BytesPerSecond), BurstBytes(BurstBytes),
        Tokens(BurstBytes * Scale), LastRefill(Start) {}

  /// Consumes the bytes if the budget allows it at this time.
  bool consume(TimePoint Now, std::int64_t Bytes, bool Urgent) {
    this->refill(Now);
    const std::int64_t MinTokens = Urgent ? -this->BurstBytes * Scale : 0;
    if (this->Tokens - Bytes * Scale < MinTokens)
      return false;
    this->Tokens -= Bytes * Scale;
    return true;
  }

private:
  /// Tokens are counted in millionths of a byte, so that frequent refills lose
  /// nothing to rounding.
  static constexpr std::int64_t Scale = 1'000'000;

  void refill(TimePoint Now) {
    const Duration Elapsed = std::clamp<Duration>(
        Now - this->LastRefill, Duration::zero(), std::chrono::hours(1));
    this->LastRefill = std::max(this->LastRefill, Now);
    this->Tokens =
        std::min(this->BurstBytes * Scale,
                 this->Tokens + Elapsed.count() * this->BytesPerSecond);
  }

  std::int64_t BytesPerSecond;
  std::int64_t BurstBytes;
  std::int64_t Tokens;
  TimePoint LastRefill;
};

} // namespace parsleywing

#endif
