#ifndef PARSLEYWING_PLACEMENT_SLOTALLOCATOR_H
#define PARSLEYWING_PLACEMENT_SLOTALLOCATOR_H

#include "Placement/RouterMessages.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace parsleywing {

/// Why a request got no slot.
enum class SlotRefusal {
  WaitPredicted, ///< On arrival: the queue is longer than the request can wait.
  WaitExpired,   ///< The request has waited as long as it could.
  QueueFull,     ///< The queue of the group has reached its bound.
};

inline constexpr EnumNames<SlotRefusal, 3> SlotRefusalNames{{
    {SlotRefusal::WaitPredicted, "wait-predicted"},
    {SlotRefusal::WaitExpired, "wait-expired"},
    {SlotRefusal::QueueFull, "queue-full"},
}};

/// The state of one group, for operators.
struct SlotSummary {
  std::size_t Queued = 0;
  std::size_t SlotsInUse = 0;
  /// The listed slots of the servers that can be used now.
  std::size_t Slots = 0;
  std::array<std::uint64_t, SlotRefusalNames.size()> Refused{};
  /// The age of the newest load report of the server that was heard of least
  /// recently; empty if no server has reported.
  std::optional<Duration> ReportAge;
};

/// Allocates the slots of servers without engines (plain services) to the
/// requests of all routers, by group (`ServerGroups`). A slot serves one
/// request at a time, and a server refuses requests beyond its slots. Requests
/// wait here until a slot is free. Requests that can still meet their latency
/// objective come before late ones, among them the account that was granted
/// least, and within an account the earliest deadline. A request that would
/// wait too long is refused on arrival. Performs no I/O and has no clock of its
/// own; the owner delivers the replies.
///
/// Any router can be the allocator of a group, and several may consider
/// themselves the allocator for some time. Servers then refuse some requests as
/// full, and the allocators count the slots that the others use from the
/// servers' load reports.
class SlotAllocator {
public:
  SlotAllocator();

  /// Servers are identified by the hashes of their identities (`hashName`) in
  /// all other functions. Servers of services with engines are ignored.
  void setServers(const std::shared_ptr<const ServerList> &Listed,
                  const GatewayConfiguration *Configuration,
                  const ServerGroups &Groups, const ViewTime &Time = {});

  /// As for `Allocator`.
  void setWarmUpPolicy(const WarmUpBounds &Bounds,
                       std::function<bool(std::uint64_t Server)> Owns) {
    this->Servers.setWarmUpBounds(Bounds);
    this->Servers.setWarmUpOwnership(std::move(Owns));
  }

  void handle(const RouterMessage &Message, TimePoint Now);

  /// Refuses requests that have waited too long, drops grants that are no
  /// longer reported, and grants free slots. Called every few milliseconds
  /// while requests wait, and after messages.
  void tick(TimePoint Now);

  /// A response of this process of the server stated that it leaves.
  void recordLeaving(std::uint64_t Server, std::int64_t StartedMs,
                     TimePoint Now) {
    this->Servers.recordLeaving(Server, StartedMs, Now);
  }
  /// This process of the server has crashed.
  void recordCrash(std::uint64_t Server, std::int64_t StartedMs,
                   TimePoint Now) {
    this->Servers.recordCrash(Server, StartedMs, Now);
  }

  /// Returns and clears the replies to send.
  std::vector<RouterMessage> takeReplies() {
    return std::exchange(this->Replies, {});
  }

  /// Whether this allocator decides for the group.
  bool servesGroup(std::uint64_t Group) const {
    return this->Groups.contains(Group);
  }
  bool servesServer(std::uint64_t Server) const {
    return this->GroupOf.contains(Server);
  }

  std::size_t queuedRequests() const { return this->QueuedRequests.size(); }
  std::size_t activeGrants() const { return this->ActiveGrants.size(); }
  SlotSummary summaryOf(std::uint64_t Group, TimePoint Now) const;
  /// How long a request is expected to take at the server now.
  Duration expectedTime(std::uint64_t Server, TimePoint Now) const;

private:
  struct QueuedRequest {
    AllocationRequest Request;
    TimePoint ArrivedAt{};
    TimePoint ObjectiveDeadline{};
    TimePoint WaitDeadline{};
    /// Whether the request can no longer meet its latency objective.
    bool Late = false;
    std::set<std::uint64_t> ExcludedServers;
  };

  struct ActiveGrant {
    std::uint64_t Server = 0;
    AttemptLoad Load;
    TimePoint GrantedAt{};
    TimePoint LastReported{};
    /// Granted by another allocator, or sent without one, so that its start is
    /// unknown here.
    bool Foreign = false;
    /// The server has begun its response.
    bool Started = false;
    std::uint32_t SendWithinMs = 0;
  };

  /// What is known of a server beside `ServerTable`.
  struct SlotServer {
    std::uint32_t Slots = 1;
    std::uint64_t Zone = 0;
    /// The exponential average of the time from a grant to its end, in
    /// milliseconds; zero before the first.
    double MeanMs = 0;
    /// The same with each time divided by the work time that the server stated
    /// with it. A server that always states the same false figure is thereby
    /// expected to be as fast as it was measured.
    double UsualMs = 0;
    std::optional<ServerLoadReport> Report;
    TimePoint ReportedAt{};
    /// The slots that others used, by the last report or refusal.
    std::uint32_t UsedByOthers = 0;
    TimePoint OthersSeenAt{};
    TimePoint LastEndedAt{};
    TimePoint FullUntil{};
    /// When the server last refused a request as full.
    std::optional<TimePoint> RefusedAt;
    /// Attempts since the last success that failed.
    std::uint32_t Failures = 0;
    /// The active grants, oldest first.
    std::set<std::pair<TimePoint, CorrelationId>> Running;
  };

  /// The waiting requests of an account in one class, by deadline.
  using Queue = std::set<std::pair<TimePoint, CorrelationId>>;

  struct AccountState {
    /// The requests granted to the account. Raised to `GroupState::Served` when
    /// its queue becomes non-empty, so that an idle account accumulates no
    /// credit.
    double Granted = 0;
    Queue InTime;
    Queue Late;

    Queue &queue(bool IsLate) { return IsLate ? this->Late : this->InTime; }
    const Queue &queue(bool IsLate) const {
      return IsLate ? this->Late : this->InTime;
    }
    std::size_t size() const { return this->InTime.size() + this->Late.size(); }
  };

  struct GroupState {
    std::vector<std::uint64_t> Servers;
    std::map<std::uint64_t, AccountState> Accounts;
    /// The value of `AccountState::Granted` of the account that was last
    /// granted a slot, before that grant.
    double Served = 0;
    std::size_t Queued = 0;
    std::array<std::uint64_t, SlotRefusalNames.size()> Refused{};
  };

  void process(const AllocationRequest &Request, TimePoint Now);
  void process(const AllocationCancelled &Message, TimePoint Now);
  void process(const GrantStarted &Message, TimePoint Now);
  void process(const GrantEnded &Message, TimePoint Now);
  void process(const GrantActive &Message, TimePoint Now);
  void process(const ServerLoadReport &Message, TimePoint Now);
  /// Ignores messages that are not addressed to an allocator.
  template <typename Other> void process(const Other &, TimePoint) {}

  void dispatch(GroupState &Group, TimePoint Now);
  bool grantNext(GroupState &Group, bool Late, TimePoint Now);
  bool tryGrant(GroupState &Group, const QueuedRequest &Queued, TimePoint Now);
  void grant(GroupState &Group, const QueuedRequest &Queued,
             std::uint64_t Server, TimePoint Now);
  void refuse(GroupState &Group, const AllocationRequest &Request,
              SlotRefusal Reason, TimePoint Now);
  /// Makes room in a full queue: drops the last request of the account with
  /// the most waiting requests.
  void shorten(GroupState &Group, TimePoint Now);
  void removeQueued(const CorrelationId &Id);
  void markLate(GroupState &Group, TimePoint Now);
  void expireQueued(TimePoint Now);
  void expireGrants(TimePoint Now);
  void endGrant(const CorrelationId &Id, ServerVerdict Verdict, TimePoint Now);
  /// Drops grants to earlier processes of servers that have restarted.
  void dropGrantsOfEarlierProcesses();

  std::uint32_t slotLimit(std::uint64_t Server, const SlotServer &Entry,
                          double BestMs, TimePoint Now) const;
  double expectedMs(const SlotServer &Entry, TimePoint Now) const;
  /// The least expected time at a usable server of the group.
  double bestMs(const GroupState &Group, TimePoint Now) const;
  /// Requests that the group's usable servers complete in a millisecond.
  double ratePerMs(const GroupState &Group, TimePoint Now) const;
  /// The expected wait of a request in the queue, in milliseconds.
  double predictedWaitMs(const GroupState &Group, const QueuedRequest &Queued,
                         TimePoint Now) const;
  static TimePoint deadlineOf(const QueuedRequest &Queued) {
    return Queued.Late
               ? Queued.WaitDeadline
               : std::min(Queued.ObjectiveDeadline, Queued.WaitDeadline);
  }

  ServerTable Servers;
  std::unordered_map<std::uint64_t, std::uint64_t> GroupOf;
  std::map<std::uint64_t, GroupState> Groups;
  std::unordered_map<std::uint64_t, SlotServer> Entries;
  std::map<CorrelationId, QueuedRequest> QueuedRequests;
  std::map<CorrelationId, ActiveGrant> ActiveGrants;
  std::vector<RouterMessage> Replies;
  TimePoint LastExpiry{};
};

} // namespace parsleywing

#endif
