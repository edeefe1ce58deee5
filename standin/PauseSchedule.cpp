#include "standin/PauseSchedule.h"

#include <utility>

namespace parsleywing::standin {

namespace {

/// The shortest drawn length, as a part of the longest one.
constexpr int MinLengthDivisor = 4;

} // namespace

void PauseSchedule::start(const EngineFaults &Faults, TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Random.seed(Faults.PauseSeed);
  this->IsDrawn = Faults.PauseSeed != 0;
  this->MaxPause = std::chrono::milliseconds(Faults.PauseProcessMs);
  this->PauseStart = Now;
  this->PauseEnd = Now + this->draw(this->MaxPause);
  this->Connection = {
      this->draw(std::chrono::milliseconds(Faults.PauseConnectionMs)),
      Faults.PauseAfter};
  if (this->IsDrawn)
    this->Connection.AfterTokens = this->Random() % (Faults.PauseAfter + 1);
}

bool PauseSchedule::isPaused(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  while (this->IsDrawn && this->MaxPause > Duration::zero() &&
         Now >= this->PauseEnd) {
    this->PauseStart = this->PauseEnd + this->draw(this->MaxPause);
    this->PauseEnd = this->PauseStart + this->draw(this->MaxPause);
  }
  return Now >= this->PauseStart && Now < this->PauseEnd;
}

ConnectionPause PauseSchedule::takeConnectionPause() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return std::exchange(this->Connection, {});
}

Duration PauseSchedule::draw(Duration Max) {
  if (!this->IsDrawn || Max <= Duration::zero())
    return Max;
  const Duration Min = Max / MinLengthDivisor;
  return Min + Duration(static_cast<Duration::rep>(
                   this->Random() %
                   static_cast<std::uint64_t>((Max - Min).count() + 1)));
}

} // namespace parsleywing::standin
