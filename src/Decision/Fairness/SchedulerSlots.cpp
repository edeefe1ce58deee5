// The part of FairScheduler that moves slots between routers.
#include "Decision/Fairness/FairScheduler.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

void FairScheduler::markDirty(const ServerState &Server) {
  this->DirtyServices.insert(Server.Services.begin(), Server.Services.end());
}

void FairScheduler::refreshServer(ServerId Id) {
  ServerState &Server = this->Servers[Id];
  const SlotLease *Lease = this->Slots.find(Id);
  const std::uint32_t Idle = Lease == nullptr ? 0 : Lease->idle();
  const bool IsPaused = Server.isPaused(this->Now);
  const std::uint32_t Free = Server.usable() && !IsPaused ? Idle : 0;
  const bool CanGive = this->shared() && Server.usable() &&
                       this->Owner.freeSlots(this->Now, Id) > 0;
  for (ServiceId Name : Server.Services) {
    ServiceState &Service = this->Services[Name];
    Service.Free.erase({-static_cast<std::int64_t>(Server.ListedFree), Id});
    if (Free > 0)
      Service.Free.emplace(-static_cast<std::int64_t>(Free), Id);
    if (CanGive)
      Service.OwnedFree.insert(Id);
    else
      Service.OwnedFree.erase(Id);
  }
  if (Free > Server.ListedFree || CanGive)
    this->markDirty(Server);
  Server.ListedFree = Free;
}

void FairScheduler::returnSlot(ServerId Id, bool Urgent) {
  this->Slots.returnSlot(Id);
  ++this->Counters.SlotsReturned;
  const SlotLease &Lease = *this->Slots.find(Id);
  if (Lease.Owner == this->CurrentView.Self)
    this->Owner.takeBackOwn(Id, this->CurrentView.Self);
  else
    this->Outgoing.to(this->Now, Lease.Owner, Urgent).Reports.insert(Id);
  this->refreshServer(Id);
}

void FairScheduler::returnIdleSlots(ServiceId Id, ServiceState &Service) {
  const bool OthersWait = this->Digests.anyWaiting(Id);
  std::vector<ServerId> Idle;
  for (const auto &[Free, Server] : Service.Free)
    if (OthersWait || this->Slots.find(Server)->Owner == this->CurrentView.Self)
      Idle.push_back(Server);
  for (ServerId Server : Idle)
    while (this->Slots.find(Server)->idle() > 0)
      this->returnSlot(Server, true);
}

bool FairScheduler::mustReturnSlot(ServerId Id, const SlotLease &Lease) const {
  const bool Limited = this->Now < Lease.MaxHeldUntil;
  return !this->Servers.at(Id).usable() ||
         this->Servers.at(Id).isPaused(this->Now) ||
         Lease.Owner == this->CurrentView.Self ||
         (Limited && Lease.held() > Lease.MaxHeld);
}

bool FairScheduler::isAhead(ServiceId Id, ServiceState &Service, double Steps) {
  const std::optional<double> OwnTag = Service.Queue.lowestTag();
  const auto Other =
      this->Digests.sample(Id, this->Settings.SampleSize, this->Random);
  if (!OwnTag || !Other)
    return false;
  // The slack avoids moves between routers that all have slots. A router
  // without any slot would only be delayed by it.
  const double Slack = Other->Starved ? 0 : Steps * Service.MeanStep;
  if (*OwnTag <= Other->Tag + Slack)
    return false;
  this->Digests.advance(Id, Other->Router, Service.MeanStep);
  return true;
}

void FairScheduler::returnToOwner(ServerId Id, ServiceId Service) {
  const SlotLease &Lease = *this->Slots.find(Id);
  // Lets the owner decide by the current tag of this router instead of an
  // outdated one.
  if (this->maySendDigest(Service))
    this->Outgoing.to(this->Now, Lease.Owner, true).Digests.insert(Service);
  this->returnSlot(Id, true);
}

void FairScheduler::onSlotReleased(ServerId Id, ServiceId Service) {
  const SlotLease &Lease = *this->Slots.find(Id);
  if (this->shared() && Lease.idle() > 0) {
    if (this->mustReturnSlot(Id, Lease)) {
      this->returnSlot(Id, true);
    } else if (this->isAhead(Service, this->Services[Service],
                             this->Settings.ReturnSlack)) {
      this->returnToOwner(Id, Service);
    }
  }
  this->refreshServer(Id);
  this->markDirty(this->Servers[Id]);
}

void FairScheduler::distribute(ServiceId Id, ServiceState &Service) {
  // A server that is paused for this router can only be granted to others.
  std::size_t Skipped = 0;
  while (Skipped < Service.OwnedFree.size()) {
    auto Next = Service.OwnedFree.upper_bound(Service.LastGranted);
    if (Next == Service.OwnedFree.end())
      Next = Service.OwnedFree.begin();
    if (this->isAvoidedByNext(Service, *Next) &&
        ++Next == Service.OwnedFree.end())
      Next = Service.OwnedFree.begin();
    const ServerId Server = *Next;
    const bool Granted = this->grantOne(Id, Service, Server);
    if (!Granted && !this->Servers.at(Server).isPaused(this->Now))
      return;
    Skipped = Granted ? 0 : Skipped + 1;
    Service.LastGranted = Server;
  }
}

bool FairScheduler::grantOne(ServiceId Id, ServiceState &Service,
                             ServerId Server) {
  std::optional<double> OwnTag;
  if (!this->Servers.at(Server).isPaused(this->Now))
    OwnTag = Service.Queue.lowestTag();
  const auto Other =
      this->Digests.sample(Id, this->Settings.SampleSize, this->Random);
  if (!OwnTag && !Other)
    return false;
  ++this->Counters.SlotsGranted;
  if (OwnTag && (!Other || *OwnTag <= Other->Tag)) {
    this->Owner.grant(Server, this->CurrentView.Self, this->ownIncarnation());
    this->Slots.grantOwn(Server);
    this->refreshServer(Server);
    this->admit(Id, Service);
    return true;
  }
  const Member *To = this->memberOf(Other->Router);
  PARSLEYWING_INVARIANT(To != nullptr,
                        "digests are kept only for routers in the view");
  this->Owner.grant(Server, To->Router, To->IncarnationNumber);
  this->Digests.advance(Id, To->Router, Service.MeanStep);
  this->Outgoing.to(this->Now, To->Router, true).Grants.insert(Server);
  this->refreshServer(Server);
  return true;
}

void FairScheduler::updateDeclarations() {
  for (auto &[Id, Server] : this->Servers) {
    for (ServiceId Service : Server.Services) {
      this->Services[Service].Free.erase(
          {-static_cast<std::int64_t>(Server.ListedFree), Id});
      this->Services[Service].OwnedFree.erase(Id);
    }
    Server.Services.clear();
    Server.Declared = false;
    Server.ListedFree = 0;
  }
  for (const auto &[Id, Declaration] : this->ActiveDeclarations->Servers) {
    this->Servers[Id].Declared = true;
    this->Servers[Id].MaxConcurrent = Declaration.MaxConcurrent;
  }
  for (const auto &[Name, Declaration] : this->ActiveDeclarations->Services)
    for (ServerId Server : Declaration.Servers)
      if (this->Servers.contains(Server))
        this->Servers[Server].Services.push_back(Name);
  for (const auto &[Pair, Entry] : this->Ledger.all())
    if (this->shareOf(Entry.Account) != Entry.Share) {
      this->Ledger.setShare(Pair, this->shareOf(Entry.Account));
      this->reposition(Pair);
    }
}

void FairScheduler::updateOwnership() {
  if (!this->shared()) {
    this->updateEqualParts();
    return;
  }
  const bool Alone = this->CurrentView.Members.size() <= 1;
  const TimePoint FirstGrantAt =
      Alone ? this->Now : this->Now + this->Settings.TakeoverWait;
  for (auto &[Id, Server] : this->Servers) {
    const RouterId NewOwner = ownerOf(this->CurrentView, Id.Value);
    const bool IsOwner = NewOwner == this->CurrentView.Self && Server.Declared;
    const Member *OwnerMember = this->memberOf(NewOwner);
    this->Slots.setOwner(
        Id, NewOwner,
        OwnerMember == nullptr ? 0 : OwnerMember->IncarnationNumber);
    const bool WasOwner = this->Owner.owns(Id);
    if (IsOwner)
      this->Owner.add(Id, Server.MaxConcurrent, FirstGrantAt);
    else
      this->Owner.remove(Id);
    if (IsOwner && !WasOwner)
      this->Owner.adoptOwn(Id, {this->CurrentView.Self, this->ownIncarnation()},
                           this->Slots.find(Id)->held());
    this->refreshServer(Id);
  }
  this->GrantsStartAt = FirstGrantAt;
}

void FairScheduler::updateEqualParts() {
  const auto Routers = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, this->CurrentView.Members.size()));
  for (auto &[Id, Server] : this->Servers) {
    const std::uint64_t Key = Id.Value;
    const std::uint64_t Score =
        rendezvousScore(this->CurrentView.Self.Value, Key);
    const auto Rank =
        std::ranges::count_if(this->CurrentView.Members, [&](const Member &M) {
          return rendezvousScore(M.Router.Value, Key) > Score;
        });
    const std::uint32_t Remainder = Server.MaxConcurrent % Routers;
    const std::uint32_t Extra = Rank < static_cast<long>(Remainder) ? 1 : 0;
    this->Slots.setPart(Id, Server.MaxConcurrent / Routers + Extra);
    this->refreshServer(Id);
  }
}

void FairScheduler::expireIdle() {
  std::vector<ServerId> Expired;
  for (ServerId Server : this->Slots.idle())
    if (this->Now >=
        this->Slots.find(Server)->IdleSince + this->Settings.IdleHold)
      Expired.push_back(Server);
  for (ServerId Server : Expired)
    while (this->Slots.find(Server)->idle() > 0)
      this->returnSlot(Server, false);
}

void FairScheduler::recall() {
  for (ServerId Server : this->Owner.servers()) {
    this->Owner.windowOf(Server).tick(this->Now, this->Settings);
    this->refreshServer(Server);
  }
  for (const SlotOwner::Due &Due : this->Owner.recall())
    if (Due.Holder != this->CurrentView.Self)
      this->Outgoing.to(this->Now, Due.Holder, false).Grants.insert(Due.Server);
}

} // namespace parsleywing
