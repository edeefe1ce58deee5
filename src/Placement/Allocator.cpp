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

Allocator::Allocator(AllocatorOptions C) : Options(C) {
  // The answers are read by the routers; here nothing is ever heard.
  this->Servers.setSilenceDetection(false);
}

void Allocator::setServers(const std::shared_ptr<const ServerList> &Listed,
                           const GatewayConfiguration *Stated,
                           const ServerGroups &Groups, const ViewTime &At) {
  this->Servers.setServers(Listed, Stated, &Groups, At);
  this->dropLostGrants();
  this->ServiceOf.clear();
  if (Stated == nullptr)
    return;
  std::uint32_t Engines = 0;
  for (const auto &[Id, Server] : *Listed) {
    this->ServiceOf[hashName(Id)] = Groups.groupOfServer(Id, Server.Service);
    const auto Known = Stated->Services.find(Server.Service);
    const bool IsEngine =
        Known != Stated->Services.end() && Known->second.KvCapacityTokens > 0;
    if (IsEngine && !Server.Draining)
      ++Engines;
  }
  if (Engines == 0 || Stated->Limits.TokensPerSecond == 0)
    return;
  AllocationLimits Made;
  Made.PrefillTokensPerMs =
      static_cast<double>(Stated->Limits.TokensPerSecond) / Engines / 1000.0;
  Made.MaxPendingPrefillTokens = std::max<std::uint64_t>(
      static_cast<std::uint64_t>(Made.PrefillTokensPerMs * RoomMs),
      LeastRoomTokens);
  for (const auto &[Id, Server] : *Listed) {
    const auto Known = Stated->Services.find(Server.Service);
    if (Known == Stated->Services.end())
      continue;
    if (this->Options.FetchCached)
      Made.Fetch = fetchCostOf(Known->second, Made.PrefillTokensPerMs);
    this->Limits[this->ServiceOf.at(hashName(Id))] = Made;
  }
}

AllocationLimits Allocator::limitsOf(std::uint64_t Service) const {
  const auto Found = this->Limits.find(Service);
  return Found == this->Limits.end() ? AllocationLimits{} : Found->second;
}

void Allocator::handle(const RouterMessage &Message, TimePoint Now) {
  std::visit([this, Now](const auto &M) { this->process(M, Now); }, Message);
}

/// An allocator that takes servers over believes that they keep nothing, and
/// has all that they keep read again elsewhere.
void Allocator::recordRequest(std::uint64_t Service, TimePoint Now) {
  const auto [Last, Fresh] = this->LastRequestAt.try_emplace(Service, Now);
  const bool Continues = !Fresh && Now - Last->second < KnowledgeLife;
  Last->second = Now;
  if (Continues || !this->limitsOf(Service).Fetch.PerToken)
    return;
  for (const auto &[Server, Group] : this->ServiceOf)
    if (Group == Service && this->Servers.usable(Server, Now))
      this->UnknownCaches.push_back(Server);
}

std::vector<std::uint64_t> Allocator::takeUnknownCaches() {
  return std::exchange(this->UnknownCaches, {});
}

std::vector<RouterMessage> Allocator::takeReplies() {
  return std::exchange(this->Replies, {});
}

double Allocator::lowestVirtualTime(std::uint64_t Service) const {
  double Lowest = 0;
  bool Any = false;
  for (const auto &[Key, State] : this->Accounts) {
    if (Key.first != Service || State.Queue.empty())
      continue;
    Lowest = Any ? std::min(Lowest, State.VirtualTime) : State.VirtualTime;
    Any = true;
  }
  return Lowest;
}

void Allocator::process(const AllocationRequest &Ask, TimePoint Now) {
  // Asked again since the answer was lost or late.
  if (const auto Known = this->ActiveGrants.find(Ask.Id);
      Known != this->ActiveGrants.end()) {
    this->Replies.emplace_back(AllocationGrant{
        Ask.Id, Known->second.Server, Known->second.Load.PrefillTokens, 0,
        Known->second.Load.ServerStartedMs, Known->second.FetchSource,
        Known->second.SendWithinMs});
    return;
  }
  if (this->QueuedRequests.contains(Ask.Id)) {
    this->Replies.emplace_back(AllocationQueued{Ask.Id});
    return;
  }
  this->recordRequest(Ask.Service, Now);
  QueuedRequest Asked;
  Asked.Request = Ask;
  Asked.ArrivedAt = Now;
  Asked.ObjectiveDeadline =
      Now + std::chrono::milliseconds(Ask.ObjectiveLeftMs);
  Asked.WaitDeadline = Now + std::chrono::milliseconds(Ask.MaxWaitMs);
  Asked.Late = Ask.ObjectiveLeftMs <= 0;
  Asked.ArrivedLate = Asked.Late;
  Asked.ExcludedServers.insert(Ask.ExcludedServers.begin(),
                               Ask.ExcludedServers.end());
  const AccountKey Key{Ask.Service, Ask.Account};
  AccountState &State = this->Accounts[Key];
  // An account that asked for nothing meanwhile has saved nothing up.
  if (State.Queue.empty())
    State.VirtualTime =
        std::max(State.VirtualTime, this->lowestVirtualTime(Ask.Service));
  Asked.ArrivalNumber = ++this->LastArrivalNumber;
  const bool IsBehind = !State.Queue.empty() &&
                        State.Queue.begin()->first <= this->queueKey(Asked);
  // One that was sent before may have run, and its answer have begun: refused,
  // it would fail or be cut off, so it waits while there is hope.
  const bool IsNew = Ask.ExcludedServers.empty();
  if (this->Options.RefuseLikelyTimeouts && IsNew && IsBehind &&
      State.timeouts(Asked.Late).wouldTimeOut(this->queueKey(Asked), Now)) {
    this->refuse(Ask);
    return;
  }
  State.Queue.emplace(this->queueKey(Asked), Ask.Id);
  ++this->QueuedCounts[Ask.Service];
  this->QueuedRequests.emplace(Ask.Id, std::move(Asked));
  this->dispatch(Now);
  if (this->QueuedRequests.contains(Ask.Id))
    this->Replies.emplace_back(AllocationQueued{Ask.Id});
}

void Allocator::process(const AllocationCancelled &Message, TimePoint Now) {
  this->removeQueued(Message.Id);
  this->process(GrantEnded{Message.Id, ServerVerdict::Healthy}, Now);
}

void Allocator::process(const GrantStarted &Message, TimePoint) {
  const auto Found = this->ActiveGrants.find(Message.Id);
  if (Found == this->ActiveGrants.end())
    return;
  this->Servers.recordPrefilled(Found->second.Server, Found->second.Load,
                                Found->second.Parts);
  Found->second.Load.PrefillTokens = 0;
}

void Allocator::process(const GrantEnded &Message, TimePoint Now) {
  const auto Found = this->ActiveGrants.find(Message.Id);
  if (Found == this->ActiveGrants.end())
    return;
  this->Servers.recordEnded(Found->second.Server, Found->second.Load,
                            Found->second.Parts, Message.Verdict, Now);
  this->ActiveGrants.erase(Found);
}

void Allocator::dropLostGrants() {
  std::erase_if(this->ActiveGrants, [this](const auto &Each) {
    return Each.second.Load.ServerStartedMs <
           this->Servers.startOf(Each.second.Server);
  });
}

void Allocator::process(const GrantActive &Message, TimePoint Now) {
  const std::int64_t Known = this->Servers.startOf(Message.Server);
  if (Message.ServerStartedMs > Known) {
    this->Servers.recordStart(Message.Server, Message.ServerStartedMs);
    this->dropLostGrants();
  }
  // Sent to a process that is gone. A send that was granted here is to the
  // present one, whatever its router has heard.
  if (Message.ServerStartedMs < Known &&
      !this->ActiveGrants.contains(Message.Id))
    return;
  const auto [Found, Fresh] = this->ActiveGrants.try_emplace(
      Message.Id, ActiveGrant{Message.Server,
                              0,
                              {Message.PrefillTokens, Message.OutputTokens,
                               Message.ServerStartedMs},
                              Now});
  if (Fresh) {
    this->Servers.recordSent(Message.Server, Found->second.Load, {}, Now);
    return;
  }
  // Its router has sent it elsewhere since.
  if (Found->second.Server != Message.Server) {
    this->process(GrantEnded{Message.Id, ServerVerdict::Healthy}, Now);
    this->process(Message, Now);
    return;
  }
  Found->second.LastReported = Now;
  if (Message.PrefillTokens == 0)
    this->process(GrantStarted{Message.Id}, Now);
}

void Allocator::tick(TimePoint Now) {
  if (Now - this->LastExpiry >= ExpiryInterval) {
    this->LastExpiry = Now;
    this->expireGrants(Now);
  }
  this->expireQueued(Now);
  this->dispatch(Now);
}

void Allocator::expireGrants(TimePoint Now) {
  for (auto Each = this->ActiveGrants.begin();
       Each != this->ActiveGrants.end();) {
    if (Now - Each->second.LastReported < OpenLife) {
      ++Each;
      continue;
    }
    this->Servers.recordEnded(Each->second.Server, Each->second.Load,
                              Each->second.Parts, ServerVerdict::Healthy, Now);
    Each = this->ActiveGrants.erase(Each);
  }
}

void Allocator::expireQueued(TimePoint Now) {
  std::vector<CorrelationId> Over;
  for (auto &[Id, Asked] : this->QueuedRequests) {
    const double Reading =
        Asked.PlannedTokens /
        this->limitsOf(Asked.Request.Service).PrefillTokensPerMs;
    const Duration Needed{static_cast<Duration::rep>(Reading * 1000)};
    if (Now >= Asked.WaitDeadline)
      Over.push_back(Id);
    else if (Now + Needed >= Asked.ObjectiveDeadline)
      Asked.Late = true;
  }
  for (const CorrelationId &Id : Over) {
    const QueuedRequest &Asked = this->QueuedRequests.at(Id);
    this->Accounts[{Asked.Request.Service, Asked.Request.Account}]
        .timeouts(Asked.ArrivedLate)
        .recordTimeout(this->queueKey(Asked), Now);
    this->refuse(Asked.Request);
    this->removeQueued(Id);
  }
}

void Allocator::removeQueued(const CorrelationId &Id) {
  const auto Found = this->QueuedRequests.find(Id);
  if (Found == this->QueuedRequests.end())
    return;
  this->planFor(Found->second, 0, 0);
  const AccountKey Key{Found->second.Request.Service,
                       Found->second.Request.Account};
  this->Accounts[Key].Queue.erase({this->queueKey(Found->second), Id});
  const auto Count = this->QueuedCounts.find(Found->second.Request.Service);
  if (--Count->second == 0)
    this->QueuedCounts.erase(Count);
  this->QueuedRequests.erase(Found);
}

} // namespace parsleywing
