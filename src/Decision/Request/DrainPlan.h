#ifndef PARSLEYWING_DECISION_REQUEST_DRAINPLAN_H
#define PARSLEYWING_DECISION_REQUEST_DRAINPLAN_H

#include "Decision/Membership/View.h"
#include "Decision/Request/RequestSettings.h"

#include <optional>

namespace parsleywing {

/// Whether this router drains, where its waiting requests go, and when what is
/// left is cut off.
class DrainPlan {
public:
  explicit DrainPlan(const DrainSettings &S) : Settings(S) {}

  /// A second order changes nothing.
  void start(TimePoint Now);

  void setView(View V) { this->Current = std::move(V); }

  bool isDraining() const { return this->Started.has_value(); }

  /// The next router to hand a request over to, in turn over those that do not
  /// drain; nothing where there is no other.
  std::optional<RouterId> nextRouter();

  /// True once, when the hard limit has passed.
  bool checkHardLimit(TimePoint Now);

  /// A request was cut off by the hard limit.
  void countUnfinished() { ++this->Cut; }

  std::uint64_t unfinished() const { return this->Cut; }

  /// True once, when the drain has been ordered and nothing is open.
  bool checkFinished(std::size_t OpenRequests);

private:
  DrainSettings Settings;
  View Current;
  std::optional<TimePoint> Started;
  std::size_t Turn = 0;
  std::uint64_t Cut = 0;
  bool LimitPassed = false;
  bool Finished = false;
};

} // namespace parsleywing

#endif
