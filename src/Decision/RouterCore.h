#ifndef PARSLEYWING_DECISION_ROUTERCORE_H
#define PARSLEYWING_DECISION_ROUTERCORE_H

#include "Decision/Actions.h"
#include "Decision/Configuration/ConfigurationKeeper.h"
#include "Decision/Events.h"
#include "Decision/Fairness/FairScheduler.h"
#include "Decision/Membership/MembershipTable.h"
#include "Decision/Request/RequestTable.h"
#include "Decision/ServerConditions.h"

#include <vector>

namespace parsleywing {

/// The settings of every decision of one router.
struct RouterCoreSettings {
  RequestSettings Requests;
  FairnessSettings Fairness;
  MembershipSettings Membership;
  ConfigurationKeeperSettings Configuration;
};

/// Every decision of one router: typed events in, typed actions out. It passes
/// events to the modules concerned and carries their actions between them until
/// none is left. One thread calls it.
class RouterCore {
public:
  explicit RouterCore(const RouterCoreSettings &S = {});

  std::vector<Action> handle(TimePoint Now, const Event &Happened);

  /// Requests that have no final answer yet.
  std::size_t openRequests() const { return this->Requests.openRequests(); }

  const RequestTable &requests() const { return this->Requests; }
  const FairScheduler &scheduler() const { return this->Scheduler; }
  const MembershipTable &membership() const { return this->Membership; }
  const ConfigurationKeeper &configuration() const {
    return this->Configuration;
  }

private:
  void toRequests(TimePoint Now, const RequestEvent &Event);
  void toScheduler(TimePoint Now, const FairnessEvent &Event);
  void toMembership(TimePoint Now, const MembershipEvent &Event);
  void toConfiguration(TimePoint Now, const ConfigurationEvent &Event);
  void fromPeer(TimePoint Now, const PeerPartReceived &Received);
  void changeView(TimePoint Now, const ViewChanged &Changed);
  void watchServers();
  void changeCondition(TimePoint Now, const ServerConditionChanged &Word);
  void expireConditions(TimePoint Now);

  RequestTable Requests;
  FairScheduler Scheduler;
  MembershipTable Membership;
  ConfigurationKeeper Configuration;
  ServerConditions Conditions;
  DeclarationsPtr InForce = std::make_shared<Declarations>();
  std::vector<ServerId> Watched;
  std::vector<Action> Pending;
  bool Started = false;
};

} // namespace parsleywing

#endif
