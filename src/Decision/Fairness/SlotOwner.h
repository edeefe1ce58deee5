#ifndef PARSLEYWING_DECISION_FAIRNESS_SLOTOWNER_H
#define PARSLEYWING_DECISION_FAIRNESS_SLOTOWNER_H

#include "Decision/Fairness/AdmissionWindow.h"
#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace parsleywing {

/// The slots of the servers that this router owns, and the routers that hold
/// them. Two simultaneous owners can overload a server for a short time, but do
/// no other harm. Each operation costs O(log servers).
class SlotOwner {
public:
  /// Makes this router the owner of the server. No slots are granted before
  /// `GrantsStartAt`, so that holders can report the slots that they hold.
  void add(ServerId Server, std::uint32_t MaxConcurrent,
           TimePoint GrantsStartAt);
  void remove(ServerId Server) { this->Owned.erase(Server); }
  bool owns(ServerId Server) const { return this->Owned.contains(Server); }

  /// Frees the slots of routers that have left the view or restarted.
  void dropGone(const View &Current);

  AdmissionWindow &windowOf(ServerId Server);

  /// The number of free slots that may be granted now.
  std::uint32_t freeSlots(TimePoint Now, ServerId Server) const;

  void grant(ServerId Server, RouterId To, Incarnation IncarnationNumber);

  /// Applies the counters of a holder. Returns whether slots were returned.
  bool applyReport(RouterId From, Incarnation IncarnationNumber,
                   const SlotReport &Report);

  /// Whether the holder's counters equal those of this router. If not, the
  /// holder must be sent a grant, since slots that nobody holds would otherwise
  /// remain counted as granted.
  bool agrees(RouterId From, const SlotReport &Report) const;

  /// Records that this router returned one of its own slots.
  void takeBackOwn(ServerId Server, RouterId Self);
  /// Records the slots that this router holds at a server that it now owns.
  void adoptOwn(ServerId Server, const Member &Self, std::uint32_t Held);

  SlotGrant grantOf(TimePoint Now, ServerId Server, RouterId To);

  struct Due {
    ServerId Server;
    RouterId Holder;
  };
  /// Grants that the holder has not acknowledged within `After`.
  std::vector<Due> unacknowledged(TimePoint Now, Duration After) const;

  /// Limits the holders if more slots are granted than the window permits, and
  /// returns the holders to notify.
  std::vector<Due> recall();

  std::vector<ServerId> servers() const;
  std::uint32_t outAt(ServerId Server) const;

private:
  struct Holding {
    Incarnation IncarnationNumber = 0;
    std::uint32_t Granted = 0;
    std::uint32_t Returned = 0;
    std::uint32_t Acknowledged = 0;
    std::uint16_t MaxHeld = std::numeric_limits<std::uint16_t>::max();
    TimePoint LastGrant;

    std::uint32_t held() const { return this->Granted - this->Returned; }
  };
  struct OwnedServer {
    AdmissionWindow Window;
    std::map<RouterId, Holding> Holders;
    /// The number of slots that all holders hold.
    std::uint32_t GrantedSlots = 0;
    TimePoint GrantsStartAt;
  };

  std::map<ServerId, OwnedServer> Owned;
  std::set<std::pair<ServerId, RouterId>> Unacknowledged;
};

} // namespace parsleywing

#endif
