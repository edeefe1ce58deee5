#ifndef PARSLEYWING_DECISION_FAIRNESS_SLOTTABLE_H
#define PARSLEYWING_DECISION_FAIRNESS_SLOTTABLE_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"

#include <limits>
#include <map>
#include <set>
#include <vector>

namespace parsleywing {

/// The slots that this router holds at one server.
struct SlotLease {
  RouterId Owner;
  Incarnation OwnerIncarnation = 0;
  std::uint32_t Granted = 0;
  std::uint32_t Returned = 0;
  std::uint32_t ReturnedSeen = 0;
  std::uint32_t InUse = 0;
  /// The limit set by the owner, valid until `MaxHeldUntil`.
  std::uint32_t MaxHeld = std::numeric_limits<std::uint16_t>::max();
  TimePoint MaxHeldUntil;
  TimePoint IdleSince;
  TimePoint LastReport;

  std::uint32_t held() const { return this->Granted - this->Returned; }
  std::uint32_t idle() const {
    return this->held() > this->InUse ? this->held() - this->InUse : 0;
  }
};

/// The slots that this router holds. With `LocalOnlyPolicy`, a request may use
/// a slot that is no longer held after the equal parts have shrunk. With
/// `SharedPolicy` this cannot happen.
class SlotTable {
public:
  const SlotLease *find(ServerId Server) const;

  /// Applies the counters of the owner. Each counter keeps its highest value.
  /// The limit in the grant expires after `LimitLifetime`.
  void applyGrant(TimePoint Now, RouterId From, Incarnation IncarnationNumber,
                  const SlotGrant &Grant, Duration LimitLifetime);

  /// Adds a slot that this router grants itself as the owner.
  void grantOwn(ServerId Server);

  /// Returns one idle slot.
  void returnSlot(ServerId Server);

  /// Sets the number of slots for `LocalOnlyPolicy`.
  void setPart(ServerId Server, std::uint32_t Slots);

  /// Changes the owner. The counters restart from the slots that are held now.
  void setOwner(ServerId Server, RouterId Owner, Incarnation IncarnationNumber);

  void use(TimePoint Now, ServerId Server);
  void release(TimePoint Now, ServerId Server);

  SlotReport reportOf(TimePoint Now, ServerId Server);

  /// Servers whose owner has not acknowledged the last report within `After`.
  std::vector<ServerId> unacknowledged(TimePoint Now, Duration After);

  /// Servers with idle slots.
  const std::set<ServerId> &idle() const { return this->Idle; }
  const std::map<ServerId, SlotLease> &all() const { return this->Leases; }

private:
  void updateIdle(ServerId Server, SlotLease &Lease);

  std::map<ServerId, SlotLease> Leases;
  std::set<ServerId> Idle;
  std::set<ServerId> Unacknowledged;
};

} // namespace parsleywing

#endif
