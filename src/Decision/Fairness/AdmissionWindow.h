#ifndef PARSLEYWING_DECISION_FAIRNESS_ADMISSIONWINDOW_H
#define PARSLEYWING_DECISION_FAIRNESS_ADMISSIONWINDOW_H

#include "Decision/Fairness/FairnessSettings.h"

#include <cstdint>

namespace parsleywing {

/// How many requests one backend server is given at a time. Learnt from the
/// server's late reports: cut to what it runs when its own queue is long,
/// raised by one while that queue is empty. Never above what is declared.
class AdmissionWindow {
public:
  /// Starts at what is declared, so that a server that never reports is used.
  explicit AdmissionWindow(std::uint32_t MaxConcurrent = 1)
      : Max(MaxConcurrent), Size(MaxConcurrent) {}

  void setMax(std::uint32_t MaxConcurrent);
  void report(TimePoint Now, std::uint32_t Running, std::uint32_t Waiting,
              const FairnessSettings &Settings);
  /// Grows after reports stopped, so that old news does not idle a server.
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
