#include "Placement/WarmUp.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// The part of the slack that may be used at once. The rest, and the part of
/// the whole bound below, is left for routers that believe the server warm.
constexpr double BurstPart = 0.4;
constexpr double ReservedPart = 0.15;

/// Without one whole token nothing could ever be sent.
constexpr double LeastBurst = 1;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

WarmUpLimiter::WarmUpLimiter(const WarmUpLoad &Load, const WarmUpBounds &Bounds)
    : Limited(Load.PerSecond > 0) {
  const double Bound = Load.PerSecond * Bounds.RateFactor + Bounds.Slack;
  this->Burst = std::max(Bounds.Slack * BurstPart, LeastBurst);
  const double Left = Bound * (1 - ReservedPart) - this->Burst;
  this->Rate = std::clamp(Left / (1 + secondsOf(MaxWarmUpSendDelay)), 0.0,
                          Load.PerSecond);
  this->Tokens = this->Burst;
}

double WarmUpLimiter::tokensAt(TimePoint Now) const {
  const double Passed = std::max(secondsOf(Now - this->RefilledAt), 0.0);
  return std::min(this->Tokens + Passed * this->Rate, this->Burst);
}

bool WarmUpLimiter::hasToken(TimePoint Now) const {
  return this->tokensAt(Now) >= 1;
}

void WarmUpLimiter::recordSent(TimePoint Now) {
  // Behind the load of a warm server, the debt of one second: older sends no
  // longer count, and without this floor the server would stand idle for as
  // long as it has been loaded.
  const double Floor = -this->Rate * (1 + secondsOf(MaxWarmUpSendDelay));
  this->Tokens = std::max(this->tokensAt(Now) - 1, Floor);
  this->RefilledAt = Now;
}

void WarmUpLimiter::copyRateFrom(const WarmUpLimiter &Load) {
  if (!this->Limited)
    this->Tokens = Load.Tokens;
  this->Limited = Load.Limited;
  this->Rate = Load.Rate;
  this->Burst = Load.Burst;
}

} // namespace parsleywing
