#ifndef PARSLEYWING_DECISION_FAIRNESS_ADMISSIONWINDOW_H
#define PARSLEYWING_DECISION_FAIRNESS_ADMISSIONWINDOW_H

#include "Decision/Fairness/FairnessSettings.h"

#include <cstdint>

namespace parsleywing {

/// The number of requests that one backend server is given at a time. Adapted
/// to the server's load reports, which arrive late: reduced to the number of
/// running requests if the server's own queue is long, and increased by one
/// while that queue is empty. Never larger than the declared concurrency.
class AdmissionWindow {
public:
  /// Starts at the declared concurrency, so that a server that never reports
  /// its load is used.
  explicit AdmissionWindow(std::uint32_t MaxConcurrent = 1)
      : Max(MaxConcurrent), Size(MaxConcurrent) {}

  void setMax(std::uint32_t MaxConcurrent);
  void report(TimePoint Now, std::uint32_t Running, std::uint32_t Waiting,
              const FairnessSettings &Settings);
  /// Increases the window when reports have stopped, so that an outdated report
  /// does not leave a server idle.
  void tick(TimePoint Now, const FairnessSettings &Settings);

  std::uint32_t size() const { return this->Size; }

private:
  std::uint32_t Max;
  std::uint32_t Size;
  TimePoint LastReport;
  TimePoint LastCut;
};

} // namespace parsleywing

#endif
