#include "Placement/Allocator.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// The number of requests of one account that are tried for a server with
/// capacity, since the first may be planned for a server that is full.
constexpr int MaxRequestsTried = 6;

/// How long a queued request keeps its planned server before it is placed
/// again. Placement costs a few microseconds per server, and the end of every
/// request causes a pass over the queue.
constexpr Duration PlanLifetime = std::chrono::milliseconds(40);

/// The fraction of an engine's slots (its maximum concurrency) that is
/// allocated. The rest is left for requests from other allocators, and from
/// routers that cannot reach an allocator.
constexpr double UsableSlotFraction = 0.92;

/// The bounds of `RetryAfterMs`, which is the estimated time to prefill the
/// prompts that are queued for the group.
constexpr std::uint32_t MinRetryAfterMs = 250;
constexpr std::uint32_t MaxRetryAfterMs = 1000;

/// An account is underserved if its virtual time is this far below that of
/// another account with queued requests, in seconds of the prefill of one
/// engine in each group of the service. Its requests no longer wait for a
/// server that has their prompts cached. Otherwise an account with few distinct
/// prompts would only ever get the few engines that cache them, while other
/// accounts use all engines.
constexpr double UnderservedSeconds = 8;

/// The lifetime of a grant for a server that is warming up, counted from when
/// the router first sent its request. That was before the request arrived here,
/// so the grant expires in time without a common clock.
std::uint32_t sendWithin(Duration SinceArrival) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceArrival +
                                                            WarmUpGrantLifetime)
          .count());
}

/// The estimated fraction of a prompt's shared tokens that an engine still has
/// to prefill.
constexpr double SharedPrefillFraction = 0.1;

/// The estimated work of a request for an engine, in tokens. Most shared parts
/// are cached at the engine or fetched.
double workOf(const AllocationRequest &Request) {
  double Shared = 0;
  for (std::size_t I = 0; I + 1 < Request.Parts.size(); ++I)
    Shared += Request.Parts[I].Tokens;
  const double Prefill =
      Request.PromptTokens - (1 - SharedPrefillFraction) * Shared;
  return std::max(Prefill, 0.0) + OutputWeight * Request.MaxOutputTokens;
}

} // namespace

double Allocator::sortKeyOf(const QueuedRequest &Queued) const {
  return this->Options.SmallestFirst
             ? workOf(Queued.Request)
             : static_cast<double>(Queued.ArrivalNumber);
}

bool Allocator::anyCapacity(std::uint64_t Group, TimePoint Now) const {
  return this->Servers.anyUsable(Group, Now, [this](std::uint64_t Server) {
    return this->hasCapacity(Server, 0);
  });
}

bool Allocator::hasFreeSlot(std::uint64_t Server) const {
  const GatewayServer *Listed = this->Servers.find(Server);
  if (Listed == nullptr)
    return false;
  const double Slots = Listed->Slots * UsableSlotFraction;
  return this->Servers.running(Server) + 1 <= std::max(Slots, 1.0);
}

CapacitySummary Allocator::capacityOf(std::uint64_t Group,
                                      TimePoint Now) const {
  CapacitySummary Summary;
  for (const auto &[Server, ServerGroup] : this->GroupOf) {
    if (ServerGroup != Group)
      continue;
    if (!this->Servers.usableIfGranted(Server, Now))
      ++Summary.Unusable;
    else if (!this->Servers.usable(Server, Now))
      ++Summary.WarmingUp;
    else if (!this->hasFreeSlot(Server))
      ++Summary.SlotsFull;
    else if (!this->hasCapacity(Server, 0))
      ++Summary.PrefillFull;
    else
      ++Summary.Free;
  }
  return Summary;
}

bool Allocator::hasCapacity(std::uint64_t Server,
                            std::uint32_t PrefillTokens) const {
  const auto Found = this->GroupOf.find(Server);
  if (Found == this->GroupOf.end() || !this->hasFreeSlot(Server))
    return false;
  // Half of the prompt: the limit may be exceeded by at most the other half.
  const std::uint64_t Pending = this->Servers.pendingPrefillTokens(Server);
  return Pending == 0 ||
         Pending + PrefillTokens / 2 <=
             this->parametersOf(Found->second).MaxPendingPrefillTokens;
}

bool Allocator::hasRoom(std::uint64_t Server, std::uint32_t PrefillTokens,
                        const AllocationRequest &Request) const {
  return this->hasCapacity(Server, PrefillTokens) &&
         this->Servers.canHold(Server, {&Request.Parts, Request.PromptTokens,
                                        Request.MaxOutputTokens});
}

void Allocator::dispatch(TimePoint Now) {
  for (const bool Late : {false, true})
    for (const auto &[Group, Count] : std::map(this->QueuedCounts))
      while (this->anyCapacity(Group, Now) && this->grantNext(Group, Now, Late))
        continue;
}

/// Grants a server to the account that has received the least, of those for
/// which a server has capacity.
bool Allocator::grantNext(std::uint64_t Group, TimePoint Now, bool Late) {
  std::vector<std::pair<double, AccountKey>> Order;
  const auto First = this->Accounts.lower_bound({Group, 0});
  for (auto Each = First;
       Each != this->Accounts.end() && Each->first.first == Group; ++Each)
    if (!Each->second.Queue.empty())
      Order.emplace_back(Each->second.VirtualTime, Each->first);
  std::sort(Order.begin(), Order.end());
  double MaxGroupTime = 0;
  for (const auto &[VirtualTime, Key] : Order)
    MaxGroupTime = std::max(MaxGroupTime, this->Accounts.at(Key).GroupTime);
  for (const auto &[VirtualTime, Key] : Order) {
    const bool Underserved = this->isUnderserved(Key, MaxGroupTime);
    int Tried = 0;
    for (const auto &[SortKey, Id] : this->Accounts.at(Key).Queue) {
      QueuedRequest &Queued = this->QueuedRequests.at(Id);
      if (Queued.Late != Late)
        continue;
      if (++Tried > MaxRequestsTried)
        break;
      // Placed recently, and the planned server is still full.
      const bool PlanStillFull =
          Queued.PlannedTokens > 0 && !Underserved &&
          Now - Queued.PlannedAt < PlanLifetime &&
          !this->hasRoom(Queued.PlannedServer, Queued.PlannedTokens,
                         Queued.Request);
      if (PlanStillFull)
        continue;
      if (this->tryGrant(Queued, Now, false) ||
          (Underserved && this->tryGrant(Queued, Now, true)))
        return true;
    }
  }
  return false;
}

bool Allocator::isUnderserved(const AccountKey &Key,
                              double MaxGroupTime) const {
  const double PerSecond =
      this->parametersOf(Key.first).PrefillTokensPerMs * 1000;
  return this->Options.UnderservedUseAnyServer &&
         MaxGroupTime - this->Accounts.at(Key).GroupTime >
             PerSecond * UnderservedSeconds;
}

bool Allocator::tryGrant(QueuedRequest &Queued, TimePoint Now, bool AnyServer) {
  // The request's own tokens must not count against its planned server.
  this->planFor(Queued, 0, 0);
  PlacementQuery Query;
  Query.Group = Queued.Request.Group;
  Query.Zone = Queued.Request.Zone;
  Query.Parts = &Queued.Request.Parts;
  Query.PromptTokens = Queued.Request.PromptTokens;
  Query.MaxOutputTokens = Queued.Request.MaxOutputTokens;
  const AllocationParameters Assumed = this->parametersOf(Queued.Request.Group);
  Query.PrefillTokensPerSecond = Assumed.PrefillTokensPerMs * 1000;
  Query.Fetch = Assumed.Fetch;
  Query.Weights = this->Options.Weights;
  Query.ExcludedServers = &Queued.ExcludedServers;
  Query.Now = Now;
  Query.SpreadKey = Queued.Request.SpreadKey;
  if (AnyServer || Query.SpreadKey)
    Query.HasCapacity = [this, &Queued](std::uint64_t Server,
                                        std::uint32_t PrefillTokens) {
      return this->hasRoom(Server, PrefillTokens, Queued.Request);
    };
  const auto Choice = this->Servers.place(Query);
  if (!Choice)
    return false;
  if (this->hasRoom(Choice->Server, Choice->PrefillTokens, Queued.Request)) {
    this->grant(Queued, *Choice, Query, std::nullopt);
    return true;
  }
  if (this->weighsCachedPrompts(Query.Group))
    if (const auto Other = this->findAlternative(Queued, *Choice, Query)) {
      this->grant(Queued, Other->Choice, Query, Other->Decision);
      return true;
    }
  this->planFor(Queued, Choice->Server, Choice->PrefillTokens);
  Queued.PlannedAt = Now;
  return false;
}

std::optional<Allocator::Alternative>
Allocator::findAlternative(const QueuedRequest &Queued,
                           const ServerChoice &Cheapest, PlacementQuery Query) {
  Query.HasCapacity = [this, &Queued](std::uint64_t Server,
                                      std::uint32_t PrefillTokens) {
    return this->hasRoom(Server, PrefillTokens, Queued.Request);
  };
  const auto WithRoom = this->Servers.place(Query);
  if (!WithRoom)
    return std::nullopt;
  const TimePoint InUseSince = Query.Now - this->Options.RereadInterval;
  PrefillOption Wait = this->Servers.prefillOption(Cheapest, Query, InUseSince);
  // Requests end one after another, and each end frees a slot and memory.
  if (!this->hasFreeSlot(Cheapest.Server) ||
      !this->Servers.canHold(
          Cheapest.Server,
          {&Queued.Request.Parts, Query.PromptTokens, Query.MaxOutputTokens})) {
    const auto Mean = this->GrantTimes.find(Query.Group);
    if (Mean != this->GrantTimes.end())
      Wait.SlotWaitMs =
          Mean->second / std::max(this->Servers.running(Cheapest.Server), 1U);
  }
  const auto ObjectiveLeft = std::chrono::duration<double, std::milli>(
      Queued.ObjectiveDeadline - Query.Now);
  const PrefillDecision Decision = choosePrefill(
      Wait, this->Servers.prefillOption(*WithRoom, Query, InUseSince),
      {Query.PrefillTokensPerSecond / 1000, Query.Fetch.TokensPerMs,
       ObjectiveLeft.count()});
  if (Decision.Chosen.Server == Cheapest.Server)
    return std::nullopt;
  return Alternative{*WithRoom, Decision};
}

void Allocator::grant(const QueuedRequest &Queued, const ServerChoice &Choice,
                      const PlacementQuery &Query,
                      const std::optional<PrefillDecision> &Decision) {
  const TimePoint Now = Query.Now;
  const AllocationRequest &Request = Queued.Request;
  const AttemptLoad Load{Choice.PrefillTokens, Request.MaxOutputTokens,
                         this->Servers.startOf(Choice.Server),
                         Request.PromptTokens};
  if (Choice.FetchSource != 0 && this->weighsCachedPrompts(Request.Group))
    this->Servers.recordFetch(Choice.FetchSource, Choice.FetchTokens,
                              Query.Fetch, Now);
  std::uint32_t SendWithinMs = 0;
  if (this->Servers.isWarmingUp(Choice.Server, Now))
    SendWithinMs = sendWithin(Now - Queued.ArrivedAt);
  this->Servers.recordSent(Choice.Server, Load, Request.Parts, Now);
  this->ActiveGrants[Request.Id] = {
      Choice.Server, Choice.FetchSource, Load, Now,
      Request.Parts, SendWithinMs,       Now};
  AccountState &Account = this->Accounts[{Request.Group, Request.Account}];
  Account.VirtualTime += usageOf(Request);
  Account.GroupTime += usageOf(Request);
  this->CountsByAccount.recordBegun(
      countKey(Request), static_cast<std::uint64_t>(usageOf(Request)));
  Account.timeouts(Queued.ArrivedLate).recordServed(this->sortKeyOf(Queued));
  this->Replies.emplace_back(AllocationGrant{
      Request.Id, Choice.Server, Choice.PrefillTokens, Choice.BacklogTokens,
      Load.ServerStartedMs, Choice.FetchSource, SendWithinMs, Decision});
  this->removeQueued(CorrelationId(Request.Id));
}

void Allocator::refuse(const AllocationRequest &Request,
                       std::string_view Reason) {
  this->CountsByAccount.recordRefused(countKey(Request), Reason);
  double QueuedTokens = 0;
  for (const auto &[Id, Each] : this->QueuedRequests)
    if (Each.Request.Group == Request.Group)
      QueuedTokens += Each.PlannedTokens;
  const std::uint32_t ServerCount =
      std::max(this->Servers.serverCount(Request.Group), 1U);
  const double QueuePrefillMs =
      QueuedTokens / ServerCount /
      this->parametersOf(Request.Group).PrefillTokensPerMs;
  const auto RetryAfterMs = static_cast<std::uint32_t>(
      std::clamp<double>(QueuePrefillMs, MinRetryAfterMs, MaxRetryAfterMs));
  this->Replies.emplace_back(
      AllocationRefusal{Request.Id, RetryAfterMs, Request.Group});
}

void Allocator::planFor(QueuedRequest &Queued, std::uint64_t Server,
                        std::uint32_t Tokens) {
  if (Queued.PlannedTokens > 0)
    this->Servers.addPlannedTokens(
        Queued.PlannedServer, -static_cast<std::int64_t>(Queued.PlannedTokens));
  Queued.PlannedServer = Server;
  Queued.PlannedTokens = Tokens;
  if (Tokens > 0)
    this->Servers.addPlannedTokens(Server, Tokens);
}

} // namespace parsleywing
