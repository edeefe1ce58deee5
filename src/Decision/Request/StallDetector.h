#ifndef PARSLEYWING_DECISION_REQUEST_STALLDETECTOR_H
#define PARSLEYWING_DECISION_REQUEST_STALLDETECTOR_H

#include "Decision/Declarations.h"
#include "Decision/Request/RequestSettings.h"
#include "Decision/Request/TimerQueue.h"

namespace parsleywing {

/// Finds attempts that stand still. A connection that something on the way has
/// lost track of looks open for good: only the lack of progress shows it.
///
/// Progress costs one hash look-up, since it comes with every token; the timer
/// is moved only when it runs out.
class StallDetector {
public:
  explicit StallDetector(const ProgressSettings &S) : Settings(S) {}

  /// Watches an attempt that was ordered now.
  void start(TimePoint Now, RequestId Request, ServiceKind Kind);

  void progressed(TimePoint Now, RequestId Request);

  void stop(RequestId Request);

  /// Takes out one request that has stood still for too long.
  std::optional<RequestId> takeStalled(TimePoint Now);

  std::size_t size() const { return this->Watched.size(); }

private:
  struct Watch {
    TimePoint Last;
    Duration Limit;
  };

  ProgressSettings Settings;
  std::unordered_map<RequestId, Watch> Watched;
  TimerQueue Timers;
};

} // namespace parsleywing

#endif
