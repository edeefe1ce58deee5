#ifndef PARSLEYWING_DECISION_REQUEST_ADMISSIONRATE_H
#define PARSLEYWING_DECISION_REQUEST_ADMISSIONRATE_H

#include "Decision/Request/Jitter.h"
#include "Decision/Request/RequestSettings.h"

#include <cstddef>

namespace parsleywing {

/// Measures the rate at which waiting requests are admitted to servers, and
/// derives the retry delay for refused callers from it.
class AdmissionRate {
public:
  explicit AdmissionRate(const RetryAfterSettings &S) : Settings(S) {}

  /// A waiting request was admitted to a server.
  void countAdmitted() { ++this->Admitted; }

  /// Updates the moving average, once per second.
  void tick(TimePoint Now);

  /// The time to admit `Waiting` requests at the measured rate, with a random
  /// extension of up to half of it, within the bounds of the settings.
  Duration retryAfter(std::size_t Waiting, Jitter &Random) const;

  /// Admitted requests per second.
  double perSecond() const { return this->Mean; }

private:
  RetryAfterSettings Settings;
  std::size_t Admitted = 0;
  double Mean = 0;
  TimePoint UpdatedAt;
};

} // namespace parsleywing

#endif
