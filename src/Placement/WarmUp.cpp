#include "Placement/WarmUp.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// The fraction of the slack that may be used as a burst, and the fraction of
/// the whole bound that is reserved. What they leave is for routers that
/// consider the server warm.
constexpr double BurstFraction = 0.4;
constexpr double ReserveFraction = 0.15;

/// With a burst below one token, nothing could ever be sent.
constexpr double MinBurst = 1;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

WarmUpLimiter::WarmUpLimiter(const WarmUpLoad &Load, const WarmUpBounds &Bounds)
    : Limited(Load.PerSecond > 0) {
  const double Bound = Load.PerSecond * Bounds.RateFactor + Bounds.Slack;
  this->Burst = std::max(Bounds.Slack * BurstFraction, MinBurst);
  const double SustainedBound = Bound * (1 - ReserveFraction) - this->Burst;
  this->Rate = std::clamp(SustainedBound / (1 + secondsOf(MaxWarmUpSendDelay)),
                          0.0, Load.PerSecond);
  this->Tokens = this->Burst;
}

double WarmUpLimiter::tokensAt(TimePoint Now) const {
  const double Elapsed = std::max(secondsOf(Now - this->RefilledAt), 0.0);
  return std::min(this->Tokens + Elapsed * this->Rate, this->Burst);
}

bool WarmUpLimiter::hasToken(TimePoint Now) const {
  return this->tokensAt(Now) >= 1;
}

void WarmUpLimiter::recordSent(TimePoint Now) {
  // The load of a warm server may exceed the rate, and older requests no longer
  // count. The debt is therefore limited to one second and the send delay.
  // Without this floor, the server would get no requests for as long as it was
  // loaded before.
  const double Floor = -this->Rate * (1 + secondsOf(MaxWarmUpSendDelay));
  this->Tokens = std::max(this->tokensAt(Now) - 1, Floor);
  this->RefilledAt = Now;
}

void WarmUpLimiter::copyRateFrom(const WarmUpLimiter &Other) {
  if (!this->Limited)
    this->Tokens = Other.Tokens;
  this->Limited = Other.Limited;
  this->Rate = Other.Rate;
  this->Burst = Other.Burst;
}

} // namespace parsleywing
