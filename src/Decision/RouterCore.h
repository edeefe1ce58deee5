#ifndef PARSLEYWING_DECISION_ROUTERCORE_H
#define PARSLEYWING_DECISION_ROUTERCORE_H

#include "Decision/Actions.h"
#include "Decision/Events.h"
#include "Decision/Fairness/FairScheduler.h"
#include "Decision/Request/RequestTable.h"

#include <vector>

namespace parsleywing {

/// Every decision of one router: typed events in, typed actions out. It passes
/// events to the table of requests and the scheduler and carries their actions
/// between the two until none is left. One thread calls it.
class RouterCore {
public:
  explicit RouterCore(const RequestSettings &S = {}) : Requests(S) {}

  std::vector<Action> handle(TimePoint Now, const Event &Happened);

  /// Requests that have no final answer yet.
  std::size_t openRequests() const { return this->Requests.openRequests(); }

  const RequestCounters &requestCounters() const {
    return this->Requests.counters();
  }

  Poco::JSON::Object::Ptr dumpRequests() const { return this->Requests.dump(); }

private:
  void toRequests(TimePoint Now, const RequestEvent &Event);
  void toScheduler(TimePoint Now, const FairnessEvent &Event);

  RequestTable Requests;
  FairScheduler Scheduler;
  std::vector<Action> Pending;
};

} // namespace parsleywing

#endif
