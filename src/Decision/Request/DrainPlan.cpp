#include "Decision/Request/DrainPlan.h"

namespace parsleywing {

void DrainPlan::start(TimePoint Now) {
  if (!this->StartedAt)
    this->StartedAt = Now;
}

std::optional<RouterId> DrainPlan::nextRouter() {
  const auto &Members = this->CurrentView.Members;
  for (std::size_t Checked = 0; Checked < Members.size(); ++Checked) {
    const Member &Candidate = Members[this->NextMember++ % Members.size()];
    if (!Candidate.Draining && Candidate.Router != this->CurrentView.Self)
      return Candidate.Router;
  }
  return std::nullopt;
}

bool DrainPlan::checkHardLimit(TimePoint Now) {
  if (!this->StartedAt || this->LimitPassed ||
      this->Settings.HardLimit == Duration::zero() ||
      Now < *this->StartedAt + this->Settings.HardLimit)
    return false;
  this->LimitPassed = true;
  return true;
}

bool DrainPlan::checkFinished(std::size_t OpenRequests) {
  if (!this->StartedAt || this->Finished || OpenRequests > 0)
    return false;
  this->Finished = true;
  return true;
}

} // namespace parsleywing
