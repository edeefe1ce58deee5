#ifndef PARSLEYWING_PLACEMENT_ALLOCATOR_H
#define PARSLEYWING_PLACEMENT_ALLOCATOR_H

#include "Placement/RecentTimeouts.h"
#include "Placement/RouterMessages.h"
#include "Runtime/AccountCounts.h"

#include <map>
#include <optional>
#include <set>

namespace parsleywing {

/// What an allocator assumes of the engines of a group, and how much work it
/// gives to one of them at a time. The defaults apply if the configuration
/// states no token throughput.
struct AllocationParameters {
  /// A server gets another prompt while its pending prefill tokens and half of
  /// the new prompt do not exceed this. A server without pending prefill tokens
  /// gets a prompt of any length. Other requests wait at the allocator: engines
  /// admit requests in order of arrival, so a request that is queued at an
  /// engine can neither be reordered nor withdrawn.
  std::uint64_t MaxPendingPrefillTokens = 5000;
  /// The estimated prefill speed of one server.
  double PrefillTokensPerMs = 25;
  /// The cost of fetching cached prompt parts from another server.
  FetchCost Fetch;
  /// Whether the configuration states the engines' memory.
  bool StatesMemory = false;
};

/// Allocator features that tests and the simulator in `lab/` disable to measure
/// the effect of each. Production code enables all of them.
struct AllocatorOptions {
  /// Serve the smallest request of an account first, not the oldest.
  bool SmallestFirst = true;
  /// Fetch cached parts from other engines.
  bool FetchCached = true;
  /// Accounts that have received much less than others use any engine with
  /// capacity.
  bool UnderservedUseAnyServer = true;
  /// Refuse requests on arrival that would time out in the queue.
  bool RefuseLikelyTimeouts = true;
  /// A request whose cheapest engine has no room takes another engine if
  /// waiting would miss its latency objective or costs more than it saves
  /// (`choosePrefill`), and engines get only requests that fit their memory.
  /// Applies to services whose configuration states engine memory. A setting of
  /// the product, off by default.
  bool WeighCachedPrompts = false;
  /// A cached part that was not used for this time is not expected to be
  /// requested again, so evicting it costs nothing.
  Duration RereadInterval = std::chrono::seconds(6);
  PlacementWeights Weights;
};

/// How many servers of a group have free capacity, and why the others do not.
struct CapacitySummary {
  std::uint32_t Free = 0;
  /// All slots are occupied.
  std::uint32_t SlotsFull = 0;
  /// Too many prompt tokens are waiting for prefill.
  std::uint32_t PrefillFull = 0;
  /// The server has failed recently, is draining, or is in an evacuated
  /// availability zone.
  std::uint32_t Unusable = 0;
  /// The server is warming up, and has reached its warm-up limit or is owned by
  /// another allocator.
  std::uint32_t WarmingUp = 0;
};

/// Allocates servers to the requests of all routers, in groups (`ServerGroups`)
/// that are independent of each other. Requests wait here instead of at the
/// engines. Requests that can still meet their latency objective come before
/// late ones, and among them the client account that has received the least
/// comes first. Performs no I/O and has no clock of its own; the owner of an
/// allocator delivers its replies.
///
/// `Allocator.cpp` maintains the state from messages and time;
/// `AllocatorGrants.cpp` grants and refuses requests.
///
/// Any router can be the allocator of a group, and several routers may
/// consider themselves the allocator for some time. Each of them then fills the
/// servers on its own, which makes the servers busier than planned but violates
/// no guarantee.
class Allocator {
public:
  explicit Allocator(AllocatorOptions O = {});

  /// Servers are identified by the hashes of their identities (`hashName`) in
  /// all other functions.
  void setServers(const std::shared_ptr<const ServerList> &Listed,
                  const GatewayConfiguration *Configuration,
                  const ServerGroups &Groups, const ViewTime &Time = {});

  /// Sets the fleet's bounds for servers that are warming up, and the predicate
  /// that decides whether only this allocator may grant such a server. Takes
  /// effect with the next `setServers`.
  void setWarmUpPolicy(const WarmUpBounds &Bounds,
                       std::function<bool(std::uint64_t Server)> Owns) {
    this->Servers.setWarmUpBounds(Bounds);
    this->Servers.setWarmUpOwnership(std::move(Owns));
  }

  void handle(const RouterMessage &Message, TimePoint Now);

  /// Refuses requests that have waited too long, drops grants that are no
  /// longer reported, and grants requests that now fit. Called every few
  /// milliseconds.
  void tick(TimePoint Now);

  /// A response of this process of the server stated that it leaves, so that it
  /// is granted no more.
  void recordLeaving(std::uint64_t Server, std::int64_t StartedMs,
                     TimePoint Now) {
    this->Servers.recordLeaving(Server, StartedMs, Now);
  }

  /// This process of the server has crashed, so that it is not granted.
  void recordCrash(std::uint64_t Server, std::int64_t StartedMs,
                   TimePoint Now) {
    this->Servers.recordCrash(Server, StartedMs, Now);
  }

  /// Returns and clears the servers whose cache contents are unknown, since
  /// this allocator has not allocated them for some time.
  std::vector<std::uint64_t> takeUnknownCaches();
  /// Records the parts that a server reports as cached.
  void recordCached(std::uint64_t Server, const CachedParts &Reported) {
    this->Servers.recordCached(Server, Reported);
  }

  /// Returns and clears the replies to send.
  std::vector<RouterMessage> takeReplies();

  /// Returns and clears what became of the requests of each account in each
  /// group. Accounts are named as in the configuration.
  AccountCounts::Counts takeAccountCounts() {
    return this->CountsByAccount.takeRecent();
  }

  std::size_t queuedRequests() const { return this->QueuedRequests.size(); }
  std::size_t activeGrants() const { return this->ActiveGrants.size(); }
  CapacitySummary capacityOf(std::uint64_t Group, TimePoint Now) const;
  const ServerTable &serverTable() const { return this->Servers; }

private:
  struct QueuedRequest {
    AllocationRequest Request;
    TimePoint ArrivedAt{};
    TimePoint ObjectiveDeadline{};
    TimePoint WaitDeadline{};
    /// Whether the request can no longer meet its latency objective, now and
    /// when it arrived.
    bool Late = false;
    bool ArrivedLate = false;
    std::set<std::uint64_t> ExcludedServers;
    /// The server for which the request currently waits, and the prefill tokens
    /// that are counted there for it.
    std::uint64_t PlannedServer = 0;
    std::uint32_t PlannedTokens = 0;
    TimePoint PlannedAt{};
    std::uint64_t ArrivalNumber = 0;
  };

  struct ActiveGrant {
    std::uint64_t Server = 0;
    /// The server from which cached parts are fetched; 0 for none.
    std::uint64_t FetchSource = 0;
    AttemptLoad Load;
    TimePoint LastReported{};
    /// The parts of the prompt; empty if another allocator granted the request.
    std::vector<PromptPart> Parts{};
    /// As in the grant; 0 if the server is not warming up.
    std::uint32_t SendWithinMs = 0;
    TimePoint GrantedAt{};
  };

  struct AccountState {
    /// The tokens granted to the account (`usageOf`), in this group and, as far
    /// as routers tell, in the other groups of the service. Raised to the
    /// lowest value of the accounts that wait in the group when the account's
    /// queue becomes non-empty. The account with the lowest value is served
    /// first.
    double VirtualTime = 0;
    /// The same of this group alone.
    double GroupTime = 0;
    /// The waiting requests in the order of `sortKeyOf`: by their work for an
    /// engine in tokens, or by arrival if `SmallestFirst` is off. The smallest
    /// request is served first, which serves the most callers if not all can be
    /// served: in order of arrival, a few long prompts delay many short ones
    /// until these are late or refused. The order applies only within an
    /// account; the share of an account does not depend on the size of its
    /// requests.
    std::set<std::pair<double, CorrelationId>> Queue;
    /// Timeouts of requests that could meet their objective on arrival, and of
    /// requests that arrived late.
    RecentTimeouts Timeouts;
    RecentTimeouts LateTimeouts;

    RecentTimeouts &timeouts(bool Late) {
      return Late ? this->LateTimeouts : this->Timeouts;
    }
  };

  /// The group and the account.
  using AccountKey = std::pair<std::uint64_t, std::uint64_t>;

  void process(const AllocationRequest &Request, TimePoint Now);
  void process(const AllocationCancelled &Message, TimePoint Now);
  void process(const GrantStarted &Message, TimePoint Now);
  void process(const GrantEnded &Message, TimePoint Now);
  void process(const GrantActive &Message, TimePoint Now);
  /// Ignores messages that are not addressed to an allocator.
  template <typename Other> void process(const Other &, TimePoint) {}

  void dispatch(TimePoint Now);
  bool grantNext(std::uint64_t Group, TimePoint Now, bool Late);
  /// `AnyServer` permits any server with capacity, even if prefilling the
  /// prompt there costs more than waiting for the best server.
  bool tryGrant(QueuedRequest &Queued, TimePoint Now, bool AnyServer);
  /// Whether an account has received much less in its group than the one that
  /// has received the most there.
  bool isUnderserved(const AccountKey &Key, double MaxGroupTime) const;
  bool anyCapacity(std::uint64_t Group, TimePoint Now) const;
  bool hasCapacity(std::uint64_t Server, std::uint32_t PrefillTokens) const;
  bool hasFreeSlot(std::uint64_t Server) const;
  /// Whether the server has capacity and memory for the request.
  bool hasRoom(std::uint64_t Server, std::uint32_t PrefillTokens,
               const AllocationRequest &Request) const;
  bool weighsCachedPrompts(std::uint64_t Group) const {
    return this->Options.WeighCachedPrompts &&
           this->parametersOf(Group).StatesMemory;
  }
  /// The best server that has room now, if that is better than to wait for the
  /// cheapest one, which has none.
  struct Alternative {
    ServerChoice Choice;
    PrefillDecision Decision;
  };
  std::optional<Alternative> findAlternative(const QueuedRequest &Queued,
                                             const ServerChoice &Cheapest,
                                             PlacementQuery Query);
  void grant(const QueuedRequest &Queued, const ServerChoice &Choice,
             const PlacementQuery &Query,
             const std::optional<PrefillDecision> &Decision);
  /// `Reason` must be a string literal.
  void refuse(const AllocationRequest &Request, std::string_view Reason);
  void removeQueued(const CorrelationId &Id);
  /// Moves the request's tokens from its previously planned server to this one.
  void planFor(QueuedRequest &Queued, std::uint64_t Server,
               std::uint32_t Tokens);
  void expireQueued(TimePoint Now);
  void expireGrants(TimePoint Now);
  /// Marks the caches of the group's servers as unknown if this allocator has
  /// not allocated them recently.
  void checkCacheKnowledge(std::uint64_t Group, TimePoint Now);
  /// Drops grants to earlier processes of servers that have restarted.
  void dropGrantsOfEarlierProcesses();
  AllocationParameters parametersOf(std::uint64_t Group) const;
  /// The lowest value of this member of the accounts that wait in the group.
  double lowestOf(std::uint64_t Group, double AccountState::*Time) const;

  void updateAccountNames(const GatewayConfiguration &Configuration);
  /// The key of `CountsByAccount`: the group and the account.
  std::string countKey(const AllocationRequest &Request) const;

  /// The sort key of a request in its account's queue.
  double sortKeyOf(const QueuedRequest &Queued) const;

  AllocatorOptions Options;
  ServerTable Servers;
  std::map<std::uint64_t, AllocationParameters> Parameters;
  /// The group of each listed server.
  std::unordered_map<std::uint64_t, std::uint64_t> GroupOf;
  std::map<CorrelationId, QueuedRequest> QueuedRequests;
  std::map<CorrelationId, ActiveGrant> ActiveGrants;
  std::map<AccountKey, AccountState> Accounts;
  AccountCounts CountsByAccount;
  /// The names of the configuration's accounts by their hashes.
  std::unordered_map<std::uint64_t, std::string> AccountNames;
  std::int64_t NamesVersion = 0;
  /// The time of the last allocation request for each group.
  std::unordered_map<std::uint64_t, TimePoint> LastRequestAt;
  std::vector<std::uint64_t> UnknownCaches;
  /// The moving average of the time from a grant to its end, in milliseconds,
  /// for each group.
  std::unordered_map<std::uint64_t, double> GrantTimes;
  /// The number of queued requests for each group.
  std::map<std::uint64_t, std::size_t> QueuedCounts;
  std::vector<RouterMessage> Replies;
  TimePoint LastExpiry{};
  /// Numbers the requests in order of arrival.
  std::uint64_t LastArrivalNumber = 0;
};

} // namespace parsleywing

#endif
