#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRSCHEDULER_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRSCHEDULER_H

#include "Decision/Fairness/AccountHome.h"
#include "Decision/Fairness/AccountLedger.h"
#include "Decision/Fairness/DigestTable.h"
#include "Decision/Fairness/FairQueue.h"
#include "Decision/Fairness/FairnessSettings.h"
#include "Decision/Fairness/FairnessTypes.h"
#include "Decision/Fairness/Outbox.h"
#include "Decision/Fairness/SlotOwner.h"
#include "Decision/Fairness/SlotTable.h"

#include <Poco/JSON/Object.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// Decides which queued request is sent to which backend server, and when, so
/// that accounts receive their shares across the fleet and no server idles
/// while requests are queued. There is one instance per router;
/// docs/FAIRNESS.md explains the design. Performs no I/O and has no clock of
/// its own: the same events result in the same actions.
class FairScheduler {
public:
  explicit FairScheduler(FairnessSettings S = {});

  FairnessActions handle(TimePoint Now, const FairnessEvent &Event);

  /// When the first pause of a server of the service ends, if all its usable
  /// servers are paused for this router; empty otherwise.
  std::optional<TimePoint> pausedUntil(TimePoint At, ServiceId Service) const;

  const FairnessCounters &counters() const { return this->Counters; }

  /// Virtual times, queues and slots, for the state dump of the process.
  Poco::JSON::Object::Ptr dump() const;

private:
  struct ServiceState {
    FairQueue Queue;
    /// The highest tag of all admitted requests.
    double VirtualTime = 0;
    double MeanCost = 0;
    /// Mean of cost divided by share: how far one admission advances a tag.
    double MeanStep = 0;
    /// The number of running requests.
    std::size_t Running = 0;
    /// Servers with idle slots at this router, those with the most slots first.
    std::set<std::pair<std::int64_t, ServerId>> Free;
    /// Owned servers with slots to grant.
    std::set<ServerId> OwnedFree;
    ServerId LastGranted;
    bool ReportedWaiting = false;
    TimePoint LastBurst;
    std::size_t RemainingBurst = 0;
    TimePoint LastStarvedDigest;
  };
  struct ServerState {
    std::uint32_t MaxConcurrent = 0;
    std::vector<ServiceId> Services;
    ServerCondition Condition = ServerCondition::Usable;
    bool Declared = false;
    std::uint32_t ListedFree = 0;
    /// Until then the server takes no requests from this router.
    TimePoint PausedUntil;

    bool usable() const {
      return this->Declared && this->Condition == ServerCondition::Usable;
    }
    bool isPaused(TimePoint At) const { return At < this->PausedUntil; }
  };
  struct RunningRequest {
    PairId Pair = 0;
    ServiceId Service;
    ServerId Server;
    double Charged = 0;
  };
  struct PeerState {
    Incarnation IncarnationNumber = 0;
    std::uint32_t LastSequence = 0;
  };

  void on(const RequestQueued &Event);
  void on(const RequestWithdrawn &Event);
  void on(const RequestCharged &Event);
  void on(const RequestReleased &Event);
  void on(const LoadReported &Event);
  void on(const ServerConditionChanged &Event);
  void on(const ServerPaused &Event);
  void on(const DeclarationsChanged &Event);
  void on(const ViewChanged &Event);
  void on(const FairMessageReceived &Event);
  void on(const Tick &);

  // Queues and admission.
  bool shared() const;
  double shareOf(AccountId Account) const;
  bool isCapped(const LedgerEntry &Position) const;
  void reposition(PairId Pair);
  void charge(RunningRequest &Request, double Tokens);
  void reenter(PairId Pair, ServiceState &Service);
  void admit(ServiceId Id, ServiceState &Service);
  void admitOne(ServiceState &Service);
  ServerId serverFor(const ServiceState &Service, RequestId Request);
  bool isAvoidedByNext(const ServiceState &Service, ServerId Server) const;
  double estimateOf(const ServiceState &Service, double Hint) const;
  double virtualTime(ServiceId Id, const ServiceState &Service) const;
  void learnCost(const RunningRequest &Request);
  void scheduleService(ServiceId Id);
  void scheduleDirty();
  void checkInvariants(ServiceId Id) const;

  // Pauses.
  void endPauses();
  void refusePaused(ServerId Server);

  // Slots.
  void refreshServer(ServerId Id);
  void markDirty(const ServerState &Server);
  void returnSlot(ServerId Id, bool Urgent);
  void returnIdleSlots(ServiceId Id, ServiceState &Service);
  bool mustReturnSlot(ServerId Id, const SlotLease &Lease) const;
  bool isAhead(ServiceId Id, ServiceState &Service, double Steps);
  void returnToOwner(ServerId Id, ServiceId Service);
  void onSlotReleased(ServerId Id, ServiceId Service);
  void distribute(ServiceId Id, ServiceState &Service);
  bool grantOne(ServiceId Id, ServiceState &Service, ServerId Server);
  void updateDeclarations();
  void updateOwnership();
  void updateEqualParts();
  void recall();
  void expireIdle();

  // Exchange with other routers.
  const Member *memberOf(RouterId Router) const;
  Incarnation ownIncarnation() const;
  std::vector<RouterId> peers() const;
  RouterId homeOf(PairId Pair);
  bool maySendDigest(ServiceId Id) const;
  ServiceDigest digestOf(ServiceId Id) const;
  void queueDigests(RouterId Peer, bool Urgent);
  void sendDigestsToNew(const View &PreviousView);
  void updateBurst(ServiceId Id, ServiceState &Service);
  void sendBursts();
  void sendStarvedDigest(ServiceId Id, ServiceState &Service);
  void sendDigests();
  void sendContributions();
  void contribute(PairId Pair, bool Urgent);
  void boundDebts();
  void resend();
  void flush();
  void fill(RouterId To, const Outbox::PendingMessage &Content);
  void send(RouterId To, bool Urgent, FairMessage Message);
  void applyDigest(RouterId From, const ServiceDigest &Digest);
  void applyReply(RouterId From, Incarnation IncarnationNumber,
                  std::uint32_t Sequence, const ContributionReply &Reply);
  void applyGrant(const FairMessageReceived &Event, const SlotGrant &Grant);
  void applyReport(const FairMessageReceived &Event, const SlotReport &Report);

  FairnessSettings Settings;
  std::mt19937_64 Random;
  FairnessCounters Counters;
  FairnessActions PendingActions;
  TimePoint Now;
  std::optional<TimePoint> StartedAt;

  DeclarationsPtr ActiveDeclarations = std::make_shared<Declarations>();
  View CurrentView;
  std::map<ServiceId, ServiceState> Services;
  std::map<ServerId, ServerState> Servers;
  /// The pauses by their ends.
  std::set<std::pair<TimePoint, ServerId>> Pauses;
  std::unordered_map<RequestId, PairId> WaitingRequests;
  std::unordered_map<RequestId, ServerId> AvoidedServers;
  std::unordered_map<RequestId, RunningRequest> Running;
  std::set<ServiceId> DirtyServices;

  AccountLedger Ledger;
  AccountHome Home;
  DigestTable Digests;
  SlotTable Slots;
  SlotOwner Owner;
  Outbox Outgoing;
  std::unordered_map<PairId, RouterId> HomeCache;
  std::unordered_map<RouterId, PeerState> Peers;
  std::uint32_t Sequence = 0;
  std::size_t DigestCursor = 0;
  TimePoint NextDigests;
  TimePoint NextContributions;
  Duration ContributionCycle{0};
  TimePoint NextResend;
  std::optional<TimePoint> GrantsStartAt;
};

} // namespace parsleywing

#endif
