#ifndef PARSLEYWING_PEER_BYTEBUDGET_H
#define PARSLEYWING_PEER_BYTEBUDGET_H

#include "Runtime/Clock.h"

#include <algorithm>
#include <cstdint>

namespace parsleywing {

/// A token bucket: so many bytes a second, and a burst after a silence. What
/// is urgent may go a burst into debt, which later messages pay off; so over
/// any stretch of t seconds at most 2 bursts + t x rate leave.
class ByteBudget {
public:
  ByteBudget(std::int64_t BytesPerSecond, std::int64_t BurstBytes,
             TimePoint Start)
      : BytesPerSecond(BytesPerSecond), BurstBytes(BurstBytes),
        Tokens(BurstBytes * Scale), Filled(Start) {}

  /// Takes the bytes where the budget allows it now.
  bool take(TimePoint Now, std::int64_t Bytes, bool Urgent) {
    this->fill(Now);
    const std::int64_t Floor = Urgent ? -this->BurstBytes * Scale : 0;
    if (this->Tokens - Bytes * Scale < Floor)
      return false;
    this->Tokens -= Bytes * Scale;
    return true;
  }

private:
  /// Tokens are kept in millionths of a byte, so that no refill is lost to
  /// rounding however often it happens.
  static constexpr std::int64_t Scale = 1'000'000;

  void fill(TimePoint Now) {
    const Duration Passed = std::clamp<Duration>(
        Now - this->Filled, Duration::zero(), std::chrono::hours(1));
    this->Filled = std::max(this->Filled, Now);
    this->Tokens =
        std::min(this->BurstBytes * Scale,
                 this->Tokens + Passed.count() * this->BytesPerSecond);
  }

  std::int64_t BytesPerSecond;
  std::int64_t BurstBytes;
  std::int64_t Tokens;
  TimePoint Filled;
};

} // namespace parsleywing

#endif
