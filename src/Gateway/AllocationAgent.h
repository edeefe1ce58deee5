#ifndef PARSLEYWING_GATEWAY_ALLOCATIONAGENT_H
#define PARSLEYWING_GATEWAY_ALLOCATIONAGENT_H

#include "Gateway/RouterMessenger.h"
#include "Gateway/WireFormat.h"
#include "Placement/AccountUsage.h"
#include "Placement/Allocator.h"
#include "Placement/ServerOwnership.h"
#include "Placement/SlotAllocator.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace parsleywing {

/// No allocator has answered a request for a slot of a plain service, which is
/// then placed without one.
struct AllocationUnanswered {};

using AllocationReply =
    std::variant<AllocationGrant, AllocationRefusal, AllocationUnanswered>;

/// The result of an allocation request, and the allocator that decided it.
struct AllocationOutcome {
  AllocationReply Reply;
  std::string AllocatorName;
  /// The group of servers for the request.
  std::uint64_t Group = 0;
  /// From the allocation request to its reply.
  Duration WaitTime{};
  /// For a server that warms up: the latest time at which the grant may be
  /// used, on the boot-time clock.
  std::optional<TimePoint> SendDeadline{};
};

/// Counts of the agent's requests and their outcomes.
struct AllocationCounters {
  explicit AllocationCounters(Metrics &Into);

  Counter &Requests;
  Counter &Grants;
  Counter &Refusals;
  Counter &Unanswered;
  Counter &WarmUpGrants;
  Counter &LateWarmUpGrants;
  Counter &ReturnedGrants;
};

/// The metrics of one plain service whose slots are shared.
struct SlotMetrics {
  SlotMetrics(Metrics &Into, const std::string &Service);

  /// From a request for a slot to its grant, at the requesting router.
  LatencyHistogram &Wait;
  /// The following are of the allocator, and zero at other routers.
  Gauge &Queued;
  Gauge &SlotsInUse;
  Gauge &Slots;
  Gauge &ReportAgeMs;
  std::array<Counter *, SlotRefusalNames.size()> Refused{};
};

/// Requests servers from the allocator of a service or server group and reports
/// the progress of attempts to it. Also runs the allocator for the services and
/// groups that belong to this router. Servers and services are given as hashes
/// of their names.
///
/// The allocator is the first live router in the rendezvous order of the
/// service or group, so all routers agree on it without communication. Messages
/// are datagrams and are resent until they are answered. If an allocator does
/// not answer, the next router in the order is used, and finally this router
/// allocates for its own requests. A request that gets no reply does not bypass
/// allocation: otherwise a router that is slow to read the replies would send a
/// flood directly to the engines. Only a request whose granted server this
/// router finds unusable is placed locally.
///
/// The slots of a plain service are shared in the same way (`SlotAllocator`) if
/// the setting is on and the service has fewer listed slots than there are
/// routers. Its latency objective leaves less time for a silent allocator, and
/// its servers refuse what they cannot take. A request for a slot therefore
/// changes to the next allocator sooner, and is placed locally if two have not
/// answered.
///
/// Used on the event loop's thread only.
class AllocationAgent {
public:
  using Callback = std::function<void(const AllocationOutcome &)>;

  /// `RouterProcess` distinguishes this process from earlier ones of the same
  /// router name.
  AllocationAgent(EventLoop &L, RouterMessenger &R, std::uint64_t RouterProcess,
                  const WarmUpBounds &WarmUps, Metrics &M,
                  const AllocatorOptions &Options = {});
  AllocationAgent(const AllocationAgent &) = delete;
  AllocationAgent &operator=(const AllocationAgent &) = delete;

  /// Starts the periodic reports of active attempts.
  void start() { this->reportActiveAttempts(); }

  /// Logs whose requests this router's allocator has refused since the last
  /// call.
  void logRefusedAccounts();

  /// Must be called when servers or configuration have changed.
  void setServers(const FleetView &View);
  /// Whether slots of plain services are shared. Call before `start`.
  void shareSlots(bool Enabled) { this->SharesSlots = Enabled; }
  /// Whether an allocator grants the slots of this plain service.
  bool sharesSlots(std::uint64_t Service) const {
    return this->SharedServices.contains(Service);
  }

  /// Must be called with each new view, after `setServers`.
  void updateView(const FleetView &View);

  CorrelationId newId() { return {this->RouterProcess, ++this->LastNumber}; }

  /// Requests a server. `OnOutcome` is called once, possibly before this
  /// returns. The request's identity must come from `newId`.
  void request(AllocationRequest Request, Callback OnOutcome);
  /// Cancels an allocation request that has no reply yet.
  void cancel(const CorrelationId &Id);

  /// A request was sent to a server, with or without an allocator's grant.
  void onAttemptSent(const CorrelationId &Id, std::uint64_t Service,
                     std::uint64_t Server, const AttemptLoad &Load);
  /// The server has started its response.
  void onAttemptStarted(const CorrelationId &Id);
  /// A server of a plain service stated its load in the response to an active
  /// attempt, this long ago. Call before `onAttemptEnded`.
  void reportLoad(const CorrelationId &Id, const ServerLoad &Load,
                  Duration Age);
  void onAttemptEnded(const CorrelationId &Id, ServerVerdict Verdict);

  const SlotAllocator &slotAllocator() const { return this->LocalSlots; }
  const Allocator &allocator() const { return this->LocalAllocator; }
  /// Counts a grant for a server that warms up which arrived too late for use.
  void recordLateGrant() { this->Counters.LateWarmUpGrants.add(); }
  /// Counts a grant for a server that this router must not send requests to.
  void recordReturnedGrant() { this->Counters.ReturnedGrants.add(); }

  /// A response of this process of the server stated that it leaves: it is
  /// granted to no router any more.
  void recordLeaving(std::uint64_t Server, std::int64_t StartedMs) {
    const TimePoint Now = this->Loop.clock().now();
    this->LocalAllocator.recordLeaving(Server, StartedMs, Now);
    this->LocalSlots.recordLeaving(Server, StartedMs, Now);
  }
  /// This process of the server has crashed.
  void recordCrash(const ServerProcess &Process) {
    const TimePoint Now = this->Loop.clock().now();
    this->LocalAllocator.recordCrash(Process.Server, Process.Start, Now);
    this->LocalSlots.recordCrash(Process.Server, Process.Start, Now);
  }
  /// Excludes those of the servers that are in the request's group, which has
  /// far fewer servers than a request can exclude.
  void exclude(AllocationRequest &Request,
               const std::vector<std::uint64_t> &Avoided) const;
  /// Whether the request's group has a server that the request does not
  /// exclude.
  bool mayBeGranted(const AllocationRequest &Request) const;

  /// Sets the callback for servers whose cache content is unknown to the local
  /// allocator.
  void
  setUnknownCacheCallback(std::function<void(std::uint64_t Server)> Handler) {
    this->OnUnknownCache = std::move(Handler);
  }
  void recordCached(std::uint64_t Server, const CachedParts &Parts) {
    this->LocalAllocator.recordCached(Server, Parts);
  }

  /// Handles a message of another router, or of the local allocator, which has
  /// no address.
  void onMessage(const RouterMessage &Message,
                 const Poco::Net::SocketAddress &From);

private:
  struct PendingRequest {
    AllocationRequest Request;
    std::uint64_t Service = 0;
    Callback OnOutcome;
    std::string AllocatorName;
    TimePoint RequestedAt{};
    /// When the request was first sent to the current allocator, on the
    /// boot-time clock.
    TimePoint FirstSentAt{};
    TimerId Timer = 0;
    TimePoint TimerDueAt{};
    /// Number of transmissions to the current allocator.
    int SendCount = 0;
    int UnansweredCount = 0;
    /// Number of allocators that did not answer.
    int SkippedAllocators = 0;
    bool Queued = false;
    /// For a slot of a plain service.
    bool ForSlot = false;
    /// Whether any allocator has queued the request.
    bool EverQueued = false;
  };

  struct ActiveAttempt {
    std::uint64_t Group = 0;
    std::uint64_t Server = 0;
    AttemptLoad Load;
    std::string AllocatorName;
  };

  std::uint64_t groupOf(const AllocationRequest &Request) const {
    return this->Groups.groupForRequest(Request.Group, Request.Parts,
                                        Request.Id.Number);
  }
  void sendRequest(PendingRequest &Pending);
  static Duration resendDelay(const PendingRequest &Pending);
  /// Hands a message to the local allocator that decides for its group.
  template <typename Message> void handleLocally(const Message &M);
  void updateSharedServices(const FleetView &View);
  void updateSlotMetrics();
  void onRequestTimer(const CorrelationId &Id);
  void complete(const CorrelationId &Id, const AllocationReply &Reply);

  void sendTo(const std::string &Router, RouterMessage Message);
  void scheduleAllocator();
  void runAllocator();
  void deliverLocalReplies();
  void logRefusal(const AllocationRefusal &Refusal) const;
  static void logDecision(const AllocationGrant &Grant);
  void release(const CorrelationId &Id,
               const Poco::Net::SocketAddress &AllocatorAddress);
  void reportActiveAttempts();

  EventLoop &Loop;
  RouterMessenger &Routers;
  std::uint64_t RouterProcess;
  Metrics &Registry;
  AllocationCounters Counters;
  ServerGroups Groups;
  AccountUsage Usage;
  Clock BootClock = Clock::sinceBoot();
  ServerOwnership Ownership;
  Allocator LocalAllocator;
  SlotAllocator LocalSlots;
  bool SharesSlots = false;
  /// The plain services whose slots are shared, with their names.
  std::map<std::uint64_t, std::string> SharedServices;
  /// What `SharedServices` was computed from.
  std::shared_ptr<const ServerList> SharedServers;
  std::shared_ptr<const GatewayConfiguration> SharedConfiguration;
  std::uint32_t SharedRouterCount = 0;
  std::map<std::uint64_t, SlotMetrics> MetricsOfSlots;
  std::function<void(std::uint64_t)> OnUnknownCache;
  /// Addresses of the router processes that sent requests to the local
  /// allocator.
  std::map<std::uint64_t, Poco::Net::SocketAddress> Requesters;
  std::map<CorrelationId, PendingRequest> PendingRequests;
  std::map<CorrelationId, ActiveAttempt> ActiveAttempts;
  std::uint64_t LastNumber = 0;
  bool AllocatorScheduled = false;
  TimerId AllocatorTimer = 0;
};

} // namespace parsleywing

#endif
