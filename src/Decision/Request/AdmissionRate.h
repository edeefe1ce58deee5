#ifndef PARSLEYWING_DECISION_REQUEST_ADMISSIONRATE_H
#define PARSLEYWING_DECISION_REQUEST_ADMISSIONRATE_H

#include "Decision/Request/Jitter.h"
#include "Decision/Request/RequestSettings.h"

#include <cstddef>

namespace parsleywing {

/// Measures how fast waiting requests go to servers, and from it when a caller
/// that was refused does well to come back.
class AdmissionRate {
public:
  explicit AdmissionRate(const RetryAfterSettings &S) : Settings(S) {}

  /// A waiting request went to a server.
  void countAdmitted() { ++this->Admitted; }

  /// Folds what was counted into the mean, once a second.
  void tick(TimePoint Now);

  /// The time that so many waiting requests need at the measured rate, drawn
  /// up to half as long again, within the settings' bounds.
  Duration retryAfter(std::size_t Waiting, Jitter &Random) const;

  /// Requests a second.
  double perSecond() const { return this->Mean; }

private:
  RetryAfterSettings Settings;
  std::size_t Admitted = 0;
  double Mean = 0;
  TimePoint LastFold;
};

} // namespace parsleywing

#endif
