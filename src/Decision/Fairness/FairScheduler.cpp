#include "Decision/Fairness/FairScheduler.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Weight of one ended request in the moving averages.
constexpr double LearningRate = 0.05;

} // namespace

FairScheduler::FairScheduler(FairnessSettings S)
    : Settings(S), Random(S.Seed), Home(S.HomeTakeover),
      Digests(S.DigestLifetime), Outgoing(S.FlushInterval) {
  // A random start, so that routers that start together do not all send to the
  // same peers.
  this->DigestCursor = this->Random() >> 32;
}

FairnessActions FairScheduler::handle(TimePoint At,
                                      const FairnessEvent &Event) {
  this->Now = At;
  if (!this->StartedAt)
    this->StartedAt = At;
  std::visit([this](const auto &E) { this->on(E); }, Event);
  this->scheduleDirty();
  if (this->Outgoing.anyUrgent())
    this->flush();
  return std::exchange(this->PendingActions, {});
}

bool FairScheduler::shared() const {
  return std::holds_alternative<SharedPolicy>(this->Settings.Policy);
}

void FairScheduler::on(const RequestQueued &Event) {
  const PairId Pair = pairOf(Event.Account, Event.Service);
  ServiceState &Service = this->Services[Event.Service];
  LedgerEntry &Entry = this->Ledger.open(Event.Account, Event.Service,
                                         this->shareOf(Event.Account));
  if (Entry.RequestsInFlight == 0 && !Service.Queue.waits(Pair))
    this->reenter(Pair, Service);
  PARSLEYWING_INVARIANT(!this->Running.contains(Event.Request),
                        "a request is queued before it runs");
  this->WaitingRequests[Event.Request] = Pair;
  if (Event.Avoid != ServerId{})
    this->AvoidedServers[Event.Request] = Event.Avoid;
  Service.Queue.push(
      Pair, {Event.Request, static_cast<double>(Event.EstimatedTokens)},
      Entry.virtualTime(), this->isCapped(Entry));
  this->DirtyServices.insert(Event.Service);
}

void FairScheduler::on(const RequestWithdrawn &Event) {
  const auto Found = this->WaitingRequests.find(Event.Request);
  if (Found == this->WaitingRequests.end())
    return;
  const ServiceId Service = this->Ledger.at(Found->second).Service;
  this->Services[Service].Queue.withdraw(Found->second, Event.Request);
  this->WaitingRequests.erase(Found);
  this->AvoidedServers.erase(Event.Request);
  this->DirtyServices.insert(Service);
}

void FairScheduler::on(const RequestCharged &Event) {
  const auto Found = this->Running.find(Event.Request);
  if (Found == this->Running.end())
    return;
  // While the request runs, the estimate remains charged; only tokens beyond it
  // are charged additionally.
  const auto Tokens = static_cast<double>(Event.Tokens);
  if (Tokens > Found->second.Charged)
    this->charge(Found->second, Tokens);
}

void FairScheduler::on(const RequestReleased &Event) {
  const auto Found = this->Running.find(Event.Request);
  if (Found == this->Running.end())
    return;
  RunningRequest Request = Found->second;
  this->Running.erase(Found);
  this->charge(Request, static_cast<double>(Event.Tokens));
  this->learnCost(Request);
  LedgerEntry &Entry = this->Ledger.at(Request.Pair);
  Entry.InFlight = std::max(0.0, Entry.InFlight - Request.Charged);
  --Entry.RequestsInFlight;
  this->reposition(Request.Pair);
  --this->Services[Request.Service].Running;
  this->Slots.release(this->Now, Request.Server);
  this->onSlotReleased(Request.Server, Request.Service);
}

void FairScheduler::on(const LoadReported &Event) {
  if (!this->shared() || !this->Owner.owns(Event.Server))
    return;
  this->Owner.windowOf(Event.Server)
      .report(this->Now, Event.Running, Event.Waiting, this->Settings);
  this->refreshServer(Event.Server);
}

void FairScheduler::on(const ServerConditionChanged &Event) {
  this->Servers[Event.Server].Condition = Event.Condition;
  const SlotLease *Lease = this->Slots.find(Event.Server);
  while (this->shared() && Lease != nullptr && Lease->idle() > 0 &&
         Event.Condition != ServerCondition::Usable)
    this->returnSlot(Event.Server, false);
  this->refreshServer(Event.Server);
  this->refusePaused(Event.Server);
}

void FairScheduler::on(const ServerPaused &Event) {
  const auto Found = this->Servers.find(Event.Server);
  if (Found == this->Servers.end() || Event.Until <= Found->second.PausedUntil)
    return;
  this->Pauses.erase({Found->second.PausedUntil, Event.Server});
  Found->second.PausedUntil = Event.Until;
  this->Pauses.emplace(Event.Until, Event.Server);
  this->refreshServer(Event.Server);
  this->refusePaused(Event.Server);
}

std::optional<TimePoint> FairScheduler::pausedUntil(TimePoint At,
                                                    ServiceId Service) const {
  const auto Declared = this->ActiveDeclarations->Services.find(Service);
  if (this->Pauses.empty() ||
      Declared == this->ActiveDeclarations->Services.end())
    return std::nullopt;
  std::optional<TimePoint> First;
  for (const ServerId Server : Declared->second.Servers) {
    const auto Found = this->Servers.find(Server);
    if (Found == this->Servers.end() || !Found->second.usable())
      continue;
    const TimePoint Until = Found->second.PausedUntil;
    if (!Found->second.isPaused(At))
      return std::nullopt;
    First = std::min(First.value_or(Until), Until);
  }
  return First;
}

/// Refuses the queued requests of the server's services that have no server
/// left until a pause ends.
void FairScheduler::refusePaused(ServerId Server) {
  for (const ServiceId Service : this->Servers.at(Server).Services) {
    const auto Until = this->pausedUntil(this->Now, Service);
    if (!Until)
      continue;
    for (const auto &[Request, Pair] : this->WaitingRequests)
      if (this->Ledger.at(Pair).Service == Service)
        this->PendingActions.emplace_back(
            RefusePaused{Request, *Until - this->Now});
  }
}

void FairScheduler::endPauses() {
  while (!this->Pauses.empty() && this->Pauses.begin()->first <= this->Now) {
    const ServerId Server = this->Pauses.begin()->second;
    this->Pauses.erase(this->Pauses.begin());
    this->refreshServer(Server);
  }
}

void FairScheduler::on(const DeclarationsChanged &Event) {
  this->ActiveDeclarations = Event.Active;
  this->updateDeclarations();
  this->updateOwnership();
}

void FairScheduler::on(const ViewChanged &Event) {
  const View PreviousView = std::exchange(this->CurrentView, Event.Current);
  this->HomeCache.clear();
  this->Digests.dropGone(this->CurrentView);
  this->Outgoing.dropGone(this->CurrentView);
  this->Owner.dropGone(this->CurrentView);
  this->updateOwnership();
  this->Home.keepOnly([this](PairId Pair) {
    return this->homeOf(Pair) == this->CurrentView.Self;
  });
  this->sendDigestsToNew(PreviousView);
}

void FairScheduler::on(const Tick &) {
  this->endPauses();
  if (!this->shared())
    return;
  if (this->GrantsStartAt && this->Now >= *this->GrantsStartAt) {
    this->GrantsStartAt.reset();
    for (ServerId Server : this->Owner.servers())
      this->refreshServer(Server);
  }
  this->expireIdle();
  this->sendBursts();
  if (this->Now >= this->NextDigests)
    this->sendDigests();
  if (this->Now >= this->NextContributions)
    this->sendContributions();
  if (this->Now >= this->NextResend)
    this->resend();
  this->scheduleDirty();
  this->flush();
}

double FairScheduler::shareOf(AccountId Account) const {
  const auto Found = this->ActiveDeclarations->Accounts.find(Account);
  return Found == this->ActiveDeclarations->Accounts.end()
             ? 1
             : std::max(1U, Found->second.Share);
}

bool FairScheduler::isCapped(const LedgerEntry &Entry) const {
  return Entry.RequestsInFlight > 0 &&
         Entry.InFlight >= this->Settings.InFlightCap * Entry.Share;
}

void FairScheduler::reposition(PairId Pair) {
  const LedgerEntry &Entry = this->Ledger.at(Pair);
  this->Services[Entry.Service].Queue.reposition(Pair, Entry.virtualTime(),
                                                 this->isCapped(Entry));
}

void FairScheduler::charge(RunningRequest &Request, double Tokens) {
  const double Change = Tokens - Request.Charged;
  Request.Charged = Tokens;
  this->Ledger.charge(Request.Pair, Change);
  this->Ledger.at(Request.Pair).InFlight += Change;
  this->reposition(Request.Pair);
}

void FairScheduler::reenter(PairId Pair, ServiceState &Service) {
  LedgerEntry &Entry = this->Ledger.at(Pair);
  const bool Fresh =
      Entry.Confirmed && this->Now <= Entry.ConfirmedAt +
                                          this->Settings.ContributionInterval +
                                          this->ContributionCycle;
  if (!this->shared()) {
    Entry.Confirmed = true;
  } else if (!Fresh) {
    // Other routers may have charged the account in the meantime. An increase
    // of the virtual time computed from the old total would come on top of
    // their charges.
    this->Ledger.markUnconfirmed(Pair);
    this->contribute(Pair, true);
  }
  this->Ledger.reenter(Pair, this->virtualTime(Entry.Service, Service),
                       this->Settings.MaxDebt);
}

double FairScheduler::virtualTime(ServiceId Id,
                                  const ServiceState &Service) const {
  const std::optional<double> OwnTag = Service.Queue.lowestTag();
  const std::optional<double> OtherTag = this->Digests.lowest(Id);
  if (OwnTag && OtherTag)
    return std::min(*OwnTag, *OtherTag);
  if (OwnTag || OtherTag)
    return OwnTag ? *OwnTag : *OtherTag;
  return std::max(Service.VirtualTime, this->Digests.idleTime(Id));
}

double FairScheduler::estimateOf(const ServiceState &Service,
                                 double Hint) const {
  const double Mean =
      Service.MeanCost > 0 ? Service.MeanCost : this->Settings.FirstMeanCost;
  return std::clamp(Hint, Mean / this->Settings.HintFactor,
                    Mean * this->Settings.HintFactor);
}

void FairScheduler::learnCost(const RunningRequest &Request) {
  ServiceState &Service = this->Services[Request.Service];
  const auto UpdateMean = [](double &Mean, double Value) {
    Mean = Mean > 0 ? Mean + (Value - Mean) * LearningRate : Value;
  };
  UpdateMean(Service.MeanCost, Request.Charged);
  UpdateMean(Service.MeanStep,
             Request.Charged / this->Ledger.at(Request.Pair).Share);
}

void FairScheduler::admit(ServiceId Id, ServiceState &Service) {
  while (!Service.Queue.empty() && !Service.Free.empty())
    this->admitOne(Service);
  this->updateBurst(Id, Service);
}

void FairScheduler::admitOne(ServiceState &Service) {
  const PairId Pair = *Service.Queue.next();
  LedgerEntry &Entry = this->Ledger.at(Pair);
  Service.VirtualTime = std::max(Service.VirtualTime, Entry.virtualTime());
  const FairQueue::QueuedRequest First = Service.Queue.pop(Pair);
  const ServerId Server = this->serverFor(Service, First.Request);
  PARSLEYWING_INVARIANT(this->Servers.at(Server).usable() &&
                            !this->Servers.at(Server).isPaused(this->Now),
                        "requests are admitted to usable servers only");
  this->WaitingRequests.erase(First.Request);
  auto [Found, New] = this->Running.try_emplace(
      First.Request, RunningRequest{Pair, Entry.Service, Server, 0});
  PARSLEYWING_INVARIANT(New, "a request is admitted once");
  ++Entry.RequestsInFlight;
  ++Service.Running;
  this->charge(Found->second, this->estimateOf(Service, First.Cost));
  this->Slots.use(this->Now, Server);
  this->refreshServer(Server);
  ++this->Counters.Admitted;
  this->PendingActions.emplace_back(AdmitRequest{First.Request, Server});
}

/// Returns the server with the most free slots, or the next one if the request
/// last failed there. This is a preference only: no slot remains idle because
/// of it.
ServerId FairScheduler::serverFor(const ServiceState &Service,
                                  RequestId Request) {
  const ServerId First = Service.Free.begin()->second;
  const auto Avoid = this->AvoidedServers.extract(Request);
  if (Avoid.empty() || Avoid.mapped() != First || Service.Free.size() == 1)
    return First;
  return std::next(Service.Free.begin())->second;
}

bool FairScheduler::isAvoidedByNext(const ServiceState &Service,
                                    ServerId Server) const {
  const std::optional<RequestId> Next = Service.Queue.nextRequest();
  if (!Next)
    return false;
  const auto Found = this->AvoidedServers.find(*Next);
  return Found != this->AvoidedServers.end() && Found->second == Server;
}

void FairScheduler::scheduleDirty() {
  while (!this->DirtyServices.empty()) {
    const ServiceId Id = *this->DirtyServices.begin();
    this->DirtyServices.erase(this->DirtyServices.begin());
    this->scheduleService(Id);
  }
}

void FairScheduler::scheduleService(ServiceId Id) {
  ServiceState &Service = this->Services[Id];
  this->admit(Id, Service);
  if (this->shared()) {
    this->distribute(Id, Service);
    this->returnIdleSlots(Id, Service);
    this->distribute(Id, Service);
  }
  this->updateBurst(Id, Service);
  if (this->shared())
    this->sendStarvedDigest(Id, Service);
  this->checkInvariants(Id);
}

void FairScheduler::checkInvariants(ServiceId Id) const {
  const ServiceState &Service = this->Services.at(Id);
  PARSLEYWING_INVARIANT(
      Service.Queue.empty() || Service.Free.empty(),
      "no slot is idle while a request that can use it is queued");
}

Poco::JSON::Object::Ptr FairScheduler::dump() const {
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Poco::JSON::Array::Ptr Accounts = new Poco::JSON::Array;
  for (const auto &[Pair, Entry] : this->Ledger.all()) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
    Item->set("account", Entry.Account.Value);
    Item->set("service", Entry.Service.Value);
    Item->set("position", Entry.virtualTime());
    Item->set("own-tokens", Entry.Own);
    Item->set("others-tokens", Entry.Others);
    Item->set("in-flight", Entry.RequestsInFlight);
    Accounts->add(Item);
  }
  Poco::JSON::Array::Ptr Queues = new Poco::JSON::Array;
  for (const auto &[Id, Service] : this->Services) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
    Item->set("service", Id.Value);
    Item->set("waiting", Service.Queue.size());
    Item->set("lowest-tag", Service.Queue.lowestTag().value_or(0));
    Item->set("virtual-time", Service.VirtualTime);
    Queues->add(Item);
  }
  Poco::JSON::Array::Ptr HeldSlots = new Poco::JSON::Array;
  for (const auto &[Server, Lease] : this->Slots.all()) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
    Item->set("server", Server.Value);
    Item->set("owner", Lease.Owner.Value);
    Item->set("held", Lease.held());
    Item->set("in-use", Lease.InUse);
    HeldSlots->add(Item);
  }
  Poco::JSON::Array::Ptr Owned = new Poco::JSON::Array;
  for (ServerId Server : this->Owner.servers()) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
    Item->set("server", Server.Value);
    Item->set("slots-out", this->Owner.outAt(Server));
    Owned->add(Item);
  }
  Dump->set("policy", this->shared() ? "shared" : "local-only");
  Dump->set("positions", Accounts);
  Dump->set("queues", Queues);
  Dump->set("slots", HeldSlots);
  Dump->set("owned-servers", Owned);
  Dump->set("messages-sent", this->Counters.MessagesSent);
  Dump->set("bytes-sent", this->Counters.BytesSent);
  Dump->set("slots-granted", this->Counters.SlotsGranted);
  Dump->set("slots-returned", this->Counters.SlotsReturned);
  return Dump;
}

} // namespace parsleywing
