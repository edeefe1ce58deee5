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

/// A part sent to a server no longer ago than this is taken to be cached there.
/// Engines drop the least recently used parts; with memory for some thirty
/// prompts beside the running ones, an unused part lives for several seconds.
constexpr Duration PartMemory = std::chrono::seconds(8);
constexpr std::size_t MaxPartsRemembered = 4096;

/// A reported load older than this says nothing any more.
constexpr Duration ReportLife = std::chrono::milliseconds(1500);

/// How long a failed server is left alone: doubled with each failure in a row.
constexpr Duration FirstPause = std::chrono::milliseconds(250);
constexpr Duration LongestPause = std::chrono::seconds(4);
/// Failures in a row before a server that does answer is left alone. A sound
/// server answers some requests with an error of its own.
constexpr std::uint32_t FailuresBeforePause = 3;

/// A server that holds requests of this router and has sent nothing for so
/// long is taken to be unreachable until it is heard again.
constexpr Duration SilenceLimit = std::chrono::milliseconds(700);

Duration pauseAfter(std::uint32_t Failures) {
  const std::uint32_t Doublings = std::min<std::uint32_t>(Failures, 5);
  return std::min(FirstPause * (1U << Doublings), LongestPause);
}

/// The part by which requests are gathered: the deepest that others share. The
/// last part belongs to the request alone.
const PromptPart *sharedPart(const PlacementQuestion &Asked) {
  if (Asked.Parts == nullptr || Asked.Parts->size() < 2)
    return nullptr;
  return &(*Asked.Parts)[Asked.Parts->size() - 2];
}

} // namespace

void ServerBook::setServers(std::shared_ptr<const ServerList> Servers) {
  this->InForce = std::move(Servers);
  std::erase_if(this->Conditions, [this](const auto &Known) {
    return Known.second.Running == 0 && !this->InForce->contains(Known.first);
  });
}

bool ServerBook::usable(const Condition &Known, TimePoint Now) const {
  if (Known.AvoidUntil > Now)
    return false;
  const bool Waiting = Known.Running > 0 && Known.LastSent > Known.LastHeard;
  return !Waiting ||
         Now - std::max(Known.LastHeard, Known.LastSent) < SilenceLimit;
}

std::uint64_t ServerBook::backlogOf(const Condition &Known,
                                    TimePoint Now) const {
  std::uint64_t Tokens = Known.UnreadTokens + Known.Running * RunningCost;
  if (Now - Known.ReportedAt < ReportLife)
    Tokens += Known.Reported.Running * RunningCost;
  return Tokens;
}

std::uint64_t ServerBook::unreadAt(const Condition &Known,
                                   const PlacementQuestion &Asked) const {
  std::uint64_t Cached = 0;
  for (const PromptPart &Part : *Asked.Parts) {
    const auto Found = Known.Parts.find(Part.Id);
    if (Found == Known.Parts.end() || Asked.Now - Found->second > PartMemory)
      break;
    Cached += Part.Tokens;
  }
  return Asked.PromptTokens - std::min(Asked.PromptTokens, Cached);
}

std::optional<ServerChoice> ServerBook::place(const PlacementQuestion &Asked) {
  const PromptPart *Shared = sharedPart(Asked);
  const std::uint64_t Gathered = Shared == nullptr ? 0 : hashName(Shared->Id);
  // The first of the rendezvous order is taken to hold the part, also where
  // this router has not sent it there: another one has.
  const GatewayServer *Home = nullptr;
  std::uint64_t HomeScore = 0;
  for (const auto &[Id, Server] : *this->InForce) {
    if (Shared == nullptr)
      break;
    if (Server.Service != Asked.Service || Server.Draining)
      continue;
    const std::uint64_t Score = rendezvousScore(hashName(Id), Gathered);
    if (Home == nullptr || Score > HomeScore) {
      Home = &Server;
      HomeScore = Score;
    }
  }
  std::optional<ServerChoice> Best;
  std::uint64_t BestCost = std::numeric_limits<std::uint64_t>::max();
  for (const auto &[Id, Server] : *this->InForce) {
    if (Server.Service != Asked.Service || Server.Draining)
      continue;
    if (Asked.Excluded != nullptr && Asked.Excluded->contains(Id))
      continue;
    const Condition &Known = this->Conditions[Id];
    if (!this->usable(Known, Asked.Now))
      continue;
    std::uint64_t Unread = Asked.PromptTokens;
    if (&Server == Home && Asked.Parts != nullptr)
      Unread = std::min(Unread, Asked.Parts->back().Tokens);
    else if (Asked.Parts != nullptr)
      Unread = this->unreadAt(Known, Asked);
    const std::uint64_t Backlog = this->backlogOf(Known, Asked.Now);
    const std::uint64_t Cost =
        Backlog + Unread + (Server.Zone == Asked.Zone ? 0 : OtherZoneCost);
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = ServerChoice{Id, Unread, Backlog};
    }
  }
  return Best;
}

void ServerBook::noteSent(const std::string &ServerId,
                          std::uint64_t UnreadTokens,
                          const std::vector<PromptPart> &Parts, TimePoint Now) {
  Condition &Known = this->Conditions[ServerId];
  ++Known.Running;
  Known.UnreadTokens += UnreadTokens;
  Known.LastSent = std::max(Known.LastSent, Now);
  for (std::size_t I = 0; I + 1 < Parts.size(); ++I)
    Known.Parts[Parts[I].Id] = Now;
  this->forgetParts(Known, Now);
}

void ServerBook::forgetParts(Condition &Known, TimePoint Now) {
  if (Known.Parts.size() <= MaxPartsRemembered)
    return;
  std::erase_if(Known.Parts, [Now](const auto &Part) {
    return Now - Part.second > PartMemory;
  });
}

void ServerBook::noteFirstPiece(const std::string &ServerId,
                                std::uint64_t UnreadTokens) {
  Condition &Known = this->Conditions[ServerId];
  Known.UnreadTokens -= std::min(Known.UnreadTokens, UnreadTokens);
}

void ServerBook::noteEnded(const std::string &ServerId,
                           std::uint64_t UnreadTokens, ServerVerdict Verdict,
                           TimePoint Now) {
  Condition &Known = this->Conditions[ServerId];
  if (Known.Running > 0)
    --Known.Running;
  Known.UnreadTokens -= std::min(Known.UnreadTokens, UnreadTokens);
  if (Verdict == ServerVerdict::Sound) {
    Known.FailuresInRow = 0;
    Known.AvoidUntil = TimePoint{};
    return;
  }
  ++Known.FailuresInRow;
  const bool Answers =
      Verdict == ServerVerdict::Failed || Verdict == ServerVerdict::Full;
  if (Answers && Known.FailuresInRow < FailuresBeforePause)
    return;
  Known.AvoidUntil = Now + pauseAfter(Known.FailuresInRow);
}

void ServerBook::noteHeard(const std::string &ServerId, TimePoint Now) {
  this->Conditions[ServerId].LastHeard = Now;
}

void ServerBook::noteLoad(const std::string &ServerId, const ServerLoad &Load,
                          TimePoint Now) {
  Condition &Known = this->Conditions[ServerId];
  Known.Reported = Load;
  Known.ReportedAt = Now;
}

bool ServerBook::heardSince(const std::string &ServerId,
                            TimePoint Moment) const {
  const auto Found = this->Conditions.find(ServerId);
  return Found != this->Conditions.end() && Found->second.LastHeard > Moment;
}

std::uint32_t ServerBook::running(const std::string &ServerId) const {
  const auto Found = this->Conditions.find(ServerId);
  return Found == this->Conditions.end() ? 0 : Found->second.Running;
}

bool ServerBook::anyUsable(const std::string &Service, TimePoint Now) const {
  for (const auto &[Id, Server] : *this->InForce) {
    if (Server.Service != Service || Server.Draining)
      continue;
    const auto Found = this->Conditions.find(Id);
    if (Found == this->Conditions.end() || this->usable(Found->second, Now))
      return true;
  }
  return false;
}

} // namespace parsleywing
