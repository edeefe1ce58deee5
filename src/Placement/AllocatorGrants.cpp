#include "Placement/Allocator.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Requests of one account that are looked at for a server with room: the first
/// may be meant for a server that is full.
constexpr int LookAhead = 6;

/// How long the server that a waiting request is meant for is not looked for
/// anew. Placing costs some microseconds a server, and every end of a request
/// makes the queue be looked through.
constexpr Duration PlacementLife = std::chrono::milliseconds(40);

/// Requests that an engine runs at once are stated as its slots; the last few
/// are left for what other allocators or routers without one send.
constexpr double SlotPart = 0.92;

/// A refused caller is told to come back when what waits now is likely to be
/// served, within these bounds.
constexpr std::uint32_t LeastReturnMs = 250;
constexpr std::uint32_t MostReturnMs = 1000;

/// A generated token counts as two read ones in what an account has had: so
/// the operators count their capacity.
constexpr double OutputWeight = 2;

/// An account that is this far behind another that waits too, in seconds of one
/// engine's reading, is no longer held back for a server that keeps its
/// prompts: requests about few prompts would get no more than the few engines
/// that keep them, while others are served by all.
constexpr double BehindSeconds = 8;

double costOf(const AllocationRequest &Ask) {
  return Ask.PromptTokens + OutputWeight * Ask.OutputTokens;
}

/// The life of a grant to a server that warms up, from the moment at which its
/// router first asked here. That was before the ask arrived, so the grant ends
/// in time without a common clock.
std::uint32_t sendWithin(Duration SinceArrival) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceArrival +
                                                            WarmUpGrantLifetime)
          .count());
}

/// The part of a prompt's shared tokens that an engine has to read after all.
constexpr double SharedReadPart = 0.1;

/// What the request is for an engine, in tokens. Shared parts are kept there or
/// fetched as a rule.
double workOf(const AllocationRequest &Ask) {
  double Shared = 0;
  for (std::size_t I = 0; I + 1 < Ask.Parts.size(); ++I)
    Shared += Ask.Parts[I].Tokens;
  const double Read = Ask.PromptTokens - (1 - SharedReadPart) * Shared;
  return std::max(Read, 0.0) + OutputWeight * Ask.OutputTokens;
}

} // namespace

double Allocator::queueKey(const QueuedRequest &Asked) const {
  return this->Options.SmallestFirst ? workOf(Asked.Request)
                                     : static_cast<double>(Asked.ArrivalNumber);
}

bool Allocator::anyCapacity(std::uint64_t Service, TimePoint Now) const {
  return this->Servers.anyUsable(Service, Now, [this](std::uint64_t Server) {
    return this->hasCapacity(Server, 0);
  });
}

bool Allocator::hasFreeSlot(std::uint64_t Server) const {
  const GatewayServer *Listed = this->Servers.find(Server);
  if (Listed == nullptr)
    return false;
  const double Slots = Listed->Slots * SlotPart;
  return this->Servers.running(Server) + 1 <= std::max(Slots, 1.0);
}

CapacitySummary Allocator::capacityOf(std::uint64_t Service,
                                      TimePoint Now) const {
  CapacitySummary Room;
  for (const auto &[Server, Group] : this->ServiceOf) {
    if (Group != Service)
      continue;
    if (!this->Servers.usableIfGranted(Server, Now))
      ++Room.Unhealthy;
    else if (!this->Servers.usable(Server, Now))
      ++Room.WarmingUp;
    else if (!this->hasFreeSlot(Server))
      ++Room.SlotsFull;
    else if (!this->hasCapacity(Server, 0))
      ++Room.PrefillFull;
    else
      ++Room.Free;
  }
  return Room;
}

bool Allocator::hasCapacity(std::uint64_t Server, std::uint32_t Unread) const {
  const auto Service = this->ServiceOf.find(Server);
  if (Service == this->ServiceOf.end() || !this->hasFreeSlot(Server))
    return false;
  const std::uint64_t Ahead = this->Servers.pendingPrefillTokens(Server);
  return Ahead == 0 ||
         Ahead + Unread / 2 <=
             this->limitsOf(Service->second).MaxPendingPrefillTokens;
}

void Allocator::dispatch(TimePoint Now) {
  for (const bool Late : {false, true})
    for (const auto &[Service, Count] : std::map(this->QueuedCounts))
      while (this->anyCapacity(Service, Now) &&
             this->grantNext(Service, Now, Late))
        continue;
}

/// Grants to the account that has had least, of those for which there is a
/// server with room.
bool Allocator::grantNext(std::uint64_t Service, TimePoint Now, bool Late) {
  std::vector<std::pair<double, AccountKey>> Order;
  const auto First = this->Accounts.lower_bound({Service, 0});
  for (auto Each = First;
       Each != this->Accounts.end() && Each->first.first == Service; ++Each)
    if (!Each->second.Queue.empty())
      Order.emplace_back(Each->second.VirtualTime, Each->first);
  std::sort(Order.begin(), Order.end());
  for (const auto &[Position, Key] : Order) {
    const bool Behind = this->isUnderserved(Key, Order.back().first);
    int Looked = 0;
    for (const auto &[Work, Id] : this->Accounts.at(Key).Queue) {
      QueuedRequest &Asked = this->QueuedRequests.at(Id);
      if (Asked.Late != Late)
        continue;
      if (++Looked > LookAhead)
        break;
      // Placed a moment ago, and the server that it is meant for is still full.
      const bool Known =
          Asked.PlannedTokens > 0 && !Behind &&
          Now - Asked.PlannedAt < PlacementLife &&
          !this->hasCapacity(Asked.PlannedServer, Asked.PlannedTokens);
      if (Known)
        continue;
      if (this->tryGrant(Asked, Now, false) ||
          (Behind && this->tryGrant(Asked, Now, true)))
        return true;
    }
  }
  return false;
}

bool Allocator::isUnderserved(const AccountKey &Key,
                              double MostPosition) const {
  const double PerSecond = this->limitsOf(Key.first).PrefillTokensPerMs * 1000;
  return this->Options.UnderservedUseAnyServer &&
         MostPosition - this->Accounts.at(Key).VirtualTime >
             PerSecond * BehindSeconds;
}

bool Allocator::tryGrant(QueuedRequest &Asked, TimePoint Now, bool AnyServer) {
  // Its own tokens must not speak against the server that it is meant for.
  this->planFor(Asked, 0, 0);
  PlacementQuery Question;
  Question.Service = Asked.Request.Service;
  Question.Zone = Asked.Request.Zone;
  Question.Parts = &Asked.Request.Parts;
  Question.PromptTokens = Asked.Request.PromptTokens;
  Question.OutputTokens = Asked.Request.OutputTokens;
  const AllocationLimits Limit = this->limitsOf(Asked.Request.Service);
  Question.PrefillTokensPerSecond = Limit.PrefillTokensPerMs * 1000;
  Question.Fetch = Limit.Fetch;
  Question.Weights = this->Options.Weights;
  Question.ExcludedServers = &Asked.ExcludedServers;
  Question.Now = Now;
  Question.SpreadKey = Asked.Request.SpreadKey;
  if (AnyServer || Question.SpreadKey)
    Question.HasCapacity = [this](std::uint64_t Server, std::uint32_t Unread) {
      return this->hasCapacity(Server, Unread);
    };
  const auto Choice = this->Servers.place(Question);
  if (!Choice)
    return false;
  if (!this->hasCapacity(Choice->Server, Choice->PrefillTokens)) {
    this->planFor(Asked, Choice->Server, Choice->PrefillTokens);
    Asked.PlannedAt = Now;
    return false;
  }
  this->grant(Asked, *Choice, Now);
  return true;
}

void Allocator::grant(const QueuedRequest &Asked, const ServerChoice &Choice,
                      TimePoint Now) {
  const AllocationRequest &Ask = Asked.Request;
  const AttemptLoad Work{Choice.PrefillTokens, Ask.OutputTokens,
                         this->Servers.startOf(Choice.Server)};
  std::uint32_t SendWithinMs = 0;
  if (this->Servers.isWarmingUp(Choice.Server, Now))
    SendWithinMs = sendWithin(Now - Asked.ArrivedAt);
  this->Servers.recordSent(Choice.Server, Work, Ask.Parts, Now);
  this->ActiveGrants[Ask.Id] = {Choice.Server, Choice.FetchSource, Work, Now,
                                Ask.Parts,     SendWithinMs};
  AccountState &Account = this->Accounts[{Ask.Service, Ask.Account}];
  Account.VirtualTime += costOf(Ask);
  Account.timeouts(Asked.ArrivedLate).recordServed(this->queueKey(Asked));
  this->Replies.emplace_back(AllocationGrant{
      Ask.Id, Choice.Server, Choice.PrefillTokens, Choice.BacklogTokens,
      Work.ServerStartedMs, Choice.FetchSource, SendWithinMs});
  this->removeQueued(CorrelationId(Ask.Id));
}

void Allocator::refuse(const AllocationRequest &Ask) {
  double Queued = 0;
  for (const auto &[Id, Each] : this->QueuedRequests)
    if (Each.Request.Service == Ask.Service)
      Queued += Each.PlannedTokens;
  const std::uint32_t Engines =
      std::max(this->Servers.serverCount(Ask.Service), 1U);
  const double Drain =
      Queued / Engines / this->limitsOf(Ask.Service).PrefillTokensPerMs;
  const auto After = static_cast<std::uint32_t>(
      std::clamp<double>(Drain, LeastReturnMs, MostReturnMs));
  this->Replies.emplace_back(AllocationRefusal{Ask.Id, After, Ask.Service});
}

void Allocator::planFor(QueuedRequest &Asked, std::uint64_t Server,
                        std::uint32_t Tokens) {
  if (Asked.PlannedTokens > 0)
    this->Servers.addQueuedTokens(
        Asked.PlannedServer, -static_cast<std::int64_t>(Asked.PlannedTokens));
  Asked.PlannedServer = Server;
  Asked.PlannedTokens = Tokens;
  if (Tokens > 0)
    this->Servers.addQueuedTokens(Server, Tokens);
}

} // namespace parsleywing
