#include "Placement/Allocator.h"

#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

/// The time for which a server's unread prompts may keep it busy. Longer queues
/// at the engines make requests late that could be on time elsewhere or later;
/// shorter ones let an engine run dry between a grant and its arrival, some
/// 10 ms.
constexpr double RoomMs = 200;

/// A send that its router has not told of for so long has ended unseen.
constexpr Duration OpenLife = std::chrono::milliseconds(1500);
constexpr Duration ExpiryInterval = std::chrono::milliseconds(100);

constexpr std::uint64_t LeastRoomTokens = 1024;

/// Without an ask for so long, another router may have allocated the servers:
/// what they keep has to be asked for. A service with less than one request in
/// this time has little to gain by a cache.
constexpr Duration KnowledgeLife = std::chrono::seconds(4);

} // namespace

Allocator::Allocator(AllocatorChoices C) : Choices(C) {
  // The answers are read by the routers; here nothing is ever heard.
  this->Servers.judgeSilence(false);
}

void Allocator::setServers(const std::shared_ptr<const ServerList> &Listed,
                           const GatewayConfiguration *Stated,
                           const ServerGroups &Groups, const ViewMoment &At) {
  this->Servers.setServers(Listed, Stated, &Groups, At);
  this->dropLostSends();
  this->ServiceOf.clear();
  if (Stated == nullptr)
    return;
  std::uint32_t Engines = 0;
  for (const auto &[Id, Server] : *Listed) {
    this->ServiceOf[hashName(Id)] = Groups.groupOf(Id, Server.Service);
    const auto Known = Stated->Services.find(Server.Service);
    const bool IsEngine =
        Known != Stated->Services.end() && Known->second.EngineTokens > 0;
    if (IsEngine && !Server.Draining)
      ++Engines;
  }
  if (Engines == 0 || Stated->Limits.TokensPerSecond == 0)
    return;
  AllocationLimits Made;
  Made.ReadPerMs =
      static_cast<double>(Stated->Limits.TokensPerSecond) / Engines / 1000.0;
  Made.RoomTokens = std::max<std::uint64_t>(
      static_cast<std::uint64_t>(Made.ReadPerMs * RoomMs), LeastRoomTokens);
  for (const auto &[Id, Server] : *Listed) {
    const auto Known = Stated->Services.find(Server.Service);
    if (Known == Stated->Services.end())
      continue;
    if (this->Choices.FetchKept)
      Made.Fetch = fetchCostOf(Known->second, Made.ReadPerMs);
    this->Limits[this->ServiceOf.at(hashName(Id))] = Made;
  }
}

AllocationLimits Allocator::limitsOf(std::uint64_t Service) const {
  const auto Found = this->Limits.find(Service);
  return Found == this->Limits.end() ? AllocationLimits{} : Found->second;
}

void Allocator::handle(const RouterMessage &Message, TimePoint Now) {
  std::visit([this, Now](const auto &M) { this->take(M, Now); }, Message);
}

/// An allocator that takes servers over believes that they keep nothing, and
/// has all that they keep read again elsewhere.
void Allocator::noteAsked(std::uint64_t Service, TimePoint Now) {
  const auto [Last, Fresh] = this->LastAsked.try_emplace(Service, Now);
  const bool Continues = !Fresh && Now - Last->second < KnowledgeLife;
  Last->second = Now;
  if (Continues || !this->limitsOf(Service).Fetch.PerToken)
    return;
  for (const auto &[Server, Group] : this->ServiceOf)
    if (Group == Service && this->Servers.usable(Server, Now))
      this->Unknown.push_back(Server);
}

std::vector<std::uint64_t> Allocator::takeUnknown() {
  return std::exchange(this->Unknown, {});
}

std::vector<RouterMessage> Allocator::takeAnswers() {
  return std::exchange(this->Answers, {});
}

double Allocator::lowestPosition(std::uint64_t Service) const {
  double Lowest = 0;
  bool Any = false;
  for (const auto &[Key, State] : this->Accounts) {
    if (Key.first != Service || State.Queue.empty())
      continue;
    Lowest = Any ? std::min(Lowest, State.Position) : State.Position;
    Any = true;
  }
  return Lowest;
}

void Allocator::take(const ServerAsk &Ask, TimePoint Now) {
  // Asked again since the answer was lost or late.
  if (const auto Known = this->Open.find(Ask.Id); Known != this->Open.end()) {
    this->Answers.emplace_back(ServerGranted{
        Ask.Id, Known->second.Server, Known->second.Work.UnreadTokens, 0,
        Known->second.Work.ServerStartedMs, Known->second.Source,
        Known->second.SendWithinMs});
    return;
  }
  if (this->Waiting.contains(Ask.Id)) {
    this->Answers.emplace_back(AskQueued{Ask.Id});
    return;
  }
  this->noteAsked(Ask.Service, Now);
  WaitingAsk Asked;
  Asked.Ask = Ask;
  Asked.Arrived = Now;
  Asked.OnTimeUntil = Now + std::chrono::milliseconds(Ask.OnTimeForMs);
  Asked.GiveUpAt = Now + std::chrono::milliseconds(Ask.WaitForMs);
  Asked.Late = Ask.OnTimeForMs <= 0;
  Asked.CameLate = Asked.Late;
  Asked.Excluded.insert(Ask.Excluded.begin(), Ask.Excluded.end());
  const AccountKey Key{Ask.Service, Ask.Account};
  AccountState &State = this->Accounts[Key];
  // An account that asked for nothing meanwhile has saved nothing up.
  if (State.Queue.empty())
    State.Position =
        std::max(State.Position, this->lowestPosition(Ask.Service));
  Asked.Number = ++this->LastNumber;
  const bool IsBehind = !State.Queue.empty() &&
                        State.Queue.begin()->first <= this->orderOf(Asked);
  // One that was sent before may have run, and its answer have begun: refused,
  // it would fail or be cut off, so it waits while there is hope.
  const bool IsNew = Ask.Excluded.empty();
  if (this->Choices.RefuseVain && IsNew && IsBehind &&
      State.vain(Asked.Late).isVain(this->orderOf(Asked), Now)) {
    this->refuse(Ask);
    return;
  }
  State.Queue.emplace(this->orderOf(Asked), Ask.Id);
  ++this->WaitingFor[Ask.Service];
  this->Waiting.emplace(Ask.Id, std::move(Asked));
  this->dispatch(Now);
  if (this->Waiting.contains(Ask.Id))
    this->Answers.emplace_back(AskQueued{Ask.Id});
}

void Allocator::take(const AskWithdrawn &Message, TimePoint Now) {
  this->removeWaiting(Message.Id);
  this->take(GrantEnded{Message.Id, ServerVerdict::Sound}, Now);
}

void Allocator::take(const GrantBegan &Message, TimePoint) {
  const auto Found = this->Open.find(Message.Id);
  if (Found == this->Open.end())
    return;
  this->Servers.noteRead(Found->second.Server, Found->second.Work,
                         Found->second.Parts);
  Found->second.Work.UnreadTokens = 0;
}

void Allocator::take(const GrantEnded &Message, TimePoint Now) {
  const auto Found = this->Open.find(Message.Id);
  if (Found == this->Open.end())
    return;
  this->Servers.noteEnded(Found->second.Server, Found->second.Work,
                          Found->second.Parts, Message.Verdict, Now);
  this->Open.erase(Found);
}

void Allocator::dropLostSends() {
  std::erase_if(this->Open, [this](const auto &Each) {
    return Each.second.Work.ServerStartedMs <
           this->Servers.startOf(Each.second.Server);
  });
}

void Allocator::take(const SendOpen &Message, TimePoint Now) {
  const std::int64_t Known = this->Servers.startOf(Message.Server);
  if (Message.ServerStartedMs > Known) {
    this->Servers.noteStart(Message.Server, Message.ServerStartedMs);
    this->dropLostSends();
  }
  // Sent to a process that is gone. A send that was granted here is to the
  // present one, whatever its router has heard.
  if (Message.ServerStartedMs < Known && !this->Open.contains(Message.Id))
    return;
  const auto [Found, Fresh] = this->Open.try_emplace(
      Message.Id, OpenSend{Message.Server,
                           0,
                           {Message.UnreadTokens, Message.OutputTokens,
                            Message.ServerStartedMs},
                           Now});
  if (Fresh) {
    this->Servers.noteSent(Message.Server, Found->second.Work, {}, Now);
    return;
  }
  // Its router has sent it elsewhere since.
  if (Found->second.Server != Message.Server) {
    this->take(GrantEnded{Message.Id, ServerVerdict::Sound}, Now);
    this->take(Message, Now);
    return;
  }
  Found->second.LastTold = Now;
  if (Message.UnreadTokens == 0)
    this->take(GrantBegan{Message.Id}, Now);
}

void Allocator::tick(TimePoint Now) {
  if (Now - this->LastExpiry >= ExpiryInterval) {
    this->LastExpiry = Now;
    this->expireOpen(Now);
  }
  this->expireWaiting(Now);
  this->dispatch(Now);
}

void Allocator::expireOpen(TimePoint Now) {
  for (auto Each = this->Open.begin(); Each != this->Open.end();) {
    if (Now - Each->second.LastTold < OpenLife) {
      ++Each;
      continue;
    }
    this->Servers.noteEnded(Each->second.Server, Each->second.Work,
                            Each->second.Parts, ServerVerdict::Sound, Now);
    Each = this->Open.erase(Each);
  }
}

void Allocator::expireWaiting(TimePoint Now) {
  std::vector<AskId> Over;
  for (auto &[Id, Asked] : this->Waiting) {
    const double Reading =
        Asked.MeantTokens / this->limitsOf(Asked.Ask.Service).ReadPerMs;
    const Duration Needed{static_cast<Duration::rep>(Reading * 1000)};
    if (Now >= Asked.GiveUpAt)
      Over.push_back(Id);
    else if (Now + Needed >= Asked.OnTimeUntil)
      Asked.Late = true;
  }
  for (const AskId &Id : Over) {
    const WaitingAsk &Asked = this->Waiting.at(Id);
    this->Accounts[{Asked.Ask.Service, Asked.Ask.Account}]
        .vain(Asked.CameLate)
        .noteVain(this->orderOf(Asked), Now);
    this->refuse(Asked.Ask);
    this->removeWaiting(Id);
  }
}

void Allocator::removeWaiting(const AskId &Id) {
  const auto Found = this->Waiting.find(Id);
  if (Found == this->Waiting.end())
    return;
  this->meanFor(Found->second, 0, 0);
  const AccountKey Key{Found->second.Ask.Service, Found->second.Ask.Account};
  this->Accounts[Key].Queue.erase({this->orderOf(Found->second), Id});
  const auto Count = this->WaitingFor.find(Found->second.Ask.Service);
  if (--Count->second == 0)
    this->WaitingFor.erase(Count);
  this->Waiting.erase(Found);
}

} // namespace parsleywing
