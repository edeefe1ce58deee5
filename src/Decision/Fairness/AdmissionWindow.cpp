#include "Decision/Fairness/AdmissionWindow.h"

#include <algorithm>

namespace parsleywing {

void AdmissionWindow::setMax(std::uint32_t MaxConcurrent) {
  if (this->Size == this->Max)
    this->Size = MaxConcurrent;
  this->Max = MaxConcurrent;
  this->Size = std::min(this->Size, this->Max);
}

void AdmissionWindow::report(TimePoint Now, std::uint32_t Running,
                             std::uint32_t Waiting,
                             const FairnessSettings &Settings) {
  this->LastReport = Now;
  if (Waiting > Settings.EngineQueueTarget) {
    // Load reports are delayed: a second reduction before the first one is
    // visible in the reports would overshoot.
    if (Now < this->LastCut + Settings.WindowSettle)
      return;
    this->LastCut = Now;
    this->Size = std::clamp(Running + Settings.EngineQueueTarget, 1U,
                            std::max(1U, this->Size));
    return;
  }
  if (Waiting == 0 && this->Size < this->Max)
    ++this->Size;
}

void AdmissionWindow::tick(TimePoint Now, const FairnessSettings &Settings) {
  if (this->Size >= this->Max ||
      Now < this->LastReport + Settings.ReportLifetime)
    return;
  ++this->Size;
  this->LastReport = Now;
}

} // namespace parsleywing
