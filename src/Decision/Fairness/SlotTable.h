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
  /// The owner's limit, void after KeepUntil.
  std::uint32_t MaxHeld = std::numeric_limits<std::uint16_t>::max();
  TimePoint KeepUntil;
  TimePoint IdleSince;
  TimePoint LastReport;

  std::uint32_t held() const { return this->Granted - this->Returned; }
  std::uint32_t idle() const {
    return this->held() > this->InUse ? this->held() - this->InUse : 0;
  }
};

/// The slots that this router holds. A slot in use may outlive its lease when
/// the equal parts of the baseline shrink; in the shared policy never.
class SlotTable {
public:
  const SlotLease *find(ServerId Server) const;

  /// Takes the owner's counters. Only the highest count.
  void applyGrant(TimePoint Now, RouterId From, Incarnation Life,
                  const SlotGrant &Grant, Duration KeepFor);

  /// One more or fewer slot by this router's own decision as owner.
  void grantOwn(ServerId Server);

  /// Gives back one idle slot.
  void returnSlot(ServerId Server);

  /// The baseline's part: a fixed number of slots.
  void setPart(ServerId Server, std::uint32_t Slots);

  /// A new owner counts from what is held now.
  void setOwner(ServerId Server, RouterId Owner, Incarnation Life);

  void use(TimePoint Now, ServerId Server);
  void release(TimePoint Now, ServerId Server);

  SlotReport reportOf(TimePoint Now, ServerId Server);

  /// Servers whose owner has not acknowledged what it was told for so long.
  std::vector<ServerId> unacknowledged(TimePoint Now, Duration After);

  /// Servers with idle slots.
  const std::set<ServerId> &idle() const { return this->Idle; }
  const std::map<ServerId, SlotLease> &all() const { return this->Leases; }

private:
  void touch(ServerId Server, SlotLease &Lease);

  std::map<ServerId, SlotLease> Leases;
  std::set<ServerId> Idle;
  std::set<ServerId> Unacknowledged;
};

} // namespace parsleywing

#endif
