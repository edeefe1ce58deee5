#include "Decision/Request/DrainPlan.h"

namespace parsleywing {

void DrainPlan::start(TimePoint Now) {
  if (!this->Started)
    this->Started = Now;
}

std::optional<RouterId> DrainPlan::nextRouter() {
  const auto &Members = this->Current.Members;
  for (std::size_t Tried = 0; Tried < Members.size(); ++Tried) {
    const Member &Candidate = Members[this->Turn++ % Members.size()];
    if (!Candidate.Draining && Candidate.Router != this->Current.Self)
      return Candidate.Router;
  }
  return std::nullopt;
}

bool DrainPlan::checkHardLimit(TimePoint Now) {
  if (!this->Started || this->LimitPassed ||
      this->Settings.HardLimit == Duration::zero() ||
      Now < *this->Started + this->Settings.HardLimit)
    return false;
  this->LimitPassed = true;
  return true;
}

bool DrainPlan::checkFinished(std::size_t OpenRequests) {
  if (!this->Started || this->Finished || OpenRequests > 0)
    return false;
  this->Finished = true;
  return true;
}

} // namespace parsleywing
