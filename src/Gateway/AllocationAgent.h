#ifndef PARSLEYWING_GATEWAY_ALLOCATIONAGENT_H
#define PARSLEYWING_GATEWAY_ALLOCATIONAGENT_H

#include "Gateway/RouterExchange.h"
#include "Placement/Allocator.h"
#include "Placement/ServerOwnership.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace parsleywing {

using AllocationReply = std::variant<AllocationGrant, AllocationRefusal>;

/// What became of an ask, and who decided it.
struct AllocationOutcome {
  AllocationReply Reply;
  std::string Allocator;
  /// From the ask to the answer.
  Duration WaitTime{};
  /// A grant to a server that warms up: not sent later than this, on the clock
  /// that counts suspended time.
  std::optional<TimePoint> SendDeadline{};
};

/// Counts of the agent's messages and decisions.
struct AllocationCounters {
  explicit AllocationCounters(Metrics &Into);

  Counter &Requests;
  Counter &Grants;
  Counter &Refusals;
  Counter &Unanswered;
  Counter &WarmUpGrants;
  Counter &LateWarmUpGrants;
};

/// Asks the allocator of a service for a server and tells it how sends go; and
/// is the allocator itself for the services that fall to this router. The
/// allocator is the first live router in the service's rendezvous order, so all
/// routers find it without a word. Messages are datagrams, sent again until
/// they are answered; where nothing answers, the next router in the order is
/// asked from then on, and at last this one is the allocator of its own
/// requests. No request goes round an allocator: a router that is slow to read
/// the answers would else send a flood straight to the engines.
///
/// Belongs to the loop's thread.
class AllocationAgent {
public:
  using Callback = std::function<void(const AllocationOutcome &)>;

  /// `Process` tells this process from earlier ones of the router's name.
  AllocationAgent(EventLoop &L, RouterExchange &R, std::uint64_t Process,
                  const WarmUpBounds &WarmUps, Metrics &M);
  AllocationAgent(const AllocationAgent &) = delete;
  AllocationAgent &operator=(const AllocationAgent &) = delete;

  /// Tells of this router's requests from now on.
  void start() { this->reportActiveAttempts(); }

  /// Servers or configuration have changed.
  void setServers(const FleetView &View);
  /// Each new view, behind `setServers`.
  void updateView(const FleetView &View);

  CorrelationId newId() { return {this->Process, ++this->LastNumber}; }

  /// Asks; `Told` is called once, perhaps before this returns. The identity is
  /// one of `newId`.
  void request(AllocationRequest Ask, Callback Told);
  /// An ask that was not answered yet is over.
  void cancel(const CorrelationId &Id);

  /// A request was sent to a server, whoever chose it.
  void onAttemptSent(const CorrelationId &Id, std::uint64_t Service,
                     std::uint64_t Server, const AttemptLoad &Work);
  /// The server has begun to answer.
  void onAttemptStarted(const CorrelationId &Id);
  void onAttemptEnded(const CorrelationId &Id, ServerVerdict Verdict);

  const Allocator &allocator() const { return this->LocalAllocator; }
  /// A grant to a server that warms up has come too late to be used.
  void recordLateGrant() { this->Counters.LateWarmUpGrants.add(); }

  /// Called with each server whose cache the local allocator knows nothing of.
  void onUnknownCache(std::function<void(std::uint64_t Server)> Ask) {
    this->OnUnknownCache = std::move(Ask);
  }
  void recordCached(std::uint64_t Server, const CachedParts &Told) {
    this->LocalAllocator.recordCached(Server, Told);
  }

  /// A message of another router, or of this one's own allocator (then without
  /// an address).
  void onMessage(const RouterMessage &Message,
                 const Poco::Net::SocketAddress &From);

private:
  struct PendingRequest {
    AllocationRequest Request;
    Callback OnOutcome;
    std::string Allocator;
    TimePoint RequestedAt{};
    /// When the present allocator was first asked, on the clock that counts
    /// suspended time.
    TimePoint FirstSentAt{};
    TimerId Timer = 0;
    TimePoint TimerDueAt{};
    /// Times that it was sent to this allocator.
    int SendCount = 0;
    int UnansweredCount = 0;
    /// Allocators that did not answer.
    int SkippedAllocators = 0;
    bool Queued = false;
  };

  struct ActiveAttempt {
    std::uint64_t Service = 0;
    std::uint64_t Server = 0;
    AttemptLoad Work;
    std::string Allocator;
  };

  void sendRequest(PendingRequest &Asked);
  void onRequestTimer(const CorrelationId &Id);
  void complete(const CorrelationId &Id, const AllocationReply &Answer);

  void sendTo(const std::string &Router, RouterMessage Message);
  void scheduleAllocator();
  void runAllocator();
  void deliverLocalReplies();
  void logRefusal(const AllocationRefusal &Refused) const;
  void release(const CorrelationId &Id,
               const Poco::Net::SocketAddress &Allocator);
  void reportActiveAttempts();

  EventLoop &Loop;
  RouterExchange &Routers;
  std::uint64_t Process;
  AllocationCounters Counters;
  ServerGroups Groups;
  Clock BootClock = Clock::sinceBoot();
  ServerOwnership Sole;
  Allocator LocalAllocator;
  std::function<void(std::uint64_t)> OnUnknownCache;
  /// Where the processes that asked here are.
  std::map<std::uint64_t, Poco::Net::SocketAddress> Requesters;
  std::map<CorrelationId, PendingRequest> PendingRequests;
  std::map<CorrelationId, ActiveAttempt> ActiveAttempts;
  std::uint64_t LastNumber = 0;
  bool AllocatorScheduled = false;
  TimerId AllocatorTimer = 0;
};

} // namespace parsleywing

#endif
