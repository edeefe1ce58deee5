#ifndef PARSLEYWING_PLACEMENT_SERVERTABLE_H
#define PARSLEYWING_PLACEMENT_SERVERTABLE_H

#include "Placement/CacheModel.h"
#include "Placement/EngineMemory.h"
#include "Placement/FleetView.h"
#include "Placement/PrefillChoice.h"
#include "Placement/PromptPart.h"
#include "Placement/ServerGroups.h"
#include "Placement/SoftwareId.h"
#include "Placement/WarmUp.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// The cost for an engine to fetch a cached part of a prompt from another
/// engine, in prompt tokens that it could prefill in the same time.
struct FetchCost {
  /// Per fetched token; empty if engines cannot or should not fetch.
  std::optional<double> PerToken;
  /// Per fetch.
  std::uint32_t Fixed = 0;
  /// The rate of one transfer on an engine's link; 0 if unknown.
  double TokensPerMs = 0;
};

/// The fetch cost in a service whose engines prefill `PrefillTokensPerMs`. The
/// cost per token is empty if the service's engines cannot fetch, or if the
/// link is so slow that fetching would cost more than half of prefilling again
/// (`MaxFetchCostPerToken`).
FetchCost fetchCostOf(const GatewayService &Service, double PrefillTokensPerMs);

/// The weights of a server's placement cost beside its backlog, all in prompt
/// tokens to prefill. Only tests and the simulator in `lab/` vary them.
struct PlacementWeights {
  /// Per token that is cached at another server and would be prefilled again
  /// here: this takes engine time from other requests and evicts other parts
  /// from the cache. Higher values lengthen the queues at servers with cached
  /// parts; above 3, this costs more than is saved.
  double DuplicatePrefill = 3;
  /// Per prompt token at a server with all slots occupied; fewer occupied slots
  /// weigh less. An engine whose slots are full of streams cannot prefill, and
  /// its prefill capacity is idle while prompts wait elsewhere. Prompts
  /// therefore go to servers with free slots. The cost depends on the number of
  /// occupied slots, and not on the tokens that running requests may still
  /// generate: a cost by these tokens leaves engines without prompts while
  /// requests are refused.
  double OccupiedSlots = 100;
  /// Per token to generate at an engine that prefills all the time, since each
  /// prefill step delays the streams that run beside it.
  double PrefillInterference = 20;
  /// The advantage that a server needs over the home server (the first in the
  /// rendezvous order of the shared part), as a fraction of the shared tokens.
  /// Applies only while no server has the shared part cached.
  double NonHomeServer = 0.5;
};

/// A request for which to choose a server. Zones and servers are identified by
/// the hashes of their names (`hashName`).
struct PlacementQuery {
  /// The group of servers (`ServerGroups`) for the request. It is the hash of
  /// the service if the service has only one group, or if the table was set
  /// without groups.
  std::uint64_t Group = 0;
  std::uint64_t Zone = 0;
  const std::vector<PromptPart> *Parts = nullptr;
  std::uint32_t PromptTokens = 0;
  /// The maximum number of tokens that may be generated.
  std::uint32_t MaxOutputTokens = 0;
  /// The prefill speed of one server of the group; 0 if unknown.
  double PrefillTokensPerSecond = 0;
  FetchCost Fetch;
  PlacementWeights Weights;
  /// Servers that must not be used again for this request.
  const std::set<std::uint64_t> *ExcludedServers = nullptr;
  /// If set, only servers with this software are chosen.
  std::optional<SoftwareId> Software{};
  /// If set, the server is chosen by rendezvous hashing with this key instead
  /// of by cost.
  std::optional<std::uint32_t> SpreadKey{};
  /// If set, only servers with capacity for this many more prefill tokens are
  /// chosen.
  std::function<bool(std::uint64_t Server, std::uint32_t PrefillTokens)>
      HasCapacity;
  TimePoint Now;
};

/// The load that an attempt puts on its server.
struct AttemptLoad {
  /// Prompt tokens still to prefill; 0 once the prompt is prefilled.
  std::uint32_t PrefillTokens = 0;
  /// The maximum number of tokens to generate.
  std::uint32_t MaxOutputTokens = 0;
  /// When the server process that received the request started.
  std::int64_t ServerStartedMs = 0;
  /// All tokens of the prompt, as far as they are known. Needed only if the
  /// table tracks the engines' memory.
  std::uint32_t PromptTokens = 0;
};

/// The server chosen for a request, and the resulting load.
struct ServerChoice {
  std::uint64_t Server = 0;
  /// Prompt tokens that the server will have to prefill for the request.
  std::uint32_t PrefillTokens = 0;
  /// The estimated work ahead of the request at the server, in prompt tokens:
  /// the pending prefill, and a fixed cost for each running request.
  std::uint32_t BacklogTokens = 0;
  /// The server from which to fetch the cached prefix of the prompt; 0 for
  /// none.
  std::uint64_t FetchSource = 0;
  /// The tokens to fetch from there.
  std::uint32_t FetchTokens = 0;
  /// Prompt tokens that the server prefills although another one has them
  /// cached or prefills them.
  std::uint32_t DuplicateTokens = 0;
};

/// What the result of an attempt says about the health of its server.
enum class ServerVerdict : std::uint8_t {
  Healthy,     ///< The server responded.
  Failed,      ///< The server responded with an error or broke the response.
  Full,        ///< The server refused the request without running it.
  Unreachable, ///< No connection could be established.
  Silent,      ///< Nothing was received within the time limit.
};

inline constexpr EnumNames<ServerVerdict, 5> ServerVerdictNames{{
    {ServerVerdict::Healthy, "sound"},
    {ServerVerdict::Failed, "failed"},
    {ServerVerdict::Full, "full"},
    {ServerVerdict::Unreachable, "unreachable"},
    {ServerVerdict::Silent, "silent"},
}};

/// One point in time on two clocks: the one that the router uses with a
/// `ServerTable`, and the one that includes suspended time, which the fleet
/// view uses.
struct ViewTime {
  TimePoint Now{};
  TimePoint SinceBoot{};
};

/// Tracks the load and health of each server, and chooses servers for requests.
/// Servers are identified by the hashes of their identities (`hashName`).
/// Performs no I/O and has no clock of its own. A router has one table for the
/// requests that it sends itself, and one for the servers that it allocates.
///
/// A request is placed where its prompt is prefilled soonest: the cost includes
/// the prompt tokens that wait at the server and those of the request that the
/// server has not cached. A prompt part that no server is expected to have
/// cached preferably goes to the first server in the part's rendezvous order,
/// so that independent routers agree.
class ServerTable {
public:
  /// Replaces the list of servers and the settings of their services, and drops
  /// the state of servers that are no longer listed. If `Groups` is set,
  /// servers are looked up by their group instead of their service.
  void setServers(std::shared_ptr<const ServerList> Servers,
                  const GatewayConfiguration *Configuration,
                  const ServerGroups *Groups = nullptr,
                  const ViewTime &Time = {});

  /// Sets the fleet's bounds for servers that are warming up. Takes effect with
  /// the next `setServers`.
  void setWarmUpBounds(const WarmUpBounds &Bounds) {
    this->FleetWarmUpBounds = Bounds;
  }
  /// Sets the predicate that decides whether this router alone may grant a
  /// server that is warming up. Without it, such servers are not used.
  void setWarmUpOwnership(std::function<bool(std::uint64_t Server)> Owns) {
    this->OwnsWarmUp = std::move(Owns);
  }

  /// Tracks the memory of engines whose service states its size: what running
  /// requests leave is assumed to be available for cached parts, instead of a
  /// fixed fraction. Takes effect for requests that are sent afterwards.
  void trackMemory() { this->TracksMemory = true; }
  /// Whether the engine's memory has room for the request beside the running
  /// ones. True if the memory is not tracked or its size is not stated.
  bool canHold(std::uint64_t Server, const MemoryDemand &Demand) const;
  /// Records that another engine fetches these cached tokens from the server.
  /// Transfers from one server take place one after another.
  void recordFetch(std::uint64_t Source, std::uint32_t Tokens,
                   const FetchCost &Cost, TimePoint Now);
  /// Describes the choice for an estimate. `InUseSince` is as in
  /// `CacheModel::evictedInUse`.
  PrefillOption prefillOption(const ServerChoice &Choice,
                              const PlacementQuery &Query,
                              TimePoint InUseSince) const;

  bool isWarmingUp(std::uint64_t Server, TimePoint Now) const;
  /// The number of servers that are warming up, and the total rate permitted
  /// for those that this router owns.
  struct WarmUpTotals {
    std::uint32_t Servers = 0;
    double GrantedPerSecond = 0;
  };
  WarmUpTotals warmUpTotals(TimePoint Now) const;

  /// Chooses the server with the lowest cost; empty if none is available.
  std::optional<ServerChoice> place(const PlacementQuery &Query);

  /// Records an attempt that was sent. Its prompt counts as pending until
  /// `recordPrefilled`.
  void recordSent(std::uint64_t Server, const AttemptLoad &Load,
                  const std::vector<PromptPart> &Parts, TimePoint Now);
  /// Records the first chunk of the response: the prompt has been prefilled.
  void recordPrefilled(std::uint64_t Server, const AttemptLoad &Load,
                       const std::vector<PromptPart> &Parts);
  /// Records the end of an attempt. `Load` is as sent, but without prefill
  /// tokens after `recordPrefilled`. Attempts at an earlier process of the
  /// server are ignored, since they say nothing about the current one.
  void recordEnded(std::uint64_t Server, const AttemptLoad &Load,
                   const std::vector<PromptPart> &Parts, ServerVerdict Verdict,
                   TimePoint Now);
  /// Records that an attempt that was recorded as sent was not made. It says
  /// nothing about the server.
  void recordReturned(std::uint64_t Server, const AttemptLoad &Load);
  /// Records that data was received from the server.
  void recordReceived(std::uint64_t Server, TimePoint Now);

  /// Records the parts that the server reports as cached.
  void recordCached(std::uint64_t Server, const CachedParts &Reported);

  /// Whether anything was received from the server after this time.
  bool receivedSince(std::uint64_t Server, TimePoint Time) const;

  /// The number of requests in progress at the server.
  std::uint32_t running(std::uint64_t Server) const;
  std::uint64_t pendingPrefillTokens(std::uint64_t Server) const;
  /// Records that a response of this process of the server stated that it
  /// leaves. No list of servers undoes this, only a later process start.
  /// Returns whether it is news.
  bool recordLeaving(std::uint64_t Server, std::int64_t StartedMs,
                     TimePoint Now);
  /// Records that this process of the server wants no requests from this router
  /// until then. A pause is never shortened. Returns whether it is news.
  bool recordPause(std::uint64_t Server, std::int64_t StartedMs,
                   TimePoint Until);
  /// Records that this process of the server has crashed. The server is not
  /// used for some seconds, until it starts again or sends something.
  void recordCrash(std::uint64_t Server, std::int64_t StartedMs, TimePoint Now);
  /// Whether the server's own responses forbid to send requests to it.
  bool isAvoided(std::uint64_t Server, TimePoint Now) const;
  /// The listed servers of the service that are avoided.
  std::vector<std::uint64_t> avoidedServers(std::uint64_t Service,
                                            TimePoint Now) const;
  /// Whether a listed server of the group accepts requests, healthy or not, and
  /// is not excluded. In this and the next functions, only servers with the
  /// given software count if one is given.
  bool anyAccepts(std::uint64_t Group, const std::set<std::uint64_t> &Excluded,
                  TimePoint Now,
                  std::optional<SoftwareId> Software = std::nullopt) const;
  /// Whether no request can be sent to the group because its servers forbid it:
  /// none accepts requests and is not excluded, and at least one is avoided.
  bool isUnavailable(std::uint64_t Group,
                     const std::set<std::uint64_t> &Excluded, TimePoint Now,
                     std::optional<SoftwareId> Software = std::nullopt) const;
  /// When the first pause of a server of the group ends that is neither leaving
  /// nor draining; empty if none is paused.
  std::optional<TimePoint>
  firstPauseEnd(std::uint64_t Group, TimePoint Now,
                std::optional<SoftwareId> Software = std::nullopt) const;
  /// Whether a server of the group with this software accepts requests and is
  /// not excluded, paused or not.
  bool anyOfSoftware(std::uint64_t Group, SoftwareId Software,
                     const std::set<std::uint64_t> &Excluded = {}) const;
  /// The listed servers of the group with other software.
  std::vector<std::uint64_t> serversOfOtherSoftware(std::uint64_t Group,
                                                    SoftwareId Software) const;
  /// The software of all listed servers of the group.
  std::set<SoftwareId> softwareOfGroup(std::uint64_t Group) const;
  /// The end of the server's pause; in the past if it has none.
  TimePoint pausedUntil(std::uint64_t Server) const;
  /// The number of listed servers that are paused.
  std::size_t pausedCount(TimePoint Now) const;
  /// Whether a response of the server's process stated that it leaves.
  bool isLeaving(std::uint64_t Server) const;
  /// The number of listed servers for which this holds.
  std::size_t leavingCount() const;

  /// The latest known start of the server's process.
  std::int64_t startOf(std::uint64_t Server) const;
  /// Records the start of the server's process, and resets the state of an
  /// earlier process. A start before the latest known one is outdated
  /// information and is ignored.
  void recordStart(std::uint64_t Server, std::int64_t StartedMs);

  /// Whether requests may be sent to the server now.
  bool usable(std::uint64_t Server, TimePoint Now) const;
  /// Like `usable`, but without the warm-up limit: for a request with a grant
  /// from the allocator that owns the server, which has checked the limit.
  bool usableIfGranted(std::uint64_t Server, TimePoint Now) const;

  /// The software of the server's process, as far as it is known.
  SoftwareId softwareAt(std::uint64_t Server) const;

  /// The server with this hash; null if it is not listed.
  const GatewayServer *find(std::uint64_t Server) const;

  /// The number of servers of the group that accept requests.
  std::uint32_t serverCount(std::uint64_t Group) const;

  /// Whether the predicate holds for a server of the group that is usable now.
  template <typename Predicate>
  bool anyUsable(std::uint64_t Group, TimePoint Now, Predicate Matches) const {
    const auto Found = this->ByGroup.find(Group);
    if (Found == this->ByGroup.end())
      return false;
    for (const auto &[Hash, Entry] : Found->second)
      if (this->acceptsRequests(*Entry) &&
          this->isAvailable(Hash, *Entry, Now) && Matches(Hash))
        return true;
    return false;
  }

  /// Adds the prefill tokens of a request that waits at the allocator and is
  /// planned for the server. They count as if the request had been sent.
  void addPlannedTokens(std::uint64_t Server, std::int64_t Tokens);

  const ServerList &servers() const { return *this->ListedServers; }

  /// Whether a server that has requests but sends nothing counts as unhealthy.
  /// Only the router that receives the responses can decide this.
  void setSilenceDetection(bool Enabled) { this->DetectsSilence = Enabled; }

private:
  struct ServerEntry {
    /// The server's entry in the list; null if it is not listed.
    const GatewayServer *Listing = nullptr;
    std::uint64_t Group = 0;
    std::uint64_t Zone = 0;
    SoftwareId Software{};
    std::int64_t StartedMs = 0;
    std::uint32_t Running = 0;
    std::uint64_t PendingPrefillTokens = 0;
    /// Exponentially decaying sum of the prefill tokens that were sent, as of
    /// `RecentPrefillUpdatedAt`.
    double RecentPrefillTokens = 0;
    TimePoint RecentPrefillUpdatedAt{};
    /// See `addPlannedTokens`.
    std::int64_t PlannedTokens = 0;
    std::uint32_t ConsecutiveFailures = 0;
    TimePoint BackoffUntil{};
    TimePoint LastReceivedAt{};
    TimePoint LastSentAt{};
    CacheModel Cache;
    /// The size of the engine's memory in tokens; 0 if it is not stated.
    std::uint64_t KvCapacityTokens = 0;
    EngineMemory Memory;
    /// When the transfers end that other engines fetch from this one.
    TimePoint LinkFreeAt{};
    TimePoint WarmUpEndsAt{};
    /// The process has restarted, and the list does not have the new process
    /// yet.
    bool RestartUnlisted = false;
    WarmUpLimiter SendLimiter;
    /// When a response of the process first stated that the server leaves.
    std::optional<TimePoint> LeavingSince{};
    /// Until then the server wants no requests from this router. Unlike
    /// `BackoffUntil`, no success ends it.
    TimePoint PausedUntil{};
    /// Until then the process is taken to have crashed.
    TimePoint CrashedUntil{};
  };

  static bool matches(const ServerEntry &Entry,
                      std::optional<SoftwareId> Software) {
    return !Software || Entry.Software == *Software;
  }
  bool acceptsRequests(const ServerEntry &Entry) const {
    return Entry.Listing != nullptr && Entry.Listing->acceptsRequests() &&
           !Entry.LeavingSince;
  }
  static bool isWarmingUp(const ServerEntry &Entry, TimePoint Now) {
    return Entry.SendLimiter.isLimited() &&
           (Entry.RestartUnlisted || Now < Entry.WarmUpEndsAt);
  }
  /// Healthy, and not held back by the warm-up limit.
  bool isAvailable(std::uint64_t Server, const ServerEntry &Entry,
                   TimePoint Now) const;
  bool isHealthy(const ServerEntry &Entry, TimePoint Now) const;
  bool tracksMemoryOf(const ServerEntry &Entry) const {
    return this->TracksMemory && Entry.KvCapacityTokens > 0;
  }
  /// Sets the cache's capacity to what the running requests leave.
  static void updateCacheCapacity(ServerEntry &Entry);
  static std::uint64_t backlogOf(const ServerEntry &Entry);
  /// `RecentPrefillTokens` at this time.
  static double recentPrefillTokens(const ServerEntry &Entry, TimePoint Now);
  /// The cost of the delay that the request and the requests that run at the
  /// server would cause each other, in prompt tokens.
  static double contentionCost(const ServerEntry &Entry,
                               const PlacementQuery &Query,
                               std::uint64_t PrefillTokens);
  const ServerEntry *findEntry(std::uint64_t Server) const;
  /// Whether an entry must be kept although its server is not listed.
  static bool isKeptUnlisted(const ServerEntry &Entry, TimePoint Now);

  /// Which servers have parts of a prompt cached, or will have after the
  /// requests that were sent to them.
  struct CacheLocations {
    /// The first server in the rendezvous order of the shared part.
    std::uint64_t HomeServer = 0;
    /// Whether a server is expected to have the shared part cached.
    bool SharedIsExpected = false;
    /// The longest prefix of the prompt that a server is expected to have
    /// cached.
    std::uint64_t MaxExpectedTokens = 0;
    /// The healthy server with the longest prefilled prefix of the prompt; 0
    /// for none.
    std::uint64_t FetchSource = 0;
    std::uint64_t FetchableTokens = 0;
    /// When the earlier transfers from the source end.
    TimePoint LinkFreeAt{};
  };
  /// A server for a request, and its total placement cost.
  struct Candidate {
    ServerChoice Choice;
    std::uint64_t Cost = 0;
  };
  static Candidate makeCandidate(std::uint64_t Hash, const ServerEntry &Entry,
                                 const PlacementQuery &Query,
                                 const CacheLocations &Locations);
  CacheLocations locateParts(const PlacementQuery &Query,
                             const PromptPart &Shared) const;

  std::shared_ptr<const ServerList> ListedServers =
      std::make_shared<ServerList>();
  /// Ordered, so that ties are broken in the same way in every process.
  std::map<std::uint64_t, ServerEntry> Entries;
  /// The listed servers by group.
  std::unordered_map<std::uint64_t,
                     std::vector<std::pair<std::uint64_t, ServerEntry *>>>
      ByGroup;
  /// Servers whose responses stated that they leave or want a pause. May
  /// contain servers that have restarted, or whose pause has ended, since.
  std::set<std::uint64_t> Signalled;
  bool DetectsSilence = true;
  bool TracksMemory = false;
  WarmUpBounds FleetWarmUpBounds;
  std::function<bool(std::uint64_t)> OwnsWarmUp;
};

} // namespace parsleywing

#endif
