#include "Placement/Allocator.h"

#include <Poco/NumberFormatter.h>
#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

/// The maximum pending prefill work of a server. Longer queues at an engine
/// delay requests that could meet their objective elsewhere or later. Shorter
/// queues let the engine idle between a grant and the arrival of its request,
/// which takes about 10 ms.
constexpr double MaxPendingPrefillMs = 200;

/// An attempt that its router has not reported for this time has ended, and the
/// report of its end was lost. Routers report each active attempt every 250 ms.
constexpr Duration GrantReportTimeout = std::chrono::milliseconds(1500);
/// How often `tick` looks for such attempts.
constexpr Duration ExpiryInterval = std::chrono::milliseconds(100);

/// The weight of a new measurement in `GrantTimes`.
constexpr double GrantTimeWeight = 0.05;

/// The lower bound of `MaxPendingPrefillTokens`, for slow engines.
constexpr std::uint64_t MinPendingPrefillTokens = 1024;

/// Without a request for this time, another router may have allocated the
/// servers, so their cache contents have to be queried. A group with less than
/// one request in this time benefits little from a cache.
constexpr Duration CacheKnowledgeLifetime = std::chrono::seconds(4);

} // namespace

Allocator::Allocator(AllocatorOptions O) : Options(O) {
  // The routers receive the responses, so silence cannot be detected here.
  this->Servers.setSilenceDetection(false);
  if (this->Options.WeighCachedPrompts)
    this->Servers.trackMemory();
}

void Allocator::setServers(const std::shared_ptr<const ServerList> &Listed,
                           const GatewayConfiguration *Configuration,
                           const ServerGroups &Groups, const ViewTime &Time) {
  this->Servers.setServers(Listed, Configuration, &Groups, Time);
  this->dropGrantsOfEarlierProcesses();
  this->GroupOf.clear();
  if (Configuration == nullptr)
    return;
  this->updateAccountNames(*Configuration);
  std::uint32_t Engines = 0;
  for (const auto &[Id, Server] : *Listed) {
    this->GroupOf[hashName(Id)] = Groups.groupOfServer(Id, Server.Service);
    const auto Service = Configuration->Services.find(Server.Service);
    const bool IsEngine = Service != Configuration->Services.end() &&
                          Service->second.KvCapacityTokens > 0;
    if (IsEngine && !Server.Draining)
      ++Engines;
  }
  if (Engines == 0 || Configuration->Limits.TokensPerSecond == 0)
    return;
  AllocationParameters Assumed;
  Assumed.PrefillTokensPerMs =
      static_cast<double>(Configuration->Limits.TokensPerSecond) / Engines /
      1000.0;
  Assumed.MaxPendingPrefillTokens = std::max<std::uint64_t>(
      static_cast<std::uint64_t>(Assumed.PrefillTokensPerMs *
                                 MaxPendingPrefillMs),
      MinPendingPrefillTokens);
  for (const auto &[Id, Server] : *Listed) {
    const auto Service = Configuration->Services.find(Server.Service);
    if (Service == Configuration->Services.end())
      continue;
    if (this->Options.FetchCached)
      Assumed.Fetch = fetchCostOf(Service->second, Assumed.PrefillTokensPerMs);
    Assumed.StatesMemory = Service->second.KvCapacityTokens > 0;
    this->Parameters[this->GroupOf.at(hashName(Id))] = Assumed;
  }
}

void Allocator::updateAccountNames(const GatewayConfiguration &Configuration) {
  if (Configuration.Version == this->NamesVersion)
    return;
  this->NamesVersion = Configuration.Version;
  this->AccountNames.clear();
  for (const auto &[Key, Account] : Configuration.AccountOfKey)
    this->AccountNames.try_emplace(hashName(Account), Account);
}

AllocationParameters Allocator::parametersOf(std::uint64_t Group) const {
  const auto Found = this->Parameters.find(Group);
  return Found == this->Parameters.end() ? AllocationParameters{}
                                         : Found->second;
}

std::string Allocator::countKey(const AllocationRequest &Request) const {
  const auto Name = this->AccountNames.find(Request.Account);
  return (Name == this->AccountNames.end()
              ? Poco::NumberFormatter::formatHex(Request.Account)
              : Name->second) +
         "@" + Poco::NumberFormatter::formatHex(Request.Group);
}

void Allocator::handle(const RouterMessage &Message, TimePoint Now) {
  std::visit([this, Now](const auto &M) { this->process(M, Now); }, Message);
}

/// An allocator that takes over servers would otherwise consider their caches
/// empty and have cached parts prefilled again at other servers.
void Allocator::checkCacheKnowledge(std::uint64_t Group, TimePoint Now) {
  const auto [Last, Inserted] = this->LastRequestAt.try_emplace(Group, Now);
  const bool StillKnown =
      !Inserted && Now - Last->second < CacheKnowledgeLifetime;
  Last->second = Now;
  if (StillKnown || !this->parametersOf(Group).Fetch.PerToken)
    return;
  for (const auto &[Server, ServerGroup] : this->GroupOf)
    if (ServerGroup == Group && this->Servers.usable(Server, Now))
      this->UnknownCaches.push_back(Server);
}

std::vector<std::uint64_t> Allocator::takeUnknownCaches() {
  return std::exchange(this->UnknownCaches, {});
}

std::vector<RouterMessage> Allocator::takeReplies() {
  return std::exchange(this->Replies, {});
}

double Allocator::lowestOf(std::uint64_t Group,
                           double AccountState::*Time) const {
  double Lowest = 0;
  bool Any = false;
  for (const auto &[Key, State] : this->Accounts) {
    if (Key.first != Group || State.Queue.empty())
      continue;
    Lowest = Any ? std::min(Lowest, State.*Time) : State.*Time;
    Any = true;
  }
  return Lowest;
}

void Allocator::process(const AllocationRequest &Request, TimePoint Now) {
  // The router repeats a request whose reply was lost or is late.
  if (const auto Granted = this->ActiveGrants.find(Request.Id);
      Granted != this->ActiveGrants.end()) {
    this->Replies.emplace_back(AllocationGrant{
        Request.Id, Granted->second.Server, Granted->second.Load.PrefillTokens,
        0, Granted->second.Load.ServerStartedMs, Granted->second.FetchSource,
        Granted->second.SendWithinMs});
    return;
  }
  if (this->QueuedRequests.contains(Request.Id)) {
    this->Replies.emplace_back(AllocationQueued{Request.Id});
    return;
  }
  this->checkCacheKnowledge(Request.Group, Now);
  this->CountsByAccount.recordAsked(
      countKey(Request), static_cast<std::uint64_t>(usageOf(Request)));
  QueuedRequest Queued;
  Queued.Request = Request;
  Queued.ArrivedAt = Now;
  Queued.ObjectiveDeadline =
      Now + std::chrono::milliseconds(Request.ObjectiveLeftMs);
  Queued.WaitDeadline = Now + std::chrono::milliseconds(Request.MaxWaitMs);
  Queued.Late = Request.ObjectiveLeftMs <= 0;
  Queued.ArrivedLate = Queued.Late;
  Queued.ExcludedServers.insert(Request.ExcludedServers.begin(),
                                Request.ExcludedServers.end());
  const AccountKey Key{Request.Group, Request.Account};
  AccountState &State = this->Accounts[Key];
  State.VirtualTime += Request.UsedElsewhere;
  // An idle account does not accumulate credit.
  if (State.Queue.empty())
    for (const auto Time :
         {&AccountState::VirtualTime, &AccountState::GroupTime})
      State.*Time = std::max(State.*Time, this->lowestOf(Request.Group, Time));
  Queued.ArrivalNumber = ++this->LastArrivalNumber;
  const bool QueuesBehindOthers =
      !State.Queue.empty() &&
      State.Queue.begin()->first <= this->sortKeyOf(Queued);
  // A request with an earlier attempt may have run, and its response may have
  // started. A refusal would make it fail or truncate the response, so it waits
  // as long as it can still be served.
  const bool IsNew = Request.ExcludedServers.empty();
  if (this->Options.RefuseLikelyTimeouts && IsNew && QueuesBehindOthers &&
      State.timeouts(Queued.Late).wouldTimeOut(this->sortKeyOf(Queued), Now)) {
    this->refuse(Request, "would-time-out");
    return;
  }
  State.Queue.emplace(this->sortKeyOf(Queued), Request.Id);
  ++this->QueuedCounts[Request.Group];
  this->QueuedRequests.emplace(Request.Id, std::move(Queued));
  this->dispatch(Now);
  if (this->QueuedRequests.contains(Request.Id))
    this->Replies.emplace_back(AllocationQueued{Request.Id});
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
  const auto Group = this->GroupOf.find(Found->second.Server);
  if (Group != this->GroupOf.end() && Found->second.GrantedAt != TimePoint{}) {
    const double Measured =
        std::chrono::duration<double, std::milli>(Now - Found->second.GrantedAt)
            .count();
    const auto [Mean, Inserted] =
        this->GrantTimes.try_emplace(Group->second, Measured);
    Mean->second += GrantTimeWeight * (Measured - Mean->second);
  }
  this->ActiveGrants.erase(Found);
}

void Allocator::dropGrantsOfEarlierProcesses() {
  std::erase_if(this->ActiveGrants, [this](const auto &Each) {
    return Each.second.Load.ServerStartedMs <
           this->Servers.startOf(Each.second.Server);
  });
}

void Allocator::process(const GrantActive &Message, TimePoint Now) {
  const std::int64_t KnownStart = this->Servers.startOf(Message.Server);
  if (Message.ServerStartedMs > KnownStart) {
    this->Servers.recordStart(Message.Server, Message.ServerStartedMs);
    this->dropGrantsOfEarlierProcesses();
  }
  // The attempt was sent to an earlier process. A grant of this allocator is
  // for the current process, even if the router does not know of the restart.
  if (Message.ServerStartedMs < KnownStart &&
      !this->ActiveGrants.contains(Message.Id))
    return;
  const auto [Found, Inserted] = this->ActiveGrants.try_emplace(
      Message.Id, ActiveGrant{Message.Server,
                              0,
                              {Message.PrefillTokens, Message.MaxOutputTokens,
                               Message.ServerStartedMs, Message.PrefillTokens},
                              Now});
  if (Inserted) {
    this->Servers.recordSent(Message.Server, Found->second.Load, {}, Now);
    return;
  }
  // The router has sent the request to another server in the meantime.
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
    if (Now - Each->second.LastReported < GrantReportTimeout) {
      ++Each;
      continue;
    }
    this->Servers.recordEnded(Each->second.Server, Each->second.Load,
                              Each->second.Parts, ServerVerdict::Healthy, Now);
    Each = this->ActiveGrants.erase(Each);
  }
}

void Allocator::expireQueued(TimePoint Now) {
  std::vector<CorrelationId> Expired;
  for (auto &[Id, Queued] : this->QueuedRequests) {
    const double PrefillMs =
        Queued.PlannedTokens /
        this->parametersOf(Queued.Request.Group).PrefillTokensPerMs;
    const Duration Needed{static_cast<Duration::rep>(PrefillMs * 1000)};
    if (Now >= Queued.WaitDeadline)
      Expired.push_back(Id);
    else if (Now + Needed >= Queued.ObjectiveDeadline)
      Queued.Late = true;
  }
  for (const CorrelationId &Id : Expired) {
    const QueuedRequest &Queued = this->QueuedRequests.at(Id);
    this->Accounts[{Queued.Request.Group, Queued.Request.Account}]
        .timeouts(Queued.ArrivedLate)
        .recordTimeout(this->sortKeyOf(Queued), Now);
    this->refuse(Queued.Request, "timed-out");
    this->removeQueued(Id);
  }
}

void Allocator::removeQueued(const CorrelationId &Id) {
  const auto Found = this->QueuedRequests.find(Id);
  if (Found == this->QueuedRequests.end())
    return;
  this->planFor(Found->second, 0, 0);
  const AccountKey Key{Found->second.Request.Group,
                       Found->second.Request.Account};
  this->Accounts[Key].Queue.erase({this->sortKeyOf(Found->second), Id});
  const auto Count = this->QueuedCounts.find(Found->second.Request.Group);
  if (--Count->second == 0)
    this->QueuedCounts.erase(Count);
  this->QueuedRequests.erase(Found);
}

} // namespace parsleywing
