#include "Decision/Request/AdmissionRate.h"

#include <algorithm>

namespace parsleywing {

namespace {

constexpr Duration FoldInterval = std::chrono::seconds(1);
/// The part of the newest second in the mean.
constexpr double NewestWeight = 0.3;
constexpr double MostSpread = 1.5;

} // namespace

void AdmissionRate::tick(TimePoint Now) {
  const Duration Passed = Now - this->LastFold;
  if (Passed < FoldInterval)
    return;
  const double Newest = static_cast<double>(this->Admitted) /
                        std::chrono::duration<double>(Passed).count();
  this->Mean += NewestWeight * (Newest - this->Mean);
  this->Admitted = 0;
  this->LastFold = Now;
}

Duration AdmissionRate::retryAfter(std::size_t Waiting, Jitter &Random) const {
  const double Most = std::chrono::duration<double>(this->Settings.Max).count();
  const double Seconds =
      this->Mean > 0 ? static_cast<double>(Waiting) / this->Mean : 0;
  const auto Wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, Most)));
  const Duration Drawn =
      Random.spread(std::max(Wait, this->Settings.Min), 1, MostSpread);
  return std::min(Drawn, this->Settings.Max);
}

} // namespace parsleywing
