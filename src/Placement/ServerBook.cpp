#include "Placement/ServerBook.h"

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

std::uint64_t sharedTokens(const PlacementQuestion &Asked) {
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
  if (Service.KeptTokenBytes <= 0 || Service.LinkBytesPerMs <= 0)
    return Cost;
  const double TokensPerMs = Service.LinkBytesPerMs / Service.KeptTokenBytes;
  const double PerToken = FetchWeight * ReadPerMs / TokensPerMs;
  if (PerToken > MostFetchPart)
    return Cost;
  Cost.PerToken = PerToken;
  Cost.Fixed = static_cast<std::uint32_t>(FetchSetupMs * ReadPerMs);
  return Cost;
}

void ServerBook::setServers(std::shared_ptr<const ServerList> Servers,
                            const GatewayConfiguration *Stated,
                            const ServerGroups *Groups, const ViewMoment &At) {
  this->InForce = std::move(Servers);
  this->ByService.clear();
  for (auto &[Hash, Known] : this->Conditions)
    Known.Server = nullptr;
  for (const auto &[Id, Server] : *this->InForce) {
    this->noteStart(hashName(Id), Server.StartedMs);
    Condition &Known = this->Conditions[hashName(Id)];
    Known.Server = &Server;
    Known.Service = Groups == nullptr ? hashName(Server.Service)
                                      : Groups->groupOf(Id, Server.Service);
    this->ByService[Known.Service].emplace_back(hashName(Id), &Known);
    Known.Zone = hashName(Server.Zone);
    std::uint64_t Tokens = UnstatedCacheTokens;
    WarmUpLimit Limit;
    if (Stated != nullptr)
      if (const auto Found = Stated->Services.find(Server.Service);
          Found != Stated->Services.end()) {
        if (Found->second.EngineTokens > 0)
          Tokens = Found->second.EngineTokens;
        Limit = WarmUpLimit(Found->second.WarmUp, this->WarmUps);
      }
    Known.Sends.setLoad(Limit);
    if (Server.StartedMs >= Known.StartedMs)
      Known.RestartUnlisted = false;
    Known.WarmingUntil = Server.WarmUntil > At.SinceBoot
                             ? At.Now + (Server.WarmUntil - At.SinceBoot)
                             : TimePoint{};
    Known.Cache.setCapacity(
        static_cast<std::uint64_t>(static_cast<double>(Tokens) * CachePart));
  }
  std::erase_if(this->Conditions, [](const auto &Known) {
    return Known.second.Server == nullptr && Known.second.Running == 0;
  });
}

void ServerBook::noteStart(std::uint64_t Server, std::int64_t StartedMs) {
  Condition &Known = this->Conditions[Server];
  if (StartedMs <= Known.StartedMs)
    return;
  // Without this the engine would look full of requests that died with its
  // earlier process, keep the pauses that this one earned, and be chosen for
  // prompts that it no longer has.
  Condition Fresh;
  Fresh.Server = Known.Server;
  Fresh.Service = Known.Service;
  Fresh.Zone = Known.Zone;
  Fresh.StartedMs = StartedMs;
  // What waits for it is not lost.
  Fresh.QueuedTokens = Known.QueuedTokens;
  Fresh.Cache.setCapacity(Known.Cache.capacity());
  // It is cold, whatever the entry of its earlier process says, and what was
  // sent to that in the last second may still arrive.
  Fresh.Sends = Known.Sends;
  Fresh.RestartUnlisted = Known.Server != nullptr;
  Known = std::move(Fresh);
}

std::int64_t ServerBook::startOf(std::uint64_t Server) const {
  const Condition *Known = this->conditionOf(Server);
  return Known == nullptr ? 0 : Known->StartedMs;
}

bool ServerBook::isSound(const Condition &Known, TimePoint Now) const {
  if (Known.AvoidUntil > Now)
    return false;
  if (!this->JudgesSilence)
    return true;
  const bool Waiting = Known.Running > 0 && Known.LastSent > Known.LastHeard;
  return !Waiting ||
         Now - std::max(Known.LastHeard, Known.LastSent) < SilenceLimit;
}

bool ServerBook::admits(std::uint64_t Server, const Condition &Known,
                        TimePoint Now) const {
  if (!this->isSound(Known, Now))
    return false;
  return !isWarmingUp(Known, Now) ||
         (Known.Sends.has(Now) && this->MayWarm && this->MayWarm(Server));
}

bool ServerBook::isWarmingUp(std::uint64_t Server, TimePoint Now) const {
  const Condition *Known = this->conditionOf(Server);
  return Known != nullptr && isWarmingUp(*Known, Now);
}

ServerBook::WarmUpSum ServerBook::warmUps(TimePoint Now) const {
  WarmUpSum Sum;
  for (const auto &[Hash, Known] : this->Conditions) {
    if (!this->mayTake(Known) || !isWarmingUp(Known, Now))
      continue;
    ++Sum.Servers;
    if (this->MayWarm && this->MayWarm(Hash))
      Sum.GrantedPerSecond += Known.Sends.perSecond();
  }
  return Sum;
}

double ServerBook::readingAt(const Condition &Known, TimePoint Now) {
  const std::chrono::duration<double> Gone = Now - Known.ReadingAt;
  return Known.ReadingTokens * std::exp(-Gone.count() / ReadingSeconds);
}

double ServerBook::interference(const Condition &Known,
                                const PlacementQuestion &Asked,
                                std::uint64_t Unread) {
  const double Whole = Asked.ReadPerSecond * ReadingSeconds;
  const double Busy =
      Whole > 0 ? std::min(readingAt(Known, Asked.Now) / Whole, 1.0) : 0;
  const double Slots = std::max<double>(Known.Server->Slots, 1);
  const double Taken = std::pow(Known.Running / Slots, TakenSlotsPower);
  return Asked.Weights.TakenSlots * Taken * static_cast<double>(Unread) +
         Asked.Weights.ReadingHarm * Busy * Asked.OutputTokens;
}

std::uint64_t ServerBook::backlogOf(const Condition &Known) {
  return Known.UnreadTokens + Known.Running * RunningCost;
}

ServerBook::KeptWhere ServerBook::findKept(const PlacementQuestion &Asked,
                                           const PromptPart &Shared) const {
  KeptWhere Found;
  std::uint64_t HomeScore = 0;
  for (const auto &[Hash, Place] : this->ByService.at(Asked.Service)) {
    const Condition &Known = *Place;
    if (!this->mayTake(Known))
      continue;
    const std::uint64_t Score = rendezvousScore(Hash, Shared.Id);
    if (Score >= HomeScore) {
      Found.Home = Hash;
      HomeScore = Score;
    }
    if (Known.Cache.holds(Shared.Id))
      Found.SharedKeptSomewhere = true;
    Found.Most = std::max(Found.Most, Known.Cache.kept(*Asked.Parts));
    const std::uint64_t KeptNow = Known.Cache.keptNow(*Asked.Parts);
    if (KeptNow > Found.SourceKeeps && this->isSound(Known, Asked.Now)) {
      Found.Source = Hash;
      Found.SourceKeeps = KeptNow;
    }
  }
  return Found;
}

ServerBook::Offer ServerBook::offerOf(std::uint64_t Hash,
                                      const Condition &Server,
                                      const PlacementQuestion &Asked,
                                      const KeptWhere &Known) {
  const auto Weighed = [](std::uint64_t Tokens, double Weight) {
    return static_cast<std::uint64_t>(static_cast<double>(Tokens) * Weight);
  };
  Offer Made;
  std::uint64_t Kept =
      Asked.Parts == nullptr ? 0 : Server.Cache.kept(*Asked.Parts);
  const std::uint64_t Fetchable =
      Known.SourceKeeps > Kept ? Known.SourceKeeps - Kept : 0;
  if (const auto Fetching = fetchingCost(Asked.Fetch, Fetchable)) {
    Made.Choice.Source = Known.Source;
    Kept += Fetchable;
    Made.Cost += *Fetching;
  }
  // What only an engine keeps that cannot be fetched from, or is still being
  // read there, is read again.
  if (Known.Most > Kept)
    Made.Cost += Weighed(Known.Most - Kept, Asked.Weights.ReadAgain);
  const std::uint64_t Unread =
      Asked.PromptTokens - std::min<std::uint64_t>(Asked.PromptTokens, Kept);
  const std::uint64_t Backlog = backlogOf(Server);
  Made.Cost += Backlog + Unread;
  Made.Cost += static_cast<std::uint64_t>(interference(Server, Asked, Unread));
  if (Server.QueuedTokens > 0)
    Made.Cost += static_cast<std::uint64_t>(Server.QueuedTokens);
  if (Server.Zone != Asked.Zone)
    Made.Cost += OtherZoneCost;
  if (Known.Home != 0 && !Known.SharedKeptSomewhere && Hash != Known.Home)
    Made.Cost += Weighed(sharedTokens(Asked), Asked.Weights.AwayFromHome);
  Made.Choice.Server = Hash;
  Made.Choice.UnreadTokens = narrowed(Unread);
  Made.Choice.Backlog = narrowed(Backlog);
  return Made;
}

std::optional<ServerChoice> ServerBook::place(const PlacementQuestion &Asked) {
  const PromptPart *Shared =
      Asked.Parts == nullptr ? nullptr : sharedPart(*Asked.Parts);
  const auto Offered = this->ByService.find(Asked.Service);
  if (Offered == this->ByService.end())
    return std::nullopt;
  KeptWhere Known;
  if (Shared != nullptr)
    Known = this->findKept(Asked, *Shared);
  std::optional<Offer> Best;
  for (const auto &[Hash, Place] : Offered->second) {
    if (!this->mayTake(*Place) || !this->admits(Hash, *Place, Asked.Now))
      continue;
    if (Asked.Excluded != nullptr && Asked.Excluded->contains(Hash))
      continue;
    Offer Made = offerOf(Hash, *Place, Asked, Known);
    if (Asked.SpreadBy)
      Made.Cost = rendezvousScore(Hash, *Asked.SpreadBy);
    if (Asked.HasRoom && !Asked.HasRoom(Hash, Made.Choice.UnreadTokens))
      continue;
    if (!Best || Made.Cost < Best->Cost)
      Best = Made;
  }
  if (!Best)
    return std::nullopt;
  return Best->Choice;
}

void ServerBook::noteSent(std::uint64_t Server, const SendWork &Work,
                          const std::vector<PromptPart> &Parts, TimePoint Now) {
  this->noteStart(Server, Work.ServerStartedMs);
  Condition &Known = this->Conditions[Server];
  if (Work.ServerStartedMs != Known.StartedMs)
    return;
  ++Known.Running;
  Known.ReadingTokens = readingAt(Known, Now) + Work.UnreadTokens;
  Known.ReadingAt = Now;
  Known.UnreadTokens += Work.UnreadTokens;
  Known.LastSent = std::max(Known.LastSent, Now);
  Known.Sends.noteSent(Now);
  Known.Cache.use(Parts);
}

void ServerBook::noteRead(std::uint64_t Server, const SendWork &Work,
                          const std::vector<PromptPart> &Parts) {
  Condition &Known = this->Conditions[Server];
  if (Work.ServerStartedMs != Known.StartedMs)
    return;
  Known.UnreadTokens -=
      std::min<std::uint64_t>(Known.UnreadTokens, Work.UnreadTokens);
  Known.Cache.noteRead(Parts);
}

void ServerBook::noteEnded(std::uint64_t Server, const SendWork &Work,
                           const std::vector<PromptPart> &Parts,
                           ServerVerdict Verdict, TimePoint Now) {
  Condition &Known = this->Conditions[Server];
  if (Work.ServerStartedMs != Known.StartedMs)
    return;
  if (Known.Running > 0)
    --Known.Running;
  Known.UnreadTokens -=
      std::min<std::uint64_t>(Known.UnreadTokens, Work.UnreadTokens);
  if (Work.UnreadTokens > 0)
    Known.Cache.noteLost(Parts);
  if (Verdict == ServerVerdict::Sound) {
    Known.FailuresInRow = 0;
    Known.AvoidUntil = TimePoint{};
    return;
  }
  ++Known.FailuresInRow;
  // What was not read is not kept either.
  const bool Answers =
      Verdict == ServerVerdict::Failed || Verdict == ServerVerdict::Full;
  if (!Answers)
    Known.Cache.clear();
  if (Answers && Known.FailuresInRow < FailuresBeforePause)
    return;
  Known.AvoidUntil = Now + pauseAfter(Known.FailuresInRow);
}

void ServerBook::noteKept(std::uint64_t Server, const KeptParts &Told) {
  this->noteStart(Server, Told.ServerStartedMs);
  Condition &Known = this->Conditions[Server];
  if (Told.ServerStartedMs == 0 || Told.ServerStartedMs == Known.StartedMs)
    Known.Cache.noteKept(Told.Parts);
}

void ServerBook::noteHeard(std::uint64_t Server, TimePoint Now) {
  this->Conditions[Server].LastHeard = Now;
}

void ServerBook::addQueued(std::uint64_t Server, std::int64_t Tokens) {
  const auto Found = this->Conditions.find(Server);
  if (Found != this->Conditions.end())
    Found->second.QueuedTokens += Tokens;
}

const ServerBook::Condition *
ServerBook::conditionOf(std::uint64_t Server) const {
  const auto Found = this->Conditions.find(Server);
  return Found == this->Conditions.end() ? nullptr : &Found->second;
}

bool ServerBook::heardSince(std::uint64_t Server, TimePoint Moment) const {
  const Condition *Known = this->conditionOf(Server);
  return Known != nullptr && Known->LastHeard > Moment;
}

std::uint32_t ServerBook::running(std::uint64_t Server) const {
  const Condition *Known = this->conditionOf(Server);
  return Known == nullptr ? 0 : Known->Running;
}

std::uint64_t ServerBook::unread(std::uint64_t Server) const {
  const Condition *Known = this->conditionOf(Server);
  return Known == nullptr ? 0 : Known->UnreadTokens;
}

bool ServerBook::usable(std::uint64_t Server, TimePoint Now) const {
  const Condition *Known = this->conditionOf(Server);
  return Known != nullptr && this->mayTake(*Known) &&
         this->admits(Server, *Known, Now);
}

bool ServerBook::usableIfGranted(std::uint64_t Server, TimePoint Now) const {
  const Condition *Known = this->conditionOf(Server);
  return Known != nullptr && this->mayTake(*Known) &&
         this->isSound(*Known, Now);
}

const GatewayServer *ServerBook::find(std::uint64_t Server) const {
  const Condition *Known = this->conditionOf(Server);
  return Known == nullptr ? nullptr : Known->Server;
}

std::uint32_t ServerBook::countOf(std::uint64_t Service) const {
  const auto Found = this->ByService.find(Service);
  if (Found == this->ByService.end())
    return 0;
  return static_cast<std::uint32_t>(std::count_if(
      Found->second.begin(), Found->second.end(),
      [this](const auto &Known) { return this->mayTake(*Known.second); }));
}

} // namespace parsleywing
