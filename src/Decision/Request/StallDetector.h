#ifndef PARSLEYWING_DECISION_REQUEST_STALLDETECTOR_H
#define PARSLEYWING_DECISION_REQUEST_STALLDETECTOR_H

#include "Decision/Declarations.h"
#include "Decision/Request/RequestSettings.h"
#include "Decision/Request/TimerQueue.h"

namespace parsleywing {

/// Detects attempts without progress. A connection whose state was lost on the
/// network path stays open indefinitely; only the lack of progress reveals it.
///
/// Progress costs one hash lookup because it is reported for every token; the
/// timer is rescheduled only when it expires.
class StallDetector {
public:
  explicit StallDetector(const ProgressSettings &S) : Settings(S) {}

  /// Watches an attempt that is ordered at `Now`.
  void start(TimePoint Now, RequestId Request, ServiceKind Kind);

  void progressed(TimePoint Now, RequestId Request);

  void stop(RequestId Request);

  /// Removes and returns one request whose attempt has stalled.
  std::optional<RequestId> takeStalled(TimePoint Now);

  std::size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    TimePoint LastProgress;
    Duration Timeout;
  };

  ProgressSettings Settings;
  std::unordered_map<RequestId, Entry> Entries;
  TimerQueue Timers;
};

} // namespace parsleywing

#endif
