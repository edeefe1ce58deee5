#include "Placement/WarmUp.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// The burst, as a fraction of the fleet's slack. The rest of the slack is left
/// for requests from routers that consider the server warm.
constexpr double BurstFraction = 0.4;
/// The fraction of the fleet's bound that is left for such requests as well.
constexpr double ReserveFraction = 0.15;

/// With a burst below one token, nothing could ever be sent.
constexpr double MinBurst = 1;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

WarmUpLimiter::WarmUpLimiter(const WarmUpLoad &Load, const WarmUpBounds &Bounds)
    : Limited(Load.RequestsPerSecond > 0) {
  const double Bound =
      Load.RequestsPerSecond * Bounds.RateFactor + Bounds.Slack;
  this->Burst = std::max(Bounds.Slack * BurstFraction, MinBurst);
  const double SustainedBound = Bound * (1 - ReserveFraction) - this->Burst;
  this->Rate = std::clamp(SustainedBound / (1 + secondsOf(MaxWarmUpSendDelay)),
                          0.0, Load.RequestsPerSecond);
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
  // The number of tokens may become negative, since requests to a warm server
  // are counted whatever their rate. Its lower bound is the number of requests
  // that the rate permits in one second and the send delay, since older
  // requests no longer count. Without a lower bound, a server that turns cold
  // would get no requests for as long as it was loaded before.
  const double MinTokens = -this->Rate * (1 + secondsOf(MaxWarmUpSendDelay));
  this->Tokens = std::max(this->tokensAt(Now) - 1, MinTokens);
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
