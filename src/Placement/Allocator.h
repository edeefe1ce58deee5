#ifndef PARSLEYWING_PLACEMENT_ALLOCATOR_H
#define PARSLEYWING_PLACEMENT_ALLOCATOR_H

#include "Placement/RecentTimeouts.h"
#include "Placement/RouterMessages.h"

#include <map>
#include <optional>
#include <set>

namespace parsleywing {

/// How much an allocator lets the engines of a service have at once.
struct AllocationLimits {
  /// Prompt tokens that may wait unread at one server before the next request
  /// is held back. An engine admits in order of arrival: what is queued there
  /// can neither be ordered nor taken back.
  std::uint64_t MaxPendingPrefillTokens = 5000;
  /// Prompt tokens that a server reads in a millisecond, for estimates.
  double PrefillTokensPerMs = 25;
  /// What it costs to fetch kept parts of prompts from another server.
  FetchCost Fetch;
};

/// Mechanisms of an allocator that tests and the lab switch off, to show what
/// each is worth. The product runs with all of them.
struct AllocatorOptions {
  /// An account's least work first, in place of the order of arrival.
  bool SmallestFirst = true;
  /// Kept parts are fetched from other engines.
  bool FetchCached = true;
  /// Accounts that are far behind take any engine with room.
  bool UnderservedUseAnyServer = true;
  /// What would wait in vain is refused on its arrival.
  bool RefuseLikelyTimeouts = true;
  PlacementWeights Weights;
};

/// How many servers of a service take more, and why the others do not.
struct CapacitySummary {
  std::uint32_t Free = 0;
  /// As many requests run there as it has slots.
  std::uint32_t SlotsFull = 0;
  /// Too many prompt tokens wait there unread.
  std::uint32_t PrefillFull = 0;
  /// It has failed of late.
  std::uint32_t Unhealthy = 0;
  /// It warms up, and has what it bears or is not this allocator's to grant.
  std::uint32_t WarmingUp = 0;
};

/// Gives the servers of a service to the requests of all routers, so that short
/// queues stand at the engines and the long one here: in order of what each
/// client account has had, and of what can still be on time. Makes no calls and
/// has no clock of its own; its answers are collected and taken by the caller.
///
/// In two files: what it hears and forgets (`Allocator.cpp`), whom it grants
/// what and whom it refuses (`AllocatorGrants.cpp`).
///
/// Any router can be the allocator of a service, and more than one may believe
/// to be it for a while. Each then fills the servers by itself, which makes
/// them busier than planned and breaks no promise.
class Allocator {
public:
  explicit Allocator(AllocatorOptions C = {});

  void setServers(const std::shared_ptr<const ServerList> &Servers,
                  const GatewayConfiguration *Stated,
                  const ServerGroups &Groups, const ViewTime &At = {});

  /// What the fleet may send to servers that warm up, and whether this
  /// allocator alone grants one of them. Before `setServers`.
  void setWarmUpPolicy(const WarmUpBounds &Bounds,
                       std::function<bool(std::uint64_t Server)> MayGrant) {
    this->Servers.setWarmUpBounds(Bounds);
    this->Servers.setWarmUpOwnership(std::move(MayGrant));
  }

  void handle(const RouterMessage &Message, TimePoint Now);

  /// Refuses what waits too long, forgets what is no longer told, and grants
  /// what there is room for. Called every few milliseconds.
  void tick(TimePoint Now);

  /// Servers whose caches this allocator knows nothing of, since it has not
  /// allocated them for a while. Each is named once.
  std::vector<std::uint64_t> takeUnknownCaches();
  /// One of them has told what it keeps.
  void recordCached(std::uint64_t Server, const CachedParts &Told) {
    this->Servers.recordCached(Server, Told);
  }

  /// The answers since the last call.
  std::vector<RouterMessage> takeReplies();

  std::size_t queuedRequests() const { return this->QueuedRequests.size(); }
  std::size_t activeGrants() const { return this->ActiveGrants.size(); }
  /// What keeps the servers of a service (or group) from taking more.
  CapacitySummary capacityOf(std::uint64_t Service, TimePoint Now) const;
  const ServerTable &serverTable() const { return this->Servers; }

private:
  struct QueuedRequest {
    AllocationRequest Request;
    TimePoint ArrivedAt{};
    TimePoint ObjectiveDeadline{};
    TimePoint WaitDeadline{};
    bool Late = false;
    bool ArrivedLate = false;
    std::set<std::uint64_t> ExcludedServers;
    /// Where it would go now, and its tokens counted there as queued.
    std::uint64_t PlannedServer = 0;
    std::uint32_t PlannedTokens = 0;
    TimePoint PlannedAt{};
    std::uint64_t ArrivalNumber = 0;
  };

  struct ActiveGrant {
    std::uint64_t Server = 0;
    /// Where kept parts are fetched from; 0 for none.
    std::uint64_t FetchSource = 0;
    AttemptLoad Load;
    TimePoint LastReported{};
    /// Of the prompt; empty where another allocator granted it.
    std::vector<PromptPart> Parts{};
    /// As granted; 0 for a server that does not warm up.
    std::uint32_t SendWithinMs = 0;
  };

  /// What an account has had, in tokens; a lower one is served first.
  struct AccountState {
    double VirtualTime = 0;
    /// What waits, by the work that it is for an engine, in tokens. The least
    /// is served first: where not all can be served, most callers are. In order
    /// of arrival a few long prompts held up many short ones, which were late
    /// or refused in their turn: 0.63 against 0.67 of the worth on a deployment
    /// at 1.2 times its capacity, five days and three seeds each, and 0.66
    /// against 0.71 on one at 1.0. Only the account's own requests are ordered
    /// so; what an account gets does not depend on their sizes.
    std::set<std::pair<double, CorrelationId>> Queue;
    /// Of requests that could be on time when they came, and of late ones.
    RecentTimeouts Timeouts;
    RecentTimeouts LateTimeouts;

    RecentTimeouts &timeouts(bool Late) {
      return Late ? this->LateTimeouts : this->Timeouts;
    }
  };

  using AccountKey = std::pair<std::uint64_t, std::uint64_t>;

  void take(const AllocationRequest &Ask, TimePoint Now);
  void take(const AllocationCancelled &Message, TimePoint Now);
  void take(const GrantStarted &Message, TimePoint Now);
  void take(const GrantEnded &Message, TimePoint Now);
  void take(const GrantActive &Message, TimePoint Now);
  /// Answers of another allocator are nothing to this one.
  template <typename Other> void take(const Other &, TimePoint) {}

  void dispatch(TimePoint Now);
  bool grantNext(std::uint64_t Service, TimePoint Now, bool Late);
  /// `AnyServer`: one with room, even where reading the prompt there costs more
  /// than the wait for the best one.
  bool tryGrant(QueuedRequest &Asked, TimePoint Now, bool AnyServer);
  /// Whether an account has had much less than the one that has had most.
  bool isUnderserved(const AccountKey &Key, double MostPosition) const;
  bool anyCapacity(std::uint64_t Service, TimePoint Now) const;
  bool hasCapacity(std::uint64_t Server, std::uint32_t Unread) const;
  bool hasFreeSlot(std::uint64_t Server) const;
  void grant(const QueuedRequest &Asked, const ServerChoice &Choice,
             TimePoint Now);
  void refuse(const AllocationRequest &Ask);
  void removeQueued(const CorrelationId &Id);
  void planFor(QueuedRequest &Asked, std::uint64_t Server,
               std::uint32_t Tokens);
  void expireQueued(TimePoint Now);
  void expireGrants(TimePoint Now);
  void recordRequest(std::uint64_t Service, TimePoint Now);
  /// Forgets the sends to earlier processes of servers that have restarted.
  void dropLostGrants();
  AllocationLimits limitsOf(std::uint64_t Service) const;
  double lowestVirtualTime(std::uint64_t Service) const;

  /// The key of a request in its account's queue.
  double queueKey(const QueuedRequest &Asked) const;

  AllocatorOptions Options;
  ServerTable Servers;
  std::map<std::uint64_t, AllocationLimits> Limits;
  /// The service (or group) of each server in force.
  std::unordered_map<std::uint64_t, std::uint64_t> ServiceOf;
  std::map<CorrelationId, QueuedRequest> QueuedRequests;
  std::map<CorrelationId, ActiveGrant> ActiveGrants;
  std::map<AccountKey, AccountState> Accounts;
  /// The last ask for each service.
  std::unordered_map<std::uint64_t, TimePoint> LastRequestAt;
  std::vector<std::uint64_t> UnknownCaches;
  /// Asks that wait, for each service.
  std::map<std::uint64_t, std::size_t> QueuedCounts;
  std::vector<RouterMessage> Replies;
  TimePoint LastExpiry{};
  /// Numbers the asks in order of arrival.
  std::uint64_t LastArrivalNumber = 0;
};

} // namespace parsleywing

#endif
