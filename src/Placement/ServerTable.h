#ifndef PARSLEYWING_PLACEMENT_SERVERTABLE_H
#define PARSLEYWING_PLACEMENT_SERVERTABLE_H

#include "Placement/CacheModel.h"
#include "Placement/FleetView.h"
#include "Placement/PromptPart.h"
#include "Placement/ServerGroups.h"
#include "Placement/WarmUp.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// What it costs an engine to fetch a kept part of a prompt from another one,
/// in prompt tokens that it could read in the same time.
struct FetchCost {
  /// For each fetched token; none where engines cannot or should not fetch.
  std::optional<double> PerToken;
  /// For each fetch.
  std::uint32_t Fixed = 0;
};

/// The cost of fetching where a token is read at this speed. None where the way
/// between the engines is so slow that reading again is as good.
FetchCost fetchCostOf(const GatewayService &Service, double ReadPerMs);

/// What speaks against a server beside the work ahead of it, all in prompt
/// tokens to read. Tests and the lab vary them; the product uses these.
struct PlacementWeights {
  /// Of a token that another server keeps and this one reads again: it is time
  /// of the engine that others would use, and it drives other parts out of the
  /// cache. Weights of 0, 1, 2 and 4 gave re-read shares of 18, 12, 9 and 7 %
  /// of all prompt tokens on a moderate day without fetches; above 3 the queues
  /// at the keeping server cost more than is saved.
  double DuplicatePrefill = 3;
  /// Of a prompt token where all slots are taken. An engine whose slots are
  /// full of streams cannot read, so its reading stands idle while prompts wait
  /// elsewhere: prompts go where slots are left. In the lab 0.84 against 0.75
  /// of the worth on `overloaded-reviews`, 0.66 against 0.61 on `flood`; on the
  /// fleet's load 0.683 against 0.675 and 0.730 against 0.725. A weight by the
  /// tokens that running requests may still generate gave 0.71 on the first and
  /// 0.68 on the second: it left engines without prompts while reviews were
  /// refused.
  double OccupiedSlots = 100;
  /// Of a token to generate, in prompt tokens, where the engine reads all the
  /// time: each reading step holds up the streams beside it.
  double PrefillInterference = 20;
  /// What a server that is not the first of a part's rendezvous order has to be
  /// better by, as a part of the shared tokens that nobody is known to keep.
  double NonHomeServer = 0.5;
};

/// What has to be placed. Names are hashes (`hashName`).
struct PlacementQuery {
  std::uint64_t Service = 0;
  std::uint64_t Zone = 0;
  const std::vector<PromptPart> *Parts = nullptr;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  /// What one server of the service reads in a second; 0 where it is unknown.
  double PrefillTokensPerSecond = 0;
  FetchCost Fetch;
  PlacementWeights Weights;
  /// Servers that are not to be used again for this request.
  const std::set<std::uint64_t> *ExcludedServers = nullptr;
  /// Where given, servers are taken by their rendezvous order for this number
  /// in place of the work ahead of them.
  std::optional<std::uint32_t> SpreadKey{};
  /// Where given, only servers with room for this many unread tokens more.
  std::function<bool(std::uint64_t Server, std::uint32_t Unread)> HasCapacity;
  TimePoint Now;
};

/// What a request is for its server.
struct AttemptLoad {
  /// Prompt tokens that it has to read; 0 once it has.
  std::uint32_t PrefillTokens = 0;
  /// Tokens that it may generate.
  std::uint32_t OutputTokens = 0;
  /// The start of the server's process that it was sent to.
  std::int64_t ServerStartedMs = 0;
};

/// A server for a request, and the work that the request is for it.
struct ServerChoice {
  std::uint64_t Server = 0;
  /// Prompt tokens that the server will have to read.
  std::uint32_t PrefillTokens = 0;
  /// The work ahead of it, in prompt tokens.
  std::uint32_t BacklogTokens = 0;
  /// The server to fetch the kept start of the prompt from; 0 for none.
  std::uint64_t FetchSource = 0;
};

/// How a send to a server went, as far as the server's soundness is concerned.
enum class ServerVerdict : std::uint8_t {
  Healthy,     ///< It answered.
  Failed,      ///< It answered with an error, or broke off.
  Full,        ///< It refused without running.
  Unreachable, ///< No connection came about.
  Silent,      ///< Nothing came within the limit.
};

inline constexpr EnumNames<ServerVerdict, 5> ServerVerdictNames{{
    {ServerVerdict::Healthy, "sound"},
    {ServerVerdict::Failed, "failed"},
    {ServerVerdict::Full, "full"},
    {ServerVerdict::Unreachable, "unreachable"},
    {ServerVerdict::Silent, "silent"},
}};

/// One moment on the clock of the caller of a `ServerBook`, and on the one that
/// counts suspended time, by which the fleet's view is dated.
struct ViewTime {
  TimePoint Now{};
  TimePoint SinceBoot{};
};

/// What is known of the load and soundness of each server, and where the next
/// request goes. Makes no calls and has no clock of its own. A router keeps one
/// for what it sends itself, and one for the servers that it allocates.
///
/// A request goes where it is read soonest: the prompt tokens that wait there
/// and those of its own that the server does not keep. Parts that no server
/// keeps go to the first server of their rendezvous order, so that routers
/// which know nothing of each other agree.
class ServerTable {
public:
  /// Takes the servers and what their services state; forgets those that are
  /// gone.
  /// `Groups`: servers are asked for by their group in place of their service.
  void setServers(std::shared_ptr<const ServerList> Servers,
                  const GatewayConfiguration *Stated,
                  const ServerGroups *Groups = nullptr,
                  const ViewTime &At = {});

  /// What the fleet may send to servers that warm up. Before `setServers`.
  void setWarmUpBounds(const WarmUpBounds &Bounds) {
    this->FleetWarmUpBounds = Bounds;
  }
  /// Says of a server that warms up whether this book alone grants it. Where
  /// nothing is given, such servers are not used.
  void setWarmUpOwnership(std::function<bool(std::uint64_t Server)> MayGrant) {
    this->OwnsWarmUp = std::move(MayGrant);
  }
  bool isWarmingUp(std::uint64_t Server, TimePoint Now) const;
  /// Servers that warm up, and the requests a second that those of them bear
  /// which this book grants.
  struct WarmUpTotals {
    std::uint32_t Servers = 0;
    double GrantedPerSecond = 0;
  };
  WarmUpTotals warmUpTotals(TimePoint Now) const;

  std::optional<ServerChoice> place(const PlacementQuery &Asked);

  /// A request was sent; its prompt is unread until `noteRead`.
  void recordSent(std::uint64_t Server, const AttemptLoad &Work,
                  const std::vector<PromptPart> &Parts, TimePoint Now);
  /// The first piece of the answer came: the prompt has been read.
  void recordPrefilled(std::uint64_t Server, const AttemptLoad &Work,
                       const std::vector<PromptPart> &Parts);
  /// The send ended. `Work` as sent, with nothing unread after `noteRead`. The
  /// end of a send to an earlier process of the server says nothing of the
  /// present one.
  void recordEnded(std::uint64_t Server, const AttemptLoad &Work,
                   const std::vector<PromptPart> &Parts, ServerVerdict Verdict,
                   TimePoint Now);
  void recordActivity(std::uint64_t Server, TimePoint Now);

  /// The server has told what it keeps.
  void recordCached(std::uint64_t Server, const CachedParts &Told);

  /// Whether anything came from the server after this moment.
  bool activeSince(std::uint64_t Server, TimePoint Moment) const;

  /// Requests that this book has at the server.
  std::uint32_t running(std::uint64_t Server) const;
  std::uint64_t pendingPrefillTokens(std::uint64_t Server) const;
  /// The newest start of the server's process that is known.
  std::int64_t startOf(std::uint64_t Server) const;
  /// The server's process has started at this moment: what was believed of an
  /// earlier one is void. An earlier start is an old word and changes nothing.
  void recordStart(std::uint64_t Server, std::int64_t StartedMs);

  /// Whether requests may be sent there now.
  bool usable(std::uint64_t Server, TimePoint Now) const;
  /// The same for a request that was granted by whoever alone may grant a
  /// server that warms up.
  bool usableIfGranted(std::uint64_t Server, TimePoint Now) const;

  /// The server of this hash; null where it is not in force.
  const GatewayServer *find(std::uint64_t Server) const;

  /// Servers of a service (or group) that take requests.
  std::uint32_t serverCount(std::uint64_t Service) const;

  /// Whether one of its servers may be used now and has this property.
  template <typename Test>
  bool anyUsable(std::uint64_t Service, TimePoint Now, Test Wanted) const {
    const auto Found = this->ByService.find(Service);
    if (Found == this->ByService.end())
      return false;
    for (const auto &[Hash, Known] : Found->second)
      if (this->acceptsRequests(*Known) &&
          this->isAvailable(Hash, *Known, Now) && Wanted(Hash))
        return true;
    return false;
  }

  /// Tokens of a queue whose requests are meant for the server; counted as if
  /// they had been sent.
  void addQueuedTokens(std::uint64_t Server, std::int64_t Tokens);

  const ServerList &servers() const { return *this->ActiveServers; }

  /// Whether silence of a server with requests counts against it. Only the
  /// router that reads the answers can tell.
  void setSilenceDetection(bool Judge) { this->DetectsSilence = Judge; }

private:
  struct ServerEntry {
    const GatewayServer *Server = nullptr;
    std::uint64_t Service = 0;
    std::uint64_t Zone = 0;
    std::int64_t StartedMs = 0;
    std::uint32_t Running = 0;
    std::uint64_t PendingPrefillTokens = 0;
    /// Tokens to read that were sent lately, decaying, and when that was so.
    double RecentPrefillTokens = 0;
    TimePoint RecentPrefillAt{};
    std::int64_t QueuedTokens = 0;
    std::uint32_t ConsecutiveFailures = 0;
    TimePoint BackoffUntil{};
    TimePoint LastActivity{};
    TimePoint LastSent{};
    CacheModel Cache;
    TimePoint WarmUpEndsAt{};
    /// It has started anew, and no entry of its new process is known yet.
    bool RestartUnlisted = false;
    WarmUpLimiter SendLimiter;
  };

  bool acceptsRequests(const ServerEntry &Known) const {
    return Known.Server != nullptr && Known.Server->acceptsRequests();
  }
  static bool isWarmingUp(const ServerEntry &Known, TimePoint Now) {
    return Known.SendLimiter.isLimited() &&
           (Known.RestartUnlisted || Now < Known.WarmUpEndsAt);
  }
  /// Sound, and not held back while it warms up.
  bool isAvailable(std::uint64_t Server, const ServerEntry &Known,
                   TimePoint Now) const;
  bool isHealthy(const ServerEntry &Known, TimePoint Now) const;
  static std::uint64_t backlogOf(const ServerEntry &Known);
  static double recentPrefillAt(const ServerEntry &Known, TimePoint Now);
  /// What the request and those that run there would hold each other up by, in
  /// prompt tokens.
  static double interference(const ServerEntry &Known,
                             const PlacementQuery &Asked, std::uint64_t Unread);
  const ServerEntry *findEntry(std::uint64_t Server) const;

  /// Who keeps how much of a prompt.
  struct CacheLocations {
    /// The first server of the shared part's rendezvous order.
    std::uint64_t HomeServer = 0;
    bool SharedIsCached = false;
    std::uint64_t MaxCachedTokens = 0;
    /// The server that can be fetched from and has read most of it; 0 for none.
    std::uint64_t FetchSource = 0;
    std::uint64_t FetchableTokens = 0;
  };
  /// A server for a request, and all that speaks against it.
  struct Candidate {
    ServerChoice Choice;
    std::uint64_t Cost = 0;
  };
  static Candidate makeCandidate(std::uint64_t Hash, const ServerEntry &Server,
                                 const PlacementQuery &Asked,
                                 const CacheLocations &Known);
  CacheLocations findCached(const PlacementQuery &Asked,
                            const PromptPart &Shared) const;

  std::shared_ptr<const ServerList> ActiveServers =
      std::make_shared<ServerList>();
  /// Ordered, so that equal choices fall alike in every process.
  std::map<std::uint64_t, ServerEntry> Entries;
  /// The servers in force by their service (or group).
  std::unordered_map<std::uint64_t,
                     std::vector<std::pair<std::uint64_t, ServerEntry *>>>
      ByService;
  bool DetectsSilence = true;
  WarmUpBounds FleetWarmUpBounds;
  std::function<bool(std::uint64_t)> OwnsWarmUp;
};

} // namespace parsleywing

#endif
