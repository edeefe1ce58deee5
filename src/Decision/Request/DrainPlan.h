#ifndef PARSLEYWING_DECISION_REQUEST_DRAINPLAN_H
#define PARSLEYWING_DECISION_REQUEST_DRAINPLAN_H

#include "Decision/Membership/View.h"
#include "Decision/Request/RequestSettings.h"

#include <optional>

namespace parsleywing {

/// Whether this router drains, which routers take over its queued requests, and
/// when its remaining requests are aborted.
class DrainPlan {
public:
  explicit DrainPlan(const DrainSettings &S) : Settings(S) {}

  /// Further calls have no effect.
  void start(TimePoint Now);

  void setView(View V) { this->CurrentView = std::move(V); }

  bool isDraining() const { return this->StartedAt.has_value(); }

  /// The next router to hand a request over to, round-robin over those that do
  /// not drain; empty if there is none.
  std::optional<RouterId> nextRouter();

  /// Returns true once, after the hard limit has passed.
  bool checkHardLimit(TimePoint Now);

  /// A request was aborted at the hard limit.
  void countUnfinished() { ++this->UnfinishedCount; }

  std::uint64_t unfinished() const { return this->UnfinishedCount; }

  /// Returns true once, after the drain was ordered and no request is open.
  bool checkFinished(std::size_t OpenRequests);

private:
  DrainSettings Settings;
  View CurrentView;
  std::optional<TimePoint> StartedAt;
  std::size_t NextMember = 0;
  std::uint64_t UnfinishedCount = 0;
  bool LimitPassed = false;
  bool Finished = false;
};

} // namespace parsleywing

#endif
