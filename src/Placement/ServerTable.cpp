#include "Placement/ServerTable.h"

#include "Runtime/Id.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace parsleywing {

namespace {

/// What a running request costs the next one, in prompt tokens to read. Breaks
/// ties towards the server with fewer streams; a token of a stream takes a
/// thousandth of a step's time beside the others.
constexpr std::uint64_t RunningCost = 40;

/// What the way to another zone costs, in prompt tokens to read: some
/// milliseconds for the connection and the bytes, a few hundred tokens' worth.
constexpr std::uint64_t OtherZoneCost = 150;

/// Slots that are taken count by this power: the first half hardly at all, the
/// last few much.
constexpr double TakenSlotsPower = 4;

/// The time over which an engine's reading is averaged.
constexpr double ReadingSeconds = 2;

/// The part of an engine's memory that is taken to be free for its cache. The
/// rest holds running requests.
constexpr double CachePart = 0.6;
/// Where an engine's memory is not stated.
constexpr std::uint64_t UnstatedCacheTokens = 100'000;

/// How long a failed server is left alone: doubled with each failure in a row.
constexpr Duration FirstPause = std::chrono::milliseconds(250);
constexpr Duration LongestPause = std::chrono::seconds(4);
constexpr std::uint32_t MaxDoublings = 5;
/// Failures in a row before a server that does answer is left alone. A sound
/// server answers some requests with an error of its own.
constexpr std::uint32_t FailuresBeforePause = 3;

/// A server that holds requests of this router and has sent nothing for so
/// long is taken to be unreachable until it is heard again.
constexpr Duration SilenceLimit = std::chrono::milliseconds(700);

/// What a fetched token weighs beside the time that it takes on a link: it
/// takes both engines' links, waits behind other transfers, and takes memory at
/// a second engine.
constexpr double FetchWeight = 5;

/// Finding a source and the first bytes take some milliseconds, 5 and 2 on the
/// engines so far.
constexpr double FetchSetupMs = 5;

/// A token that costs more than this part of reading it again is read: the
/// estimate of a transfer behind others is not better than that.
constexpr double MostFetchPart = 0.5;

Duration pauseAfter(std::uint32_t Failures) {
  const std::uint32_t Doublings = std::min(Failures, MaxDoublings);
  return std::min(FirstPause * (1U << Doublings), LongestPause);
}

std::uint64_t sharedTokens(const PlacementQuery &Asked) {
  std::uint64_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Asked.Parts->size(); ++I)
    Tokens += (*Asked.Parts)[I].Tokens;
  return Tokens;
}

/// What fetching these tokens costs; nothing where reading them again is
/// cheaper.
std::optional<std::uint64_t> fetchingCost(const FetchCost &Cost,
                                          std::uint64_t Tokens) {
  if (Tokens == 0 || !Cost.PerToken)
    return std::nullopt;
  const auto Whole =
      Cost.Fixed +
      static_cast<std::uint64_t>(*Cost.PerToken * static_cast<double>(Tokens));
  return Whole < Tokens ? std::optional(Whole) : std::nullopt;
}

std::uint32_t narrowed(std::uint64_t Tokens) {
  constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Tokens, Most));
}

} // namespace

FetchCost fetchCostOf(const GatewayService &Service, double ReadPerMs) {
  FetchCost Cost;
  if (Service.KvBytesPerToken <= 0 || Service.LinkBytesPerMs <= 0)
    return Cost;
  const double TokensPerMs = Service.LinkBytesPerMs / Service.KvBytesPerToken;
  const double PerToken = FetchWeight * ReadPerMs / TokensPerMs;
  if (PerToken > MostFetchPart)
    return Cost;
  Cost.PerToken = PerToken;
  Cost.Fixed = static_cast<std::uint32_t>(FetchSetupMs * ReadPerMs);
  return Cost;
}

void ServerTable::setServers(std::shared_ptr<const ServerList> Servers,
                             const GatewayConfiguration *Stated,
                             const ServerGroups *Groups, const ViewTime &At) {
  this->ActiveServers = std::move(Servers);
  this->ByService.clear();
  for (auto &[Hash, Known] : this->Entries)
    Known.Server = nullptr;
  for (const auto &[Id, Server] : *this->ActiveServers) {
    this->recordStart(hashName(Id), Server.StartedMs);
    ServerEntry &Known = this->Entries[hashName(Id)];
    Known.Server = &Server;
    Known.Service = Groups == nullptr
                        ? hashName(Server.Service)
                        : Groups->groupOfServer(Id, Server.Service);
    this->ByService[Known.Service].emplace_back(hashName(Id), &Known);
    Known.Zone = hashName(Server.Zone);
    std::uint64_t Tokens = UnstatedCacheTokens;
    WarmUpLimiter Limit;
    if (Stated != nullptr)
      if (const auto Found = Stated->Services.find(Server.Service);
          Found != Stated->Services.end()) {
        if (Found->second.KvCapacityTokens > 0)
          Tokens = Found->second.KvCapacityTokens;
        Limit = WarmUpLimiter(Found->second.WarmUp, this->FleetWarmUpBounds);
      }
    Known.SendLimiter.copyRateFrom(Limit);
    if (Server.StartedMs >= Known.StartedMs)
      Known.RestartUnlisted = false;
    Known.WarmUpEndsAt = Server.WarmUpEndsAt > At.SinceBoot
                             ? At.Now + (Server.WarmUpEndsAt - At.SinceBoot)
                             : TimePoint{};
    Known.Cache.setCapacity(
        static_cast<std::uint64_t>(static_cast<double>(Tokens) * CachePart));
  }
  std::erase_if(this->Entries, [](const auto &Known) {
    return Known.second.Server == nullptr && Known.second.Running == 0;
  });
}

void ServerTable::recordStart(std::uint64_t Server, std::int64_t StartedMs) {
  ServerEntry &Known = this->Entries[Server];
  if (StartedMs <= Known.StartedMs)
    return;
  // Without this the engine would look full of requests that died with its
  // earlier process, keep the pauses that this one earned, and be chosen for
  // prompts that it no longer has.
  ServerEntry Fresh;
  Fresh.Server = Known.Server;
  Fresh.Service = Known.Service;
  Fresh.Zone = Known.Zone;
  Fresh.StartedMs = StartedMs;
  // What waits for it is not lost.
  Fresh.QueuedTokens = Known.QueuedTokens;
  Fresh.Cache.setCapacity(Known.Cache.capacity());
  // It is cold, whatever the entry of its earlier process says, and what was
  // sent to that in the last second may still arrive.
  Fresh.SendLimiter = Known.SendLimiter;
  Fresh.RestartUnlisted = Known.Server != nullptr;
  Known = std::move(Fresh);
}

std::int64_t ServerTable::startOf(std::uint64_t Server) const {
  const ServerEntry *Known = this->findEntry(Server);
  return Known == nullptr ? 0 : Known->StartedMs;
}

bool ServerTable::isHealthy(const ServerEntry &Known, TimePoint Now) const {
  if (Known.BackoffUntil > Now)
    return false;
  if (!this->DetectsSilence)
    return true;
  const bool Waiting = Known.Running > 0 && Known.LastSent > Known.LastActivity;
  return !Waiting ||
         Now - std::max(Known.LastActivity, Known.LastSent) < SilenceLimit;
}

bool ServerTable::isAvailable(std::uint64_t Server, const ServerEntry &Known,
                              TimePoint Now) const {
  if (!this->isHealthy(Known, Now))
    return false;
  return !isWarmingUp(Known, Now) ||
         (Known.SendLimiter.hasToken(Now) && this->OwnsWarmUp &&
          this->OwnsWarmUp(Server));
}

bool ServerTable::isWarmingUp(std::uint64_t Server, TimePoint Now) const {
  const ServerEntry *Known = this->findEntry(Server);
  return Known != nullptr && isWarmingUp(*Known, Now);
}

ServerTable::WarmUpTotals ServerTable::warmUpTotals(TimePoint Now) const {
  WarmUpTotals Sum;
  for (const auto &[Hash, Known] : this->Entries) {
    if (!this->acceptsRequests(Known) || !isWarmingUp(Known, Now))
      continue;
    ++Sum.Servers;
    if (this->OwnsWarmUp && this->OwnsWarmUp(Hash))
      Sum.GrantedPerSecond += Known.SendLimiter.ratePerSecond();
  }
  return Sum;
}

double ServerTable::recentPrefillAt(const ServerEntry &Known, TimePoint Now) {
  const std::chrono::duration<double> Gone = Now - Known.RecentPrefillAt;
  return Known.RecentPrefillTokens * std::exp(-Gone.count() / ReadingSeconds);
}

double ServerTable::interference(const ServerEntry &Known,
                                 const PlacementQuery &Asked,
                                 std::uint64_t Unread) {
  const double Whole = Asked.PrefillTokensPerSecond * ReadingSeconds;
  const double Busy =
      Whole > 0 ? std::min(recentPrefillAt(Known, Asked.Now) / Whole, 1.0) : 0;
  const double Slots = std::max<double>(Known.Server->Slots, 1);
  const double Taken = std::pow(Known.Running / Slots, TakenSlotsPower);
  return Asked.Weights.OccupiedSlots * Taken * static_cast<double>(Unread) +
         Asked.Weights.PrefillInterference * Busy * Asked.OutputTokens;
}

std::uint64_t ServerTable::backlogOf(const ServerEntry &Known) {
  return Known.PendingPrefillTokens + Known.Running * RunningCost;
}

ServerTable::CacheLocations
ServerTable::findCached(const PlacementQuery &Asked,
                        const PromptPart &Shared) const {
  CacheLocations Found;
  std::uint64_t HomeScore = 0;
  for (const auto &[Hash, Place] : this->ByService.at(Asked.Service)) {
    const ServerEntry &Known = *Place;
    if (!this->acceptsRequests(Known))
      continue;
    const std::uint64_t Score = rendezvousScore(Hash, Shared.Id);
    if (Score >= HomeScore) {
      Found.HomeServer = Hash;
      HomeScore = Score;
    }
    if (Known.Cache.contains(Shared.Id))
      Found.SharedIsCached = true;
    Found.MaxCachedTokens = std::max(Found.MaxCachedTokens,
                                     Known.Cache.expectedTokens(*Asked.Parts));
    const std::uint64_t KeptNow = Known.Cache.residentTokens(*Asked.Parts);
    if (KeptNow > Found.FetchableTokens && this->isHealthy(Known, Asked.Now)) {
      Found.FetchSource = Hash;
      Found.FetchableTokens = KeptNow;
    }
  }
  return Found;
}

ServerTable::Candidate ServerTable::makeCandidate(std::uint64_t Hash,
                                                  const ServerEntry &Server,
                                                  const PlacementQuery &Asked,
                                                  const CacheLocations &Known) {
  const auto Weighed = [](std::uint64_t Tokens, double Weight) {
    return static_cast<std::uint64_t>(static_cast<double>(Tokens) * Weight);
  };
  Candidate Made;
  std::uint64_t Kept =
      Asked.Parts == nullptr ? 0 : Server.Cache.expectedTokens(*Asked.Parts);
  const std::uint64_t Fetchable =
      Known.FetchableTokens > Kept ? Known.FetchableTokens - Kept : 0;
  if (const auto Fetching = fetchingCost(Asked.Fetch, Fetchable)) {
    Made.Choice.FetchSource = Known.FetchSource;
    Kept += Fetchable;
    Made.Cost += *Fetching;
  }
  // What only an engine keeps that cannot be fetched from, or is still being
  // read there, is read again.
  if (Known.MaxCachedTokens > Kept)
    Made.Cost +=
        Weighed(Known.MaxCachedTokens - Kept, Asked.Weights.DuplicatePrefill);
  const std::uint64_t Unread =
      Asked.PromptTokens - std::min<std::uint64_t>(Asked.PromptTokens, Kept);
  const std::uint64_t Backlog = backlogOf(Server);
  Made.Cost += Backlog + Unread;
  Made.Cost += static_cast<std::uint64_t>(interference(Server, Asked, Unread));
  if (Server.QueuedTokens > 0)
    Made.Cost += static_cast<std::uint64_t>(Server.QueuedTokens);
  if (Server.Zone != Asked.Zone)
    Made.Cost += OtherZoneCost;
  if (Known.HomeServer != 0 && !Known.SharedIsCached &&
      Hash != Known.HomeServer)
    Made.Cost += Weighed(sharedTokens(Asked), Asked.Weights.NonHomeServer);
  Made.Choice.Server = Hash;
  Made.Choice.PrefillTokens = narrowed(Unread);
  Made.Choice.BacklogTokens = narrowed(Backlog);
  return Made;
}

std::optional<ServerChoice> ServerTable::place(const PlacementQuery &Asked) {
  const PromptPart *Shared =
      Asked.Parts == nullptr ? nullptr : sharedPart(*Asked.Parts);
  const auto Offered = this->ByService.find(Asked.Service);
  if (Offered == this->ByService.end())
    return std::nullopt;
  CacheLocations Known;
  if (Shared != nullptr)
    Known = this->findCached(Asked, *Shared);
  std::optional<Candidate> Best;
  for (const auto &[Hash, Place] : Offered->second) {
    if (!this->acceptsRequests(*Place) ||
        !this->isAvailable(Hash, *Place, Asked.Now))
      continue;
    if (Asked.ExcludedServers != nullptr &&
        Asked.ExcludedServers->contains(Hash))
      continue;
    Candidate Made = makeCandidate(Hash, *Place, Asked, Known);
    if (Asked.SpreadKey)
      Made.Cost = rendezvousScore(Hash, *Asked.SpreadKey);
    if (Asked.HasCapacity &&
        !Asked.HasCapacity(Hash, Made.Choice.PrefillTokens))
      continue;
    if (!Best || Made.Cost < Best->Cost)
      Best = Made;
  }
  if (!Best)
    return std::nullopt;
  return Best->Choice;
}

void ServerTable::recordSent(std::uint64_t Server, const AttemptLoad &Work,
                             const std::vector<PromptPart> &Parts,
                             TimePoint Now) {
  this->recordStart(Server, Work.ServerStartedMs);
  ServerEntry &Known = this->Entries[Server];
  if (Work.ServerStartedMs != Known.StartedMs)
    return;
  ++Known.Running;
  Known.RecentPrefillTokens = recentPrefillAt(Known, Now) + Work.PrefillTokens;
  Known.RecentPrefillAt = Now;
  Known.PendingPrefillTokens += Work.PrefillTokens;
  Known.LastSent = std::max(Known.LastSent, Now);
  Known.SendLimiter.recordSent(Now);
  Known.Cache.insert(Parts);
}

void ServerTable::recordPrefilled(std::uint64_t Server, const AttemptLoad &Work,
                                  const std::vector<PromptPart> &Parts) {
  ServerEntry &Known = this->Entries[Server];
  if (Work.ServerStartedMs != Known.StartedMs)
    return;
  Known.PendingPrefillTokens -=
      std::min<std::uint64_t>(Known.PendingPrefillTokens, Work.PrefillTokens);
  Known.Cache.markPrefilled(Parts);
}

void ServerTable::recordEnded(std::uint64_t Server, const AttemptLoad &Work,
                              const std::vector<PromptPart> &Parts,
                              ServerVerdict Verdict, TimePoint Now) {
  ServerEntry &Known = this->Entries[Server];
  if (Work.ServerStartedMs != Known.StartedMs)
    return;
  if (Known.Running > 0)
    --Known.Running;
  Known.PendingPrefillTokens -=
      std::min<std::uint64_t>(Known.PendingPrefillTokens, Work.PrefillTokens);
  if (Work.PrefillTokens > 0)
    Known.Cache.evictUnfilled(Parts);
  if (Verdict == ServerVerdict::Healthy) {
    Known.ConsecutiveFailures = 0;
    Known.BackoffUntil = TimePoint{};
    return;
  }
  ++Known.ConsecutiveFailures;
  // What was not read is not kept either.
  const bool Answers =
      Verdict == ServerVerdict::Failed || Verdict == ServerVerdict::Full;
  if (!Answers)
    Known.Cache.clear();
  if (Answers && Known.ConsecutiveFailures < FailuresBeforePause)
    return;
  Known.BackoffUntil = Now + pauseAfter(Known.ConsecutiveFailures);
}

void ServerTable::recordCached(std::uint64_t Server, const CachedParts &Told) {
  this->recordStart(Server, Told.ServerStartedMs);
  ServerEntry &Known = this->Entries[Server];
  if (Told.ServerStartedMs == 0 || Told.ServerStartedMs == Known.StartedMs)
    Known.Cache.addReported(Told.Parts);
}

void ServerTable::recordActivity(std::uint64_t Server, TimePoint Now) {
  this->Entries[Server].LastActivity = Now;
}

void ServerTable::addQueuedTokens(std::uint64_t Server, std::int64_t Tokens) {
  const auto Found = this->Entries.find(Server);
  if (Found != this->Entries.end())
    Found->second.QueuedTokens += Tokens;
}

const ServerTable::ServerEntry *
ServerTable::findEntry(std::uint64_t Server) const {
  const auto Found = this->Entries.find(Server);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

bool ServerTable::activeSince(std::uint64_t Server, TimePoint Moment) const {
  const ServerEntry *Known = this->findEntry(Server);
  return Known != nullptr && Known->LastActivity > Moment;
}

std::uint32_t ServerTable::running(std::uint64_t Server) const {
  const ServerEntry *Known = this->findEntry(Server);
  return Known == nullptr ? 0 : Known->Running;
}

std::uint64_t ServerTable::pendingPrefillTokens(std::uint64_t Server) const {
  const ServerEntry *Known = this->findEntry(Server);
  return Known == nullptr ? 0 : Known->PendingPrefillTokens;
}

bool ServerTable::usable(std::uint64_t Server, TimePoint Now) const {
  const ServerEntry *Known = this->findEntry(Server);
  return Known != nullptr && this->acceptsRequests(*Known) &&
         this->isAvailable(Server, *Known, Now);
}

bool ServerTable::usableIfGranted(std::uint64_t Server, TimePoint Now) const {
  const ServerEntry *Known = this->findEntry(Server);
  return Known != nullptr && this->acceptsRequests(*Known) &&
         this->isHealthy(*Known, Now);
}

const GatewayServer *ServerTable::find(std::uint64_t Server) const {
  const ServerEntry *Known = this->findEntry(Server);
  return Known == nullptr ? nullptr : Known->Server;
}

std::uint32_t ServerTable::serverCount(std::uint64_t Service) const {
  const auto Found = this->ByService.find(Service);
  if (Found == this->ByService.end())
    return 0;
  return static_cast<std::uint32_t>(std::count_if(
      Found->second.begin(), Found->second.end(), [this](const auto &Known) {
        return this->acceptsRequests(*Known.second);
      }));
}

} // namespace parsleywing
