#include "Placement/SilenceModel.h"

#include "Runtime/Id.h"

#include <algorithm>
#include <cmath>

namespace parsleywing::test {

namespace {

using namespace std::chrono_literals;

constexpr const char *Service = "engines";

/// The allocator uses 23 of these.
constexpr std::uint32_t Slots = 25;
constexpr double UsableSlots = 23;

/// 1,000 tokens at 25 a millisecond.
constexpr std::uint32_t PromptTokens = 1000;
constexpr Duration Prefill = 40ms;
constexpr Duration EventInterval = 27ms;
constexpr std::int64_t MinEvents = 55;
constexpr std::int64_t MaxEvents = 129;

constexpr std::uint64_t Accounts = 24;
constexpr auto Objective = 400ms;
constexpr Duration TimeLimit = 12s;
/// Callers leave a stream after this gap.
constexpr Duration MaxGap = 2s;
/// As in `GatewayRequest`.
constexpr Duration MaxResumeWait = 1200ms;
constexpr Duration MaxLateWait = 500ms;
constexpr std::uint32_t MaxAttempts = 4;
constexpr std::uint32_t MaxRuns = 3;

constexpr Duration TickInterval = 10ms;
constexpr Duration ReportInterval = 1s;
constexpr Duration CreditTime = 20s;
/// Played before the silence, until as many requests end as begin, and behind
/// its begin.
constexpr Duration Lead = 4s;
constexpr Duration Rest = 3s;

} // namespace

SilenceModel::SilenceModel(const SilenceScenario &S)
    : Scenario(S), Record({S.Bounds.Ratio, S.Bounds.Window, S.Bounds.Slack}) {
  this->Now = TimePoint{1h};
  this->makeServers();
  this->makeRouters();
}

void SilenceModel::makeServers() {
  const double Held = std::chrono::duration<double>(
                          Prefill + EventInterval * (MinEvents + MaxEvents) / 2)
                          .count();
  const auto Count = static_cast<std::size_t>(
      std::ceil(static_cast<double>(this->Scenario.RequestsPerSecond) * Held /
                (this->Scenario.Load * UsableSlots)));
  this->Result.Servers = Count;
  GatewayService Engines;
  Engines.Name = Service;
  Engines.KvCapacityTokens = 200'000;
  this->Configuration.Services[Service] = Engines;
  this->Configuration.Limits.TokensPerSecond = 25'000 * Count;
  ServerList All;
  for (std::size_t I = 0; I < Count; ++I) {
    GatewayServer Each;
    Each.Id = "e" + std::to_string(I);
    Each.Service = Service;
    Each.Slots = Slots;
    Each.Zone = "z" + std::to_string(I % 9);
    this->ServerOfHash[hashName(Each.Id)] = I;
    this->Servers.push_back(
        {hashName(Each.Id), I % this->Scenario.SilentOneIn == 0});
    All.emplace(Each.Id, Each);
  }
  const ServerGroups Groups(All);
  std::map<std::uint64_t, std::shared_ptr<ServerList>> Lists;
  for (const auto &[Id, Each] : All) {
    auto &Listed = Lists[Groups.groupOfServer(Id, Service)];
    if (Listed == nullptr)
      Listed = std::make_shared<ServerList>();
    Listed->emplace(Id, Each);
  }
  for (const auto &[Hash, Listed] : Lists) {
    this->GroupHashes.push_back(Hash);
    this->Allocators.push_back(std::make_unique<Allocator>());
    // Limits are those of the listed servers.
    this->Configuration.Limits.TokensPerSecond = 25'000 * Listed->size();
    this->Allocators.back()->setServers(Listed, &this->Configuration, Groups);
  }
}

void SilenceModel::makeRouters() {
  for (std::size_t I = 0; I < this->Scenario.Routers; ++I) {
    const std::string Name = "r" + std::to_string(I);
    this->List->emplace(
        Name, RouterEndpoint{"", 1, static_cast<std::int64_t>(I) + 1, ""});
    this->Routers.push_back(
        {std::make_unique<RetryAllowance>(this->Scenario.Bounds),
         std::make_unique<FleetShare>(Name, this->Scenario.Bounds.Window)});
  }
}

void SilenceModel::readLists() {
  FleetView View;
  View.RouterEndpoints = this->List;
  View.RouterCount = static_cast<std::uint32_t>(this->List->size());
  View.ListsProvenAt = this->Now;
  for (Router &Each : this->Routers)
    Each.Share->updateView(View, this->Now);
}

void SilenceModel::earnCredit() {
  const std::size_t PerSecond = this->Scenario.RequestsPerSecond;
  const auto Seconds = static_cast<std::size_t>(CreditTime / 1s);
  for (std::size_t I = 0; I < PerSecond * Seconds; ++I) {
    if (I % PerSecond == 0)
      this->readLists();
    this->Routers[I % this->Routers.size()].Allowance->recordRequest(this->Now);
    this->Record.recordRequest(this->Now);
    this->Now += Duration(1s) / static_cast<Duration::rep>(PerSecond);
  }
}

SilenceResult SilenceModel::run() {
  this->earnCredit();
  this->SilentFrom = this->Now + Lead;
  this->SilentUntil = this->Scenario.Pause
                          ? this->SilentFrom + *this->Scenario.Pause
                          : TimePoint::max();
  this->LastArrival = this->SilentFrom + Rest;
  this->schedule(this->Now, EventKind::Lists);
  this->schedule(this->Now, EventKind::Tick);
  this->schedule(this->Now, EventKind::Arrival);
  while (!this->Events.empty()) {
    const Event Next = this->Events.top();
    this->Events.pop();
    this->Now = Next.Time;
    this->handle(Next);
    this->handleReplies();
  }
  this->Result.Requests = this->Requests.size();
  for (const Request &Each : this->Requests) {
    if (Each.Silences > 0)
      ++this->Result.Silent;
    if (Each.Allocations > 1 + this->limitsWithin(Each))
      ++this->Result.AskedTooOften;
    this->Result.FurtherAllocations += Each.Allocations - 1;
  }
  this->Result.MostRetries = this->Record.most();
  this->Result.Violation = this->Record.violation();
  return this->Result;
}

void SilenceModel::schedule(TimePoint Time, EventKind Kind, std::size_t Request,
                            std::uint32_t Attempt) {
  if (Time != TimePoint::max())
    this->Events.push({Time, ++this->LastOrder, Kind, Request, Attempt});
}

void SilenceModel::handle(const Event &Each) {
  const bool Continues = this->Now <= this->LastArrival || this->Open > 0;
  switch (Each.Kind) {
  case EventKind::Arrival:
    this->arrive();
    return;
  case EventKind::Tick:
    for (std::size_t I = 0; I < this->Allocators.size(); ++I) {
      this->Allocators[I]->tick(this->Now);
      for (RouterMessage &Reply : this->Allocators[I]->takeReplies())
        this->Replies.push_back(std::move(Reply));
    }
    if (Continues)
      this->schedule(this->Now + TickInterval, EventKind::Tick);
    return;
  case EventKind::Lists:
    this->readLists();
    if (Continues)
      this->schedule(this->Now + 1s, EventKind::Lists);
    return;
  default:
    break;
  }
  Request &Its = this->Requests[Each.Request];
  if (Its.Ended)
    return;
  const auto Is = [&](const std::optional<Attempt> &Other) {
    return Other && Other->Number == Each.Attempt;
  };
  switch (Each.Kind) {
  case EventKind::FirstByte:
    this->onFirstByte(Each.Request, Each.Attempt);
    break;
  case EventKind::End:
    this->onEnd(Each.Request, Each.Attempt);
    break;
  case EventKind::Silence:
    if (Is(Its.Current) && !Its.Unresponsive &&
        Its.Current->SilenceDue == this->Now)
      this->onSilence(Each.Request);
    break;
  case EventKind::Recovery:
    if (Is(Its.Unresponsive))
      this->recover(Each.Request);
    break;
  case EventKind::Gap:
    this->onGap(Each.Request);
    break;
  case EventKind::Report:
    for (const auto &Other : {Its.Current, Its.Unresponsive})
      if (Is(Other)) {
        this->tell(Its.Group,
                   GrantActive{
                       Other->Id, this->Servers[Other->Server].Hash,
                       this->eventsAt(*Other, this->Now) > 0 ? 0 : PromptTokens,
                       MaxEvents, 0});
        this->schedule(this->Now + ReportInterval, EventKind::Report,
                       Each.Request, Each.Attempt);
      }
    break;
  case EventKind::TimeLimit:
    this->endRequest(Each.Request, this->Result.Left);
    break;
  default:
    break;
  }
}

void SilenceModel::tell(std::size_t Group, const RouterMessage &Message) {
  this->Allocators[Group]->handle(Message, this->Now);
  for (RouterMessage &Reply : this->Allocators[Group]->takeReplies())
    this->Replies.push_back(std::move(Reply));
}

void SilenceModel::handleReplies() {
  while (!this->Replies.empty()) {
    const RouterMessage Reply = std::move(this->Replies.front());
    this->Replies.pop_front();
    if (const auto *Grant = std::get_if<AllocationGrant>(&Reply)) {
      this->onGrant(this->RequestOfId[Grant->Id.Number], *Grant);
    } else if (const auto *Refusal = std::get_if<AllocationRefusal>(&Reply)) {
      const std::size_t Number = this->RequestOfId[Refusal->Id.Number];
      if (this->Requests[Number].Pending == Refusal->Id) {
        this->Requests[Number].Pending.reset();
        this->onNoServer(Number);
      }
    }
  }
}

void SilenceModel::arrive() {
  const std::size_t Number = this->Requests.size();
  const auto PerSecond =
      static_cast<Duration::rep>(this->Scenario.RequestsPerSecond);
  Request Each;
  Each.Router = Number % this->Routers.size();
  Each.Group = this->Random() % this->Allocators.size();
  Each.ArrivedAt = this->Now;
  Each.Events = std::uniform_int_distribution<std::int64_t>(
      MinEvents, MaxEvents)(this->Random);
  this->Requests.push_back(std::move(Each));
  ++this->Open;
  this->Routers[this->Requests.back().Router].Allowance->recordRequest(
      this->Now);
  this->Record.recordRequest(this->Now);
  this->schedule(this->Now + TimeLimit, EventKind::TimeLimit, Number);
  this->ask(Number);
  if (this->Now < this->LastArrival)
    this->schedule(this->Now + Duration(1s) / PerSecond, EventKind::Arrival);
}

void SilenceModel::ask(std::size_t Number) {
  Request &Each = this->Requests[Number];
  AllocationRequest Asked;
  Asked.Id = {Each.Router + 1, this->RequestOfId.size()};
  this->RequestOfId.push_back(Number);
  Asked.Group = this->GroupHashes[Each.Group];
  Asked.Account = Number % Accounts;
  Asked.Parts = {{Number + 1, PromptTokens}};
  Asked.PromptTokens = PromptTokens;
  Asked.MaxOutputTokens = MaxEvents;
  for (const std::size_t Server : Each.Tried)
    Asked.ExcludedServers.push_back(this->Servers[Server].Hash);
  const Duration Left = Each.ArrivedAt + TimeLimit - this->Now;
  Duration ObjectiveLeft = Each.ArrivedAt + Objective - this->Now;
  Duration MaxWait = ObjectiveLeft;
  if (Each.Begun)
    ObjectiveLeft = MaxWait = std::min(Left, MaxResumeWait);
  else if (ObjectiveLeft <= Duration::zero())
    MaxWait = std::min<Duration>(Left / 4, MaxLateWait);
  Asked.ObjectiveLeftMs = static_cast<std::int32_t>(ObjectiveLeft / 1ms);
  Asked.MaxWaitMs = static_cast<std::int32_t>(MaxWait / 1ms);
  Each.Pending = Asked.Id;
  ++Each.Allocations;
  this->tell(Each.Group, Asked);
}

void SilenceModel::onGrant(std::size_t Number, const AllocationGrant &Grant) {
  Request &Each = this->Requests[Number];
  if (Each.Ended || Each.Pending != Grant.Id) {
    this->tell(Each.Group, GrantEnded{Grant.Id, ServerVerdict::Healthy});
    return;
  }
  Each.Pending.reset();
  Router &Its = this->Routers[Each.Router];
  if (Each.Charge == ChargeState::Reserved &&
      !Its.Allowance->isWithinBound(this->Now, *Its.Share)) {
    this->tell(Each.Group, GrantEnded{Grant.Id, ServerVerdict::Healthy});
    ++this->Result.Denied;
    this->onNoServer(Number);
    return;
  }
  this->startAttempt(Number, Grant);
}

/// No server takes the request in time.
void SilenceModel::onNoServer(std::size_t Number) {
  Request &Each = this->Requests[Number];
  this->release(Each);
  if (Each.Unresponsive) {
    this->keepWaiting(Number);
  } else if (Each.Attempts == 0) {
    this->endRequest(Number, this->Result.Refused);
  } else {
    this->lose(Number);
  }
}

void SilenceModel::startAttempt(std::size_t Number,
                                const AllocationGrant &Grant) {
  Request &Each = this->Requests[Number];
  if (Each.Attempts > 0) {
    ++this->Result.FurtherAttempts;
    this->Record.recordRetry(this->Now);
    Each.Charge = ChargeState::Sent;
  }
  const Attempt New{++Each.Attempts, Grant.Id,
                    this->ServerOfHash.at(Grant.Server), this->Now,
                    Each.Events - Each.EventsDone};
  Each.Current = New;
  Each.Tried.insert(New.Server);
  this->schedule(this->timeOf(New, Prefill), EventKind::FirstByte, Number,
                 New.Number);
  this->schedule(this->timeOf(New, Prefill + EventInterval * (New.Events - 1)),
                 EventKind::End, Number, New.Number);
  this->schedule(this->Now + ReportInterval, EventKind::Report, Number,
                 New.Number);
  this->armSilence(Number, this->Now + this->Scenario.HeadLimit);
  // The limit on silence may be longer than the gap.
  if (New.Start < this->SilentFrom && this->isTouched(New))
    this->schedule(this->lastReceived(New, this->SilentFrom) + MaxGap,
                   EventKind::Gap, Number);
}

void SilenceModel::onFirstByte(std::size_t Number, std::uint32_t Attempt) {
  Request &Each = this->Requests[Number];
  if (Each.Unresponsive && Each.Unresponsive->Number == Attempt)
    this->recover(Number);
  if (!Each.Current || Each.Current->Number != Attempt)
    return;
  this->tell(Each.Group, GrantStarted{Each.Current->Id});
  if (Each.Unresponsive) {
    this->supersede(Number);
    this->armSilence(Number, this->Now + this->Scenario.StreamLimit);
  }
  this->settle(Each);
  if (Each.Begun && Attempt > 1)
    this->Result.WorkTwice += Prefill;
  Each.Begun = true;
}

void SilenceModel::onEnd(std::size_t Number, std::uint32_t Attempt) {
  Request &Each = this->Requests[Number];
  if (Each.Unresponsive && Each.Unresponsive->Number == Attempt)
    this->recover(Number);
  if (Each.Current && Each.Current->Number == Attempt)
    this->endRequest(Number, this->Result.Whole);
}

void SilenceModel::armSilence(std::size_t Number, TimePoint Time) {
  Request &Each = this->Requests[Number];
  Each.Current->SilenceDue = Time;
  if (this->isTouched(*Each.Current))
    this->schedule(Time, EventKind::Silence, Number, Each.Current->Number);
}

void SilenceModel::onSilence(std::size_t Number) {
  Request &Each = this->Requests[Number];
  const TimePoint Last = this->lastReceived(*Each.Current, this->Now);
  const Duration Limit = this->limitOf(*Each.Current);
  if (this->Now - Last < Limit) {
    this->armSilence(Number, Last + Limit);
    return;
  }
  ++Each.Silences;
  if (this->eventsAt(*Each.Current, this->Now) > 0)
    Each.LastEventAt = std::max(Each.LastEventAt, Last);
  if (Each.Begun)
    this->schedule(std::max(Each.LastEventAt + MaxGap, this->Now),
                   EventKind::Gap, Number);
  if (this->Scenario.Policy == SilencePolicy::GiveUp)
    this->giveUp(Number);
  else
    this->hedge(Number);
}

void SilenceModel::onGap(std::size_t Number) {
  Request &Each = this->Requests[Number];
  for (const auto &Other : {Each.Current, Each.Unresponsive})
    if (Other && this->eventsAt(*Other, this->Now) > 0)
      Each.LastEventAt =
          std::max(Each.LastEventAt, this->lastReceived(*Other, this->Now));
  if (Each.Begun && this->Now - Each.LastEventAt >= MaxGap)
    this->endRequest(Number, this->Result.Left);
}

bool SilenceModel::charge(Request &Each) {
  if (Each.Attempts >= MaxAttempts)
    return false;
  Router &Its = this->Routers[Each.Router];
  if (!Its.Allowance->tryReserve(this->Now, *Its.Share)) {
    ++this->Result.Denied;
    return false;
  }
  Each.Charge = ChargeState::Reserved;
  return true;
}

void SilenceModel::settle(Request &Each) {
  if (Each.Charge == ChargeState::Sent) {
    this->Routers[Each.Router].Allowance->settle(this->Now);
    Each.Charge = ChargeState::None;
  }
}

void SilenceModel::release(Request &Each) {
  if (Each.Charge == ChargeState::Reserved) {
    this->Routers[Each.Router].Allowance->cancel();
    Each.Charge = ChargeState::None;
  }
}

void SilenceModel::giveUp(std::size_t Number) {
  Request &Each = this->Requests[Number];
  const Attempt Closed = *std::exchange(Each.Current, std::nullopt);
  const std::int64_t Received = this->eventsAt(Closed, this->Now);
  Each.EventsDone += Received;
  if (Received == 0)
    this->Result.WorkTwice += this->workAt(Closed, this->Now);
  ++Each.Runs;
  this->settle(Each);
  this->closeAttempt(Number, Closed, ServerVerdict::Silent);
  if (Each.Runs < MaxRuns && this->charge(Each))
    this->ask(Number);
  else
    this->lose(Number);
}

void SilenceModel::hedge(std::size_t Number) {
  Request &Each = this->Requests[Number];
  this->settle(Each);
  if (Each.Runs + 1 >= MaxRuns || !this->charge(Each)) {
    this->armSilence(Number, this->Now + this->limitOf(*Each.Current));
    return;
  }
  Each.Unresponsive = std::exchange(Each.Current, std::nullopt);
  Each.EventsDone += this->eventsAt(*Each.Unresponsive, this->Now);
  this->schedule(this->nextReceived(*Each.Unresponsive, this->Now),
                 EventKind::Recovery, Number, Each.Unresponsive->Number);
  this->ask(Number);
}

void SilenceModel::recover(std::size_t Number) {
  Request &Each = this->Requests[Number];
  if (Each.Pending)
    this->tell(Each.Group,
               AllocationCancelled{*std::exchange(Each.Pending, std::nullopt)});
  this->release(Each);
  if (Each.Current) {
    this->Result.WorkTwice += this->workAt(*Each.Current, this->Now);
    ++Each.Runs;
    this->settle(Each);
    this->closeAttempt(Number, *Each.Current, ServerVerdict::Healthy);
  }
  this->keepWaiting(Number);
}

void SilenceModel::keepWaiting(std::size_t Number) {
  Request &Each = this->Requests[Number];
  Each.Current = std::exchange(Each.Unresponsive, std::nullopt);
  Each.EventsDone = Each.Events - Each.Current->Events;
  this->armSilence(Number, this->Now + this->limitOf(*Each.Current));
}

void SilenceModel::supersede(std::size_t Number) {
  Request &Each = this->Requests[Number];
  const Attempt Closed = *std::exchange(Each.Unresponsive, std::nullopt);
  if (this->eventsAt(Closed, this->Now) == 0)
    this->Result.WorkTwice += this->workAt(Closed, this->Now);
  ++Each.Runs;
  this->closeAttempt(Number, Closed, ServerVerdict::Silent);
}

void SilenceModel::closeAttempt(std::size_t Number, const Attempt &Closed,
                                ServerVerdict Verdict) {
  this->tell(this->Requests[Number].Group, GrantEnded{Closed.Id, Verdict});
}

void SilenceModel::endRequest(std::size_t Number, std::size_t &Counter) {
  Request &Each = this->Requests[Number];
  Each.Ended = true;
  Each.EndedAt = this->Now;
  ++Counter;
  --this->Open;
  this->release(Each);
  this->settle(Each);
  if (Each.Pending)
    this->tell(Each.Group, AllocationCancelled{*Each.Pending});
  const bool TimeIsOver = this->Now >= Each.ArrivedAt + TimeLimit;
  if (Each.Current)
    this->closeAttempt(Number, *Each.Current,
                       TimeIsOver &&
                               this->eventsAt(*Each.Current, this->Now) == 0
                           ? ServerVerdict::Silent
                           : ServerVerdict::Healthy);
  if (Each.Unresponsive)
    this->closeAttempt(Number, *Each.Unresponsive, ServerVerdict::Silent);
}

void SilenceModel::lose(std::size_t Number) {
  this->endRequest(Number, this->Requests[Number].Begun ? this->Result.CutOff
                                                        : this->Result.Failed);
}

TimePoint SilenceModel::timeOf(const Attempt &Each, Duration Work) const {
  const TimePoint Undisturbed = Each.Start + Work;
  if (!this->Servers[Each.Server].FallsSilent ||
      Undisturbed <= this->SilentFrom || Each.Start >= this->SilentUntil)
    return Undisturbed;
  if (!this->Scenario.Pause)
    return TimePoint::max();
  const Duration Before =
      std::max(this->SilentFrom - Each.Start, Duration::zero());
  return this->SilentUntil + (Work - Before);
}

Duration SilenceModel::workAt(const Attempt &Each, TimePoint Time) const {
  if (!this->Servers[Each.Server].FallsSilent || Time <= this->SilentFrom ||
      Each.Start >= this->SilentUntil)
    return Time - Each.Start;
  return std::max(this->SilentFrom - Each.Start, Duration::zero()) +
         std::max(Time - this->SilentUntil, Duration::zero());
}

std::int64_t SilenceModel::eventsAt(const Attempt &Each, TimePoint Time) const {
  const Duration Work = this->workAt(Each, Time);
  if (Work < Prefill)
    return 0;
  return std::min<std::int64_t>(1 + (Work - Prefill) / EventInterval,
                                Each.Events);
}

TimePoint SilenceModel::lastReceived(const Attempt &Each,
                                     TimePoint Time) const {
  const std::int64_t Received = this->eventsAt(Each, Time);
  if (Received == 0)
    return Each.Start;
  return this->timeOf(Each, Prefill + EventInterval * (Received - 1));
}

TimePoint SilenceModel::nextReceived(const Attempt &Each,
                                     TimePoint Time) const {
  return this->timeOf(Each,
                      Prefill + EventInterval * this->eventsAt(Each, Time));
}

Duration SilenceModel::limitOf(const Attempt &Each) const {
  return this->eventsAt(Each, this->Now) > 0 ? this->Scenario.StreamLimit
                                             : this->Scenario.HeadLimit;
}

/// The time in which silent servers may have held the request, in limits.
std::size_t SilenceModel::limitsWithin(const Request &Each) const {
  const TimePoint From =
      std::max(Each.ArrivedAt, this->SilentFrom - EventInterval);
  const TimePoint Until =
      this->Scenario.Pause ? std::min(Each.EndedAt, this->SilentUntil + Prefill)
                           : Each.EndedAt;
  const Duration Limit =
      std::min(this->Scenario.StreamLimit, this->Scenario.HeadLimit);
  return Until < From ? 0 : static_cast<std::size_t>((Until - From) / Limit);
}

/// Whether the server may be silent during the attempt.
bool SilenceModel::isTouched(const Attempt &Each) const {
  return this->Servers[Each.Server].FallsSilent &&
         Each.Start < this->SilentUntil;
}

} // namespace parsleywing::test
