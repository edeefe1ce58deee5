#ifndef PARSLEYWING_DECISION_ROUTERCORE_H
#define PARSLEYWING_DECISION_ROUTERCORE_H

#include "Decision/Actions.h"
#include "Decision/Configuration/ConfigurationKeeper.h"
#include "Decision/Crashes/CrashTracker.h"
#include "Decision/Events.h"
#include "Decision/Fairness/FairScheduler.h"
#include "Decision/Membership/MembershipTable.h"
#include "Decision/Membership/OwnerCache.h"
#include "Decision/Request/RequestTable.h"
#include "Decision/Servers/ServerConditions.h"

#include <vector>

namespace parsleywing {

/// The settings of all decision modules of one router.
struct RouterCoreSettings {
  RequestSettings Requests;
  FairnessSettings Fairness;
  MembershipSettings Membership;
  ConfigurationKeeperSettings Configuration;
  ServerConditionsSettings Servers;
  /// Random seed for the choice of the routers that get crash facts; should
  /// differ between routers.
  std::uint64_t CrashSeed = 1;
};

/// Makes every decision of one router, from typed events to typed actions.
/// Dispatches each event to the modules concerned and their actions to other
/// modules, until none is pending. Called from one thread only.
class RouterCore {
public:
  explicit RouterCore(const RouterCoreSettings &S = {});

  std::vector<Action> handle(TimePoint Now, const Event &NewEvent);

  /// The number of requests without a final response.
  std::size_t openRequests() const { return this->Requests.openRequests(); }

  const RequestTable &requests() const { return this->Requests; }
  const FairScheduler &scheduler() const { return this->Scheduler; }
  const MembershipTable &membership() const { return this->Membership; }
  const ConfigurationKeeper &configuration() const {
    return this->Configuration;
  }
  const ServerConditions &servers() const { return this->Servers; }
  const CrashTracker &crashes() const { return this->Crashes; }

private:
  void toRequests(TimePoint Now, const RequestEvent &Event);
  void toScheduler(TimePoint Now, const FairnessEvent &Event);
  void toMembership(TimePoint Now, const MembershipEvent &Event);
  void toConfiguration(TimePoint Now, const ConfigurationEvent &Event);
  void toServers(TimePoint Now, const ServersEvent &Event);
  void toCrashes(TimePoint Now, const CrashEvent &Event);
  void acceptRequest(TimePoint Now, const RequestArrived &Arrived);
  void queueRequest(TimePoint Now, const QueueRequest &Queued);
  void dispatchPeerPart(TimePoint Now, const PeerPartReceived &Received);
  void applyView(TimePoint Now, const ViewChanged &Changed);
  void updateDeclarations(const DeclarationsChanged &Changed);
  void updateWatchedServers();

  RequestTable Requests;
  FairScheduler Scheduler;
  MembershipTable Membership;
  ConfigurationKeeper Configuration;
  ServerConditions Servers;
  CrashTracker Crashes;
  DeclarationsPtr ActiveDeclarations = std::make_shared<Declarations>();
  OwnerCache Owners;
  std::vector<ServerId> WatchedServers;
  std::vector<Action> PendingActions;
  bool Started = false;
};

} // namespace parsleywing

#endif
