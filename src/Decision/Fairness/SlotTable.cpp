#include "Decision/Fairness/SlotTable.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

const SlotLease *SlotTable::find(ServerId Server) const {
  const auto Found = this->Leases.find(Server);
  return Found == this->Leases.end() ? nullptr : &Found->second;
}

void SlotTable::applyGrant(TimePoint Now, RouterId From,
                           Incarnation IncarnationNumber,
                           const SlotGrant &Grant, Duration LimitLifetime) {
  const ServerId Server{Grant.Server};
  SlotLease &Lease = this->Leases[Server];
  if (Lease.Owner != From || Lease.OwnerIncarnation != IncarnationNumber)
    return;
  // A grant without changes was sent again because the owner has no
  // acknowledgement. A grant with a lower count is from an owner that lost its
  // counters, because its view changed back and forth. Without a report from
  // this router, it would forever count slots as granted that nobody holds, and
  // the server would idle.
  if (Grant.Granted < Lease.Granted ||
      (Grant.Granted == Lease.Granted &&
       Grant.ReturnedSeen <= Lease.ReturnedSeen)) {
    this->Unacknowledged.insert(Server);
    Lease.LastReport = TimePoint{};
  }
  if (Grant.Granted > Lease.Granted) {
    if (Lease.idle() == 0)
      Lease.IdleSince = Now;
    Lease.Granted = Grant.Granted;
    // The owner resends the grant until it receives an acknowledgement.
    this->Unacknowledged.insert(Server);
    Lease.LastReport = TimePoint{};
  }
  Lease.ReturnedSeen = std::max(Lease.ReturnedSeen, Grant.ReturnedSeen);
  // An owner that kept its counters while this router believed in another owner
  // may know of more returns. Slots in use are never removed.
  if (Lease.ReturnedSeen > Lease.Returned)
    Lease.Returned = std::max(
        Lease.Returned,
        std::min(Lease.ReturnedSeen,
                 Lease.Granted - std::min(Lease.InUse, Lease.Granted)));
  Lease.MaxHeld = Grant.MaxHeld;
  Lease.MaxHeldUntil = Now + LimitLifetime;
  if (Lease.ReturnedSeen >= Lease.Returned && Lease.LastReport != TimePoint{})
    this->Unacknowledged.erase(Server);
  this->updateIdle(Server, Lease);
}

void SlotTable::grantOwn(ServerId Server) {
  SlotLease &Lease = this->Leases[Server];
  ++Lease.Granted;
  this->updateIdle(Server, Lease);
}

void SlotTable::returnSlot(ServerId Server) {
  SlotLease &Lease = this->Leases[Server];
  PARSLEYWING_INVARIANT(Lease.idle() > 0, "only an idle slot is returned");
  ++Lease.Returned;
  this->Unacknowledged.insert(Server);
  this->updateIdle(Server, Lease);
}

void SlotTable::setPart(ServerId Server, std::uint32_t Slots) {
  SlotLease &Lease = this->Leases[Server];
  Lease.Granted = Slots;
  Lease.Returned = 0;
  this->updateIdle(Server, Lease);
}

void SlotTable::setOwner(ServerId Server, RouterId Owner,
                         Incarnation IncarnationNumber) {
  SlotLease &Lease = this->Leases[Server];
  if (Lease.Owner == Owner && Lease.OwnerIncarnation == IncarnationNumber)
    return;
  Lease.Owner = Owner;
  Lease.OwnerIncarnation = IncarnationNumber;
  Lease.Granted = Lease.held();
  Lease.Returned = 0;
  Lease.ReturnedSeen = 0;
  Lease.MaxHeldUntil = TimePoint{};
  Lease.LastReport = TimePoint{};
  if (Lease.Granted > 0)
    this->Unacknowledged.insert(Server);
  else
    this->Unacknowledged.erase(Server);
  this->updateIdle(Server, Lease);
}

void SlotTable::use(TimePoint, ServerId Server) {
  SlotLease &Lease = this->Leases[Server];
  PARSLEYWING_INVARIANT(Lease.idle() > 0, "an admitted request has a slot");
  ++Lease.InUse;
  this->updateIdle(Server, Lease);
}

void SlotTable::release(TimePoint Now, ServerId Server) {
  SlotLease &Lease = this->Leases[Server];
  PARSLEYWING_INVARIANT(Lease.InUse > 0, "a released slot was in use");
  --Lease.InUse;
  Lease.IdleSince = Now;
  this->updateIdle(Server, Lease);
}

SlotReport SlotTable::reportOf(TimePoint Now, ServerId Server) {
  SlotLease &Lease = this->Leases[Server];
  Lease.LastReport = Now;
  if (Lease.ReturnedSeen >= Lease.Returned)
    this->Unacknowledged.erase(Server);
  return {Server.Value, Lease.Granted, Lease.Returned};
}

std::vector<ServerId> SlotTable::unacknowledged(TimePoint Now, Duration After) {
  std::vector<ServerId> Due;
  for (ServerId Server : this->Unacknowledged) {
    const SlotLease &Lease = this->Leases[Server];
    if (Lease.LastReport == TimePoint{} || Now >= Lease.LastReport + After)
      Due.push_back(Server);
  }
  return Due;
}

void SlotTable::updateIdle(ServerId Server, SlotLease &Lease) {
  if (Lease.idle() > 0)
    this->Idle.insert(Server);
  else
    this->Idle.erase(Server);
}

} // namespace parsleywing
