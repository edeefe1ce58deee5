#include "Gateway/ServerBook.h"

#include "Runtime/Id.h"

#include <algorithm>
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

/// What a server that is not the first of a part's rendezvous order has to be
/// better by, as a part of the shared tokens that nobody is known to keep.
constexpr std::uint64_t AwayFromHomeDivisor = 2;

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

Duration pauseAfter(std::uint32_t Failures) {
  const std::uint32_t Doublings = std::min(Failures, MaxDoublings);
  return std::min(FirstPause * (1U << Doublings), LongestPause);
}

/// The part by which requests are gathered: the deepest that others share. The
/// last part belongs to the request alone.
const PromptPart *sharedPart(const PlacementQuestion &Asked) {
  if (Asked.Parts == nullptr || Asked.Parts->size() < 2)
    return nullptr;
  return &(*Asked.Parts)[Asked.Parts->size() - 2];
}

std::uint64_t sharedTokens(const PlacementQuestion &Asked) {
  std::uint64_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Asked.Parts->size(); ++I)
    Tokens += (*Asked.Parts)[I].Tokens;
  return Tokens;
}

std::uint32_t narrowed(std::uint64_t Tokens) {
  constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Tokens, Most));
}

} // namespace

void ServerBook::setServers(std::shared_ptr<const ServerList> Servers,
                            const GatewayConfiguration *Stated) {
  this->InForce = std::move(Servers);
  for (auto &[Hash, Known] : this->Conditions)
    Known.Server = nullptr;
  for (const auto &[Id, Server] : *this->InForce) {
    Condition &Known = this->Conditions[hashName(Id)];
    Known.Server = &Server;
    Known.Service = hashName(Server.Service);
    Known.Zone = hashName(Server.Zone);
    std::uint64_t Tokens = UnstatedCacheTokens;
    if (Stated != nullptr)
      if (const auto Found = Stated->Services.find(Server.Service);
          Found != Stated->Services.end() && Found->second.EngineTokens > 0)
        Tokens = Found->second.EngineTokens;
    Known.Cache.setCapacity(
        static_cast<std::uint64_t>(static_cast<double>(Tokens) * CachePart));
  }
  std::erase_if(this->Conditions, [](const auto &Known) {
    return Known.second.Server == nullptr && Known.second.Running == 0;
  });
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

std::uint64_t ServerBook::backlogOf(const Condition &Known) {
  return Known.UnreadTokens + Known.Running * RunningCost;
}

std::optional<ServerChoice> ServerBook::place(const PlacementQuestion &Asked) {
  const PromptPart *Shared = sharedPart(Asked);
  std::uint64_t Home = 0;
  std::uint64_t HomeScore = 0;
  bool KeptSomewhere = false;
  if (Shared != nullptr)
    for (const auto &[Hash, Known] : this->Conditions) {
      if (Known.Service != Asked.Service || !this->mayTake(Known))
        continue;
      const std::uint64_t Score = rendezvousScore(Hash, Shared->Id);
      if (Score >= HomeScore) {
        Home = Hash;
        HomeScore = Score;
      }
      KeptSomewhere = KeptSomewhere || Known.Cache.holds(Shared->Id);
    }
  std::optional<ServerChoice> Best;
  std::uint64_t BestCost = std::numeric_limits<std::uint64_t>::max();
  for (const auto &[Hash, Known] : this->Conditions) {
    if (Known.Service != Asked.Service || !this->mayTake(Known) ||
        !this->isSound(Known, Asked.Now))
      continue;
    if (Asked.Excluded != nullptr && Asked.Excluded->contains(Hash))
      continue;
    std::uint64_t Unread = Asked.PromptTokens;
    if (Asked.Parts != nullptr)
      Unread -= std::min(Unread, Known.Cache.kept(*Asked.Parts));
    const std::uint64_t Backlog = backlogOf(Known);
    std::uint64_t Cost = Backlog + Unread;
    if (Known.QueuedTokens > 0)
      Cost += static_cast<std::uint64_t>(Known.QueuedTokens);
    if (Known.Zone != Asked.Zone)
      Cost += OtherZoneCost;
    if (Shared != nullptr && !KeptSomewhere && Hash != Home)
      Cost += sharedTokens(Asked) / AwayFromHomeDivisor;
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = ServerChoice{Hash, narrowed(Unread), narrowed(Backlog)};
    }
  }
  return Best;
}

void ServerBook::noteSent(std::uint64_t Server, std::uint32_t UnreadTokens,
                          const std::vector<PromptPart> &Parts, TimePoint Now) {
  Condition &Known = this->Conditions[Server];
  ++Known.Running;
  Known.UnreadTokens += UnreadTokens;
  Known.LastSent = std::max(Known.LastSent, Now);
  Known.Cache.use(Parts);
}

void ServerBook::noteRead(std::uint64_t Server, std::uint32_t UnreadTokens) {
  Condition &Known = this->Conditions[Server];
  Known.UnreadTokens -=
      std::min<std::uint64_t>(Known.UnreadTokens, UnreadTokens);
}

void ServerBook::noteEnded(std::uint64_t Server, std::uint32_t UnreadTokens,
                           ServerVerdict Verdict, TimePoint Now) {
  Condition &Known = this->Conditions[Server];
  if (Known.Running > 0)
    --Known.Running;
  Known.UnreadTokens -=
      std::min<std::uint64_t>(Known.UnreadTokens, UnreadTokens);
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

void ServerBook::noteHeard(std::uint64_t Server, TimePoint Now) {
  this->Conditions[Server].LastHeard = Now;
}

void ServerBook::noteLoad(std::uint64_t Server, const ServerLoad &Load,
                          TimePoint Now) {
  Condition &Known = this->Conditions[Server];
  Known.Reported = Load;
  Known.ReportedAt = Now;
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
         this->isSound(*Known, Now);
}

const GatewayServer *ServerBook::find(std::uint64_t Server) const {
  const Condition *Known = this->conditionOf(Server);
  return Known == nullptr ? nullptr : Known->Server;
}

std::uint32_t ServerBook::countOf(std::uint64_t Service) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->Conditions.begin(), this->Conditions.end(),
      [this, Service](const auto &Known) {
        return Known.second.Service == Service && this->mayTake(Known.second);
      }));
}

} // namespace parsleywing
