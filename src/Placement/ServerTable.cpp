#include "Placement/ServerTable.h"

#include "Runtime/Id.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace parsleywing {

namespace {

/// The cost of each running request in prompt tokens. It is small and mainly
/// breaks ties in favor of the server with fewer streams: in a step with other
/// streams, a token of one more stream takes a thousandth of the time.
constexpr std::uint64_t RunningRequestCost = 40;

/// The cost of a server in another zone in prompt tokens: connecting and
/// sending take a few milliseconds, in which an engine prefills a few hundred
/// tokens.
constexpr std::uint64_t OtherZoneCost = 150;

/// The exponent of the fraction of occupied slots: the first half of the slots
/// hardly counts, the last few count a lot.
constexpr double OccupiedSlotsExponent = 4;

/// The time constant over which an engine's prefill load is averaged.
constexpr double PrefillWindowSeconds = 2;

/// The fraction of an engine's KV capacity that is assumed to be available for
/// cached parts. The rest holds running requests.
constexpr double CacheFraction = 0.6;
/// The KV capacity of an engine whose service does not state it.
constexpr std::uint64_t DefaultKvCapacityTokens = 100'000;

/// The backoff after the first failure of a server is twice this. It doubles
/// with each further consecutive failure, up to `MaxBackoff`.
constexpr Duration BaseBackoff = std::chrono::milliseconds(250);
constexpr Duration MaxBackoff = std::chrono::seconds(4);
/// Keeps the factor in range; `MaxBackoff` is reached with fewer.
constexpr std::uint32_t MaxDoublings = 5;
/// The number of consecutive failures after which a server that still responds
/// gets a backoff. A healthy server responds to some requests with an error.
constexpr std::uint32_t FailuresBeforeBackoff = 3;

/// A server that has requests of this router and sends nothing for this time
/// counts as unreachable until something is received from it.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(700);

/// How long a server is avoided whose process has crashed: longer than its
/// entry in the list outlives it.
constexpr Duration CrashAvoidance = std::chrono::seconds(4);

/// How long a server that is not listed is remembered as leaving. Its entry may
/// be written again after an outage of the store.
constexpr Duration UnlistedLeavingLifetime = std::chrono::minutes(10);

/// The weight of a fetched token relative to its transfer time on one link: it
/// uses the links of both engines, waits for other transfers, and uses memory
/// at a second engine.
constexpr double FetchWeight = 5;

/// The time to find the source and to receive the first bytes of a fetched
/// part: 5 ms and 2 ms with the known engines.
constexpr double FetchSetupMs = 5;

/// The maximum cost of a fetched token, relative to prefilling it again. Above
/// it, nothing is fetched, since the estimate for a transfer that waits for
/// others is not accurate enough to rely on the smaller difference.
constexpr double MaxFetchCostPerToken = 0.5;

Duration backoffAfter(std::uint32_t Failures) {
  const std::uint32_t Doublings = std::min(Failures, MaxDoublings);
  return std::min(BaseBackoff * (1U << Doublings), MaxBackoff);
}

std::uint64_t sharedTokens(const PlacementQuery &Query) {
  std::uint64_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Query.Parts->size(); ++I)
    Tokens += (*Query.Parts)[I].Tokens;
  return Tokens;
}

/// The cost of fetching these tokens; empty if prefilling them again is
/// cheaper.
std::optional<std::uint64_t> fetchCostIfCheaper(const FetchCost &Cost,
                                                std::uint64_t Tokens) {
  if (Tokens == 0 || !Cost.PerToken)
    return std::nullopt;
  const auto Total =
      Cost.Fixed +
      static_cast<std::uint64_t>(*Cost.PerToken * static_cast<double>(Tokens));
  return Total < Tokens ? std::optional(Total) : std::nullopt;
}

std::uint32_t saturatedCast(std::uint64_t Tokens) {
  constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Tokens, Max));
}

} // namespace

FetchCost fetchCostOf(const GatewayService &Service,
                      double PrefillTokensPerMs) {
  FetchCost Cost;
  if (Service.KvBytesPerToken <= 0 || Service.LinkBytesPerMs <= 0)
    return Cost;
  const double TokensPerMs = Service.LinkBytesPerMs / Service.KvBytesPerToken;
  const double PerToken = FetchWeight * PrefillTokensPerMs / TokensPerMs;
  if (PerToken > MaxFetchCostPerToken)
    return Cost;
  Cost.PerToken = PerToken;
  Cost.Fixed = static_cast<std::uint32_t>(FetchSetupMs * PrefillTokensPerMs);
  Cost.TokensPerMs = TokensPerMs;
  return Cost;
}

void ServerTable::setServers(std::shared_ptr<const ServerList> Servers,
                             const GatewayConfiguration *Configuration,
                             const ServerGroups *Groups, const ViewTime &Time) {
  this->ListedServers = std::move(Servers);
  this->ByGroup.clear();
  for (auto &[Hash, Entry] : this->Entries)
    Entry.Listing = nullptr;
  for (const auto &[Id, Server] : *this->ListedServers) {
    this->recordStart(hashName(Id), Server.StartedMs);
    ServerEntry &Entry = this->Entries[hashName(Id)];
    Entry.Listing = &Server;
    Entry.Group = Groups == nullptr ? hashName(Server.Service)
                                    : Groups->groupOfServer(Id, Server.Service);
    this->ByGroup[Entry.Group].emplace_back(hashName(Id), &Entry);
    Entry.Zone = hashName(Server.Zone);
    // The list may still show an earlier process, of another version.
    Entry.Software = Server.StartedMs < Entry.StartedMs
                         ? softwareOfProcess(Id, Entry.StartedMs)
                         : softwareOf(Server);
    std::uint64_t Tokens = DefaultKvCapacityTokens;
    Entry.KvCapacityTokens = 0;
    WarmUpLimiter Limiter;
    if (Configuration != nullptr)
      if (const auto Found = Configuration->Services.find(Server.Service);
          Found != Configuration->Services.end()) {
        Entry.KvCapacityTokens = Found->second.KvCapacityTokens;
        if (Found->second.KvCapacityTokens > 0)
          Tokens = Found->second.KvCapacityTokens;
        Limiter = WarmUpLimiter(Found->second.WarmUp, this->FleetWarmUpBounds);
      }
    Entry.SendLimiter.copyRateFrom(Limiter);
    if (Server.StartedMs >= Entry.StartedMs)
      Entry.RestartUnlisted = false;
    Entry.WarmUpEndsAt = Server.WarmUpEndsAt > Time.SinceBoot
                             ? Time.Now + (Server.WarmUpEndsAt - Time.SinceBoot)
                             : TimePoint{};
    if (this->tracksMemoryOf(Entry))
      updateCacheCapacity(Entry);
    else
      Entry.Cache.setCapacity(static_cast<std::uint64_t>(
          static_cast<double>(Tokens) * CacheFraction));
  }
  std::erase_if(this->Entries, [&Time](const auto &Entry) {
    return Entry.second.Listing == nullptr &&
           !isKeptUnlisted(Entry.second, Time.Now);
  });
  std::erase_if(this->Signalled, [&](std::uint64_t Server) {
    return !this->isAvoided(Server, Time.Now);
  });
}

bool ServerTable::isKeptUnlisted(const ServerEntry &Entry, TimePoint Now) {
  return Entry.Running > 0 || Entry.PausedUntil > Now ||
         (Entry.LeavingSince &&
          Now - *Entry.LeavingSince < UnlistedLeavingLifetime);
}

bool ServerTable::recordLeaving(std::uint64_t Server, std::int64_t StartedMs,
                                TimePoint Now) {
  this->recordStart(Server, StartedMs);
  ServerEntry &Entry = this->Entries[Server];
  if (StartedMs != Entry.StartedMs || Entry.LeavingSince)
    return false;
  Entry.LeavingSince = Now;
  this->Signalled.insert(Server);
  return true;
}

bool ServerTable::isLeaving(std::uint64_t Server) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry != nullptr && Entry->LeavingSince;
}

bool ServerTable::recordPause(std::uint64_t Server, std::int64_t StartedMs,
                              TimePoint Until) {
  this->recordStart(Server, StartedMs);
  ServerEntry &Entry = this->Entries[Server];
  if (StartedMs != Entry.StartedMs || Until <= Entry.PausedUntil)
    return false;
  Entry.PausedUntil = Until;
  this->Signalled.insert(Server);
  return true;
}

void ServerTable::recordCrash(std::uint64_t Server, std::int64_t StartedMs,
                              TimePoint Now) {
  const auto Found = this->Entries.find(Server);
  if (Found != this->Entries.end() && Found->second.StartedMs <= StartedMs)
    Found->second.CrashedUntil = Now + CrashAvoidance;
}

TimePoint ServerTable::pausedUntil(std::uint64_t Server) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry == nullptr ? TimePoint{} : Entry->PausedUntil;
}

bool ServerTable::isAvoided(std::uint64_t Server, TimePoint Now) const {
  return this->isLeaving(Server) || this->pausedUntil(Server) > Now;
}

std::vector<std::uint64_t> ServerTable::avoidedServers(std::uint64_t Service,
                                                       TimePoint Now) const {
  std::vector<std::uint64_t> Avoided;
  for (const std::uint64_t Server : this->Signalled) {
    const GatewayServer *Listed = this->find(Server);
    if (Listed != nullptr && this->isAvoided(Server, Now) &&
        hashName(Listed->Service) == Service)
      Avoided.push_back(Server);
  }
  return Avoided;
}

bool ServerTable::anyAccepts(std::uint64_t Group,
                             const std::set<std::uint64_t> &Excluded,
                             TimePoint Now,
                             std::optional<SoftwareId> Software) const {
  const auto Found = this->ByGroup.find(Group);
  return Found != this->ByGroup.end() &&
         std::ranges::any_of(Found->second, [&](const auto &Each) {
           return this->acceptsRequests(*Each.second) &&
                  Each.second->PausedUntil <= Now &&
                  matches(*Each.second, Software) &&
                  !Excluded.contains(Each.first);
         });
}

bool ServerTable::isUnavailable(std::uint64_t Group,
                                const std::set<std::uint64_t> &Excluded,
                                TimePoint Now,
                                std::optional<SoftwareId> Software) const {
  if (this->Signalled.empty() ||
      this->anyAccepts(Group, Excluded, Now, Software))
    return false;
  return std::ranges::any_of(this->Signalled, [&](std::uint64_t Server) {
    const ServerEntry *Entry = this->findEntry(Server);
    return Entry != nullptr && Entry->Listing != nullptr &&
           Entry->Group == Group && matches(*Entry, Software) &&
           this->isAvoided(Server, Now);
  });
}

bool ServerTable::anyOfSoftware(std::uint64_t Group, SoftwareId Software,
                                const std::set<std::uint64_t> &Excluded) const {
  const auto Found = this->ByGroup.find(Group);
  return Found != this->ByGroup.end() &&
         std::ranges::any_of(Found->second, [&](const auto &Each) {
           return this->acceptsRequests(*Each.second) &&
                  matches(*Each.second, Software) &&
                  !Excluded.contains(Each.first);
         });
}

std::vector<std::uint64_t>
ServerTable::serversOfOtherSoftware(std::uint64_t Group,
                                    SoftwareId Software) const {
  std::vector<std::uint64_t> Others;
  const auto Found = this->ByGroup.find(Group);
  if (Found == this->ByGroup.end())
    return Others;
  for (const auto &[Server, Entry] : Found->second)
    if (!matches(*Entry, Software))
      Others.push_back(Server);
  return Others;
}

std::set<SoftwareId> ServerTable::softwareOfGroup(std::uint64_t Group) const {
  std::set<SoftwareId> Listed;
  const auto Found = this->ByGroup.find(Group);
  if (Found == this->ByGroup.end())
    return Listed;
  for (const auto &[Server, Entry] : Found->second)
    Listed.insert(Entry->Software);
  return Listed;
}

std::optional<TimePoint>
ServerTable::firstPauseEnd(std::uint64_t Group, TimePoint Now,
                           std::optional<SoftwareId> Software) const {
  std::optional<TimePoint> First;
  for (const std::uint64_t Server : this->Signalled) {
    const ServerEntry *Entry = this->findEntry(Server);
    if (Entry == nullptr || !this->acceptsRequests(*Entry) ||
        Entry->Group != Group || !matches(*Entry, Software) ||
        Entry->PausedUntil <= Now)
      continue;
    First = std::min(First.value_or(Entry->PausedUntil), Entry->PausedUntil);
  }
  return First;
}

std::size_t ServerTable::pausedCount(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Signalled, [&](std::uint64_t Server) {
        return this->find(Server) != nullptr && this->pausedUntil(Server) > Now;
      }));
}

std::size_t ServerTable::leavingCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Signalled, [this](std::uint64_t Server) {
        return this->find(Server) != nullptr && this->isLeaving(Server);
      }));
}

void ServerTable::recordStart(std::uint64_t Server, std::int64_t StartedMs) {
  ServerEntry &Entry = this->Entries[Server];
  if (StartedMs <= Entry.StartedMs)
    return;
  // Without this reset, the engine would appear to run requests that ended with
  // the earlier process, keep the backoff of that process, and be chosen for
  // prompts that it no longer has cached.
  ServerEntry New;
  New.Listing = Entry.Listing;
  New.Group = Entry.Group;
  New.Zone = Entry.Zone;
  if (Entry.Listing != nullptr)
    New.Software = softwareOfProcess(Entry.Listing->Id, StartedMs);
  New.StartedMs = StartedMs;
  // Requests that wait at the allocator are not lost by the restart.
  New.PlannedTokens = Entry.PlannedTokens;
  New.KvCapacityTokens = Entry.KvCapacityTokens;
  New.Cache.setCapacity(this->tracksMemoryOf(Entry) ? Entry.KvCapacityTokens
                                                    : Entry.Cache.capacity());
  // The new process is cold, whatever the list entry of the earlier process
  // says. Requests sent to the earlier one within the last second may still
  // arrive, so the limiter keeps its state.
  New.SendLimiter = Entry.SendLimiter;
  New.RestartUnlisted = Entry.Listing != nullptr;
  Entry = std::move(New);
}

std::int64_t ServerTable::startOf(std::uint64_t Server) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry == nullptr ? 0 : Entry->StartedMs;
}

bool ServerTable::isHealthy(const ServerEntry &Entry, TimePoint Now) const {
  if (Entry.BackoffUntil > Now || Entry.PausedUntil > Now ||
      Entry.CrashedUntil > Now)
    return false;
  if (!this->DetectsSilence)
    return true;
  const bool AwaitsResponse =
      Entry.Running > 0 && Entry.LastSentAt > Entry.LastReceivedAt;
  return !AwaitsResponse ||
         Now - std::max(Entry.LastReceivedAt, Entry.LastSentAt) <
             SilenceTimeout;
}

bool ServerTable::isAvailable(std::uint64_t Server, const ServerEntry &Entry,
                              TimePoint Now) const {
  if (!this->isHealthy(Entry, Now))
    return false;
  return !isWarmingUp(Entry, Now) ||
         (Entry.SendLimiter.hasToken(Now) && this->OwnsWarmUp &&
          this->OwnsWarmUp(Server));
}

bool ServerTable::isWarmingUp(std::uint64_t Server, TimePoint Now) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry != nullptr && isWarmingUp(*Entry, Now);
}

ServerTable::WarmUpTotals ServerTable::warmUpTotals(TimePoint Now) const {
  WarmUpTotals Totals;
  for (const auto &[Hash, Entry] : this->Entries) {
    if (!this->acceptsRequests(Entry) || !isWarmingUp(Entry, Now))
      continue;
    ++Totals.Servers;
    if (this->OwnsWarmUp && this->OwnsWarmUp(Hash))
      Totals.GrantedPerSecond += Entry.SendLimiter.ratePerSecond();
  }
  return Totals;
}

double ServerTable::recentPrefillTokens(const ServerEntry &Entry,
                                        TimePoint Now) {
  const std::chrono::duration<double> Elapsed =
      Now - Entry.RecentPrefillUpdatedAt;
  return Entry.RecentPrefillTokens *
         std::exp(-Elapsed.count() / PrefillWindowSeconds);
}

double ServerTable::contentionCost(const ServerEntry &Entry,
                                   const PlacementQuery &Query,
                                   std::uint64_t PrefillTokens) {
  const double MaxTokens = Query.PrefillTokensPerSecond * PrefillWindowSeconds;
  const double Busy =
      MaxTokens > 0
          ? std::min(recentPrefillTokens(Entry, Query.Now) / MaxTokens, 1.0)
          : 0;
  const double Slots = std::max<double>(Entry.Listing->Slots, 1);
  const double Occupancy =
      std::pow(Entry.Running / Slots, OccupiedSlotsExponent);
  return Query.Weights.OccupiedSlots * Occupancy *
             static_cast<double>(PrefillTokens) +
         Query.Weights.PrefillInterference * Busy * Query.MaxOutputTokens;
}

std::uint64_t ServerTable::backlogOf(const ServerEntry &Entry) {
  return Entry.PendingPrefillTokens + Entry.Running * RunningRequestCost;
}

ServerTable::CacheLocations
ServerTable::locateParts(const PlacementQuery &Query,
                         const PromptPart &Shared) const {
  CacheLocations Found;
  std::uint64_t HomeScore = 0;
  for (const auto &[Hash, Listed] : this->ByGroup.at(Query.Group)) {
    const ServerEntry &Entry = *Listed;
    if (!this->acceptsRequests(Entry))
      continue;
    const std::uint64_t Score = rendezvousScore(Hash, Shared.Id);
    if (Score >= HomeScore) {
      Found.HomeServer = Hash;
      HomeScore = Score;
    }
    if (Entry.Cache.contains(Shared.Id))
      Found.SharedIsExpected = true;
    Found.MaxExpectedTokens = std::max(
        Found.MaxExpectedTokens, Entry.Cache.expectedTokens(*Query.Parts));
    const std::uint64_t ResidentTokens =
        Entry.Cache.prefilledTokens(*Query.Parts);
    // Of the sources of the same prefix, the one whose link is free first.
    const bool IsBetterSource =
        ResidentTokens > Found.FetchableTokens ||
        (ResidentTokens > 0 && ResidentTokens == Found.FetchableTokens &&
         Entry.LinkFreeAt < Found.LinkFreeAt);
    if (IsBetterSource && this->isHealthy(Entry, Query.Now)) {
      Found.FetchSource = Hash;
      Found.FetchableTokens = ResidentTokens;
      Found.LinkFreeAt = Entry.LinkFreeAt;
    }
  }
  return Found;
}

ServerTable::Candidate
ServerTable::makeCandidate(std::uint64_t Hash, const ServerEntry &Entry,
                           const PlacementQuery &Query,
                           const CacheLocations &Locations) {
  const auto Weighted = [](std::uint64_t Tokens, double Weight) {
    return static_cast<std::uint64_t>(static_cast<double>(Tokens) * Weight);
  };
  Candidate Result;
  std::uint64_t CachedTokens =
      Query.Parts == nullptr ? 0 : Entry.Cache.expectedTokens(*Query.Parts);
  const std::uint64_t Fetchable = Locations.FetchableTokens > CachedTokens
                                      ? Locations.FetchableTokens - CachedTokens
                                      : 0;
  FetchCost Fetch = Query.Fetch;
  if (Locations.LinkFreeAt > Query.Now)
    Fetch.Fixed += saturatedCast(static_cast<std::uint64_t>(
        std::chrono::duration<double>(Locations.LinkFreeAt - Query.Now)
            .count() *
        Query.PrefillTokensPerSecond));
  if (const auto FetchCostTokens = fetchCostIfCheaper(Fetch, Fetchable)) {
    Result.Choice.FetchSource = Locations.FetchSource;
    Result.Choice.FetchTokens = saturatedCast(Fetchable);
    CachedTokens += Fetchable;
    Result.Cost += *FetchCostTokens;
  }
  // Parts that cannot be fetched, or that another engine is still prefilling,
  // are prefilled again here.
  if (Locations.MaxExpectedTokens > CachedTokens) {
    const std::uint64_t Duplicate = Locations.MaxExpectedTokens - CachedTokens;
    Result.Choice.DuplicateTokens = saturatedCast(Duplicate);
    Result.Cost += Weighted(Duplicate, Query.Weights.DuplicatePrefill);
  }
  const std::uint64_t PrefillTokens =
      Query.PromptTokens -
      std::min<std::uint64_t>(Query.PromptTokens, CachedTokens);
  const std::uint64_t Backlog = backlogOf(Entry);
  Result.Cost += Backlog + PrefillTokens;
  Result.Cost +=
      static_cast<std::uint64_t>(contentionCost(Entry, Query, PrefillTokens));
  if (Entry.PlannedTokens > 0)
    Result.Cost += static_cast<std::uint64_t>(Entry.PlannedTokens);
  if (Entry.Zone != Query.Zone)
    Result.Cost += OtherZoneCost;
  if (Locations.HomeServer != 0 && !Locations.SharedIsExpected &&
      Hash != Locations.HomeServer)
    Result.Cost += Weighted(sharedTokens(Query), Query.Weights.NonHomeServer);
  Result.Choice.Server = Hash;
  Result.Choice.PrefillTokens = saturatedCast(PrefillTokens);
  Result.Choice.BacklogTokens = saturatedCast(Backlog);
  return Result;
}

std::optional<ServerChoice> ServerTable::place(const PlacementQuery &Query) {
  const PromptPart *Shared =
      Query.Parts == nullptr ? nullptr : sharedPart(*Query.Parts);
  const auto Candidates = this->ByGroup.find(Query.Group);
  if (Candidates == this->ByGroup.end())
    return std::nullopt;
  CacheLocations Locations;
  if (Shared != nullptr)
    Locations = this->locateParts(Query, *Shared);
  std::optional<Candidate> Best;
  for (const auto &[Hash, Entry] : Candidates->second) {
    if (!this->acceptsRequests(*Entry) ||
        !this->isAvailable(Hash, *Entry, Query.Now))
      continue;
    if (Query.ExcludedServers != nullptr &&
        Query.ExcludedServers->contains(Hash))
      continue;
    if (!matches(*Entry, Query.Software))
      continue;
    Candidate Current = makeCandidate(Hash, *Entry, Query, Locations);
    if (Query.SpreadKey)
      Current.Cost = rendezvousScore(Hash, *Query.SpreadKey);
    if (Query.HasCapacity &&
        !Query.HasCapacity(Hash, Current.Choice.PrefillTokens))
      continue;
    if (!Best || Current.Cost < Best->Cost)
      Best = Current;
  }
  if (!Best)
    return std::nullopt;
  return Best->Choice;
}

void ServerTable::recordSent(std::uint64_t Server, const AttemptLoad &Load,
                             const std::vector<PromptPart> &Parts,
                             TimePoint Now) {
  this->recordStart(Server, Load.ServerStartedMs);
  ServerEntry &Entry = this->Entries[Server];
  if (Load.ServerStartedMs != Entry.StartedMs)
    return;
  ++Entry.Running;
  Entry.RecentPrefillTokens =
      recentPrefillTokens(Entry, Now) + Load.PrefillTokens;
  Entry.RecentPrefillUpdatedAt = Now;
  Entry.PendingPrefillTokens += Load.PrefillTokens;
  Entry.LastSentAt = std::max(Entry.LastSentAt, Now);
  Entry.SendLimiter.recordSent(Now);
  if (this->tracksMemoryOf(Entry)) {
    Entry.Memory.add({&Parts, Load.PromptTokens, Load.MaxOutputTokens});
    updateCacheCapacity(Entry);
  }
  Entry.Cache.insert(Parts, Now);
}

void ServerTable::recordPrefilled(std::uint64_t Server, const AttemptLoad &Load,
                                  const std::vector<PromptPart> &Parts) {
  ServerEntry &Entry = this->Entries[Server];
  if (Load.ServerStartedMs != Entry.StartedMs)
    return;
  Entry.PendingPrefillTokens -=
      std::min<std::uint64_t>(Entry.PendingPrefillTokens, Load.PrefillTokens);
  Entry.Cache.markPrefilled(Parts);
}

void ServerTable::recordEnded(std::uint64_t Server, const AttemptLoad &Load,
                              const std::vector<PromptPart> &Parts,
                              ServerVerdict Verdict, TimePoint Now) {
  ServerEntry &Entry = this->Entries[Server];
  if (Load.ServerStartedMs != Entry.StartedMs)
    return;
  if (Entry.Running > 0)
    --Entry.Running;
  if (this->tracksMemoryOf(Entry)) {
    Entry.Memory.remove({&Parts, Load.PromptTokens, Load.MaxOutputTokens});
    updateCacheCapacity(Entry);
  }
  Entry.PendingPrefillTokens -=
      std::min<std::uint64_t>(Entry.PendingPrefillTokens, Load.PrefillTokens);
  if (Load.PrefillTokens > 0)
    Entry.Cache.evictUnprefilled(Parts);
  if (Verdict == ServerVerdict::Healthy) {
    Entry.ConsecutiveFailures = 0;
    Entry.BackoffUntil = TimePoint{};
    return;
  }
  // Without a response, the server's cache contents are unknown.
  const bool Responded =
      Verdict == ServerVerdict::Failed || Verdict == ServerVerdict::Full;
  if (!Responded)
    Entry.Cache.clear();
  // All requests in progress at a server notice the same silence.
  if (Verdict == ServerVerdict::Silent && Entry.BackoffUntil > Now)
    return;
  ++Entry.ConsecutiveFailures;
  if (Responded && Entry.ConsecutiveFailures < FailuresBeforeBackoff)
    return;
  Entry.BackoffUntil = Now + backoffAfter(Entry.ConsecutiveFailures);
}

void ServerTable::recordReturned(std::uint64_t Server,
                                 const AttemptLoad &Load) {
  const auto Found = this->Entries.find(Server);
  if (Found != this->Entries.end() && Found->second.Running > 0 &&
      Load.ServerStartedMs == Found->second.StartedMs)
    --Found->second.Running;
}

void ServerTable::updateCacheCapacity(ServerEntry &Entry) {
  Entry.Cache.setCapacity(
      Entry.KvCapacityTokens -
      std::min(Entry.KvCapacityTokens, Entry.Memory.usedTokens()));
}

bool ServerTable::canHold(std::uint64_t Server,
                          const MemoryDemand &Demand) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry == nullptr || !this->tracksMemoryOf(*Entry) ||
         Entry->Memory.usedTokens() + Entry->Memory.neededTokens(Demand) <=
             Entry->KvCapacityTokens;
}

void ServerTable::recordFetch(std::uint64_t Source, std::uint32_t Tokens,
                              const FetchCost &Cost, TimePoint Now) {
  const auto Found = this->Entries.find(Source);
  if (Found == this->Entries.end() || Cost.TokensPerMs <= 0)
    return;
  const std::chrono::duration<double, std::milli> Transfer(Tokens /
                                                           Cost.TokensPerMs);
  Found->second.LinkFreeAt = std::max(Found->second.LinkFreeAt, Now) +
                             std::chrono::duration_cast<Duration>(Transfer);
}

PrefillOption ServerTable::prefillOption(const ServerChoice &Choice,
                                         const PlacementQuery &Query,
                                         TimePoint InUseSince) const {
  const ServerEntry &Entry = this->Entries.at(Choice.Server);
  PrefillOption Option;
  Option.Server = Choice.Server;
  Option.BacklogTokens = Entry.PendingPrefillTokens +
                         static_cast<std::uint64_t>(
                             std::max<std::int64_t>(Entry.PlannedTokens, 0));
  Option.PrefillTokens = Choice.PrefillTokens;
  Option.FetchTokens = Choice.FetchTokens;
  if (const ServerEntry *Source = this->findEntry(Choice.FetchSource);
      Source != nullptr && Source->LinkFreeAt > Query.Now)
    Option.LinkWaitMs = std::chrono::duration<double, std::milli>(
                            Source->LinkFreeAt - Query.Now)
                            .count();
  const double MaxTokens = Query.PrefillTokensPerSecond * PrefillWindowSeconds;
  if (MaxTokens > 0)
    Option.BusyFraction =
        std::min(recentPrefillTokens(Entry, Query.Now) / MaxTokens, 1.0);
  Option.DuplicateTokens = Choice.DuplicateTokens;
  if (this->tracksMemoryOf(Entry))
    Option.EvictedTokens = Entry.Cache.evictedInUse(
        std::uint64_t{Choice.PrefillTokens} + Choice.FetchTokens, InUseSince);
  return Option;
}

void ServerTable::recordCached(std::uint64_t Server,
                               const CachedParts &Reported) {
  this->recordStart(Server, Reported.ServerStartedMs);
  ServerEntry &Entry = this->Entries[Server];
  if (Reported.ServerStartedMs == 0 ||
      Reported.ServerStartedMs == Entry.StartedMs)
    Entry.Cache.addReported(Reported.Parts);
}

void ServerTable::recordReceived(std::uint64_t Server, TimePoint Now) {
  ServerEntry &Entry = this->Entries[Server];
  Entry.LastReceivedAt = Now;
  Entry.CrashedUntil = TimePoint{};
}

void ServerTable::addPlannedTokens(std::uint64_t Server, std::int64_t Tokens) {
  const auto Found = this->Entries.find(Server);
  if (Found != this->Entries.end())
    Found->second.PlannedTokens += Tokens;
}

const ServerTable::ServerEntry *
ServerTable::findEntry(std::uint64_t Server) const {
  const auto Found = this->Entries.find(Server);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

bool ServerTable::receivedSince(std::uint64_t Server, TimePoint Time) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry != nullptr && Entry->LastReceivedAt > Time;
}

std::uint32_t ServerTable::running(std::uint64_t Server) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry == nullptr ? 0 : Entry->Running;
}

std::uint64_t ServerTable::pendingPrefillTokens(std::uint64_t Server) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry == nullptr ? 0 : Entry->PendingPrefillTokens;
}

bool ServerTable::usable(std::uint64_t Server, TimePoint Now) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry != nullptr && this->acceptsRequests(*Entry) &&
         this->isAvailable(Server, *Entry, Now);
}

bool ServerTable::usableIfGranted(std::uint64_t Server, TimePoint Now) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry != nullptr && this->acceptsRequests(*Entry) &&
         this->isHealthy(*Entry, Now);
}

SoftwareId ServerTable::softwareAt(std::uint64_t Server) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry == nullptr ? SoftwareId() : Entry->Software;
}

const GatewayServer *ServerTable::find(std::uint64_t Server) const {
  const ServerEntry *Entry = this->findEntry(Server);
  return Entry == nullptr ? nullptr : Entry->Listing;
}

std::uint32_t ServerTable::serverCount(std::uint64_t Group) const {
  const auto Found = this->ByGroup.find(Group);
  if (Found == this->ByGroup.end())
    return 0;
  return static_cast<std::uint32_t>(std::count_if(
      Found->second.begin(), Found->second.end(), [this](const auto &Entry) {
        return this->acceptsRequests(*Entry.second);
      }));
}

} // namespace parsleywing
