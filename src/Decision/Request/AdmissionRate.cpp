#include "Decision/Request/AdmissionRate.h"

#include <algorithm>

namespace parsleywing {

namespace {

constexpr Duration UpdateInterval = std::chrono::seconds(1);
/// The weight of the newest interval in the moving average.
constexpr double NewestWeight = 0.3;
constexpr double MaxJitterFactor = 1.5;

} // namespace

void AdmissionRate::tick(TimePoint Now) {
  const Duration Elapsed = Now - this->UpdatedAt;
  if (Elapsed < UpdateInterval)
    return;
  const double Newest = static_cast<double>(this->Admitted) /
                        std::chrono::duration<double>(Elapsed).count();
  this->Mean += NewestWeight * (Newest - this->Mean);
  this->Admitted = 0;
  this->UpdatedAt = Now;
}

Duration AdmissionRate::retryAfter(std::size_t Waiting, Jitter &Random) const {
  const double MaxSeconds =
      std::chrono::duration<double>(this->Settings.Max).count();
  const double Seconds =
      this->Mean > 0 ? static_cast<double>(Waiting) / this->Mean : 0;
  const auto Delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, MaxSeconds)));
  const Duration Jittered =
      Random.spread(std::max(Delay, this->Settings.Min), 1, MaxJitterFactor);
  return std::min(Jittered, this->Settings.Max);
}

} // namespace parsleywing
