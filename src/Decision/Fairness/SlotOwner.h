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

/// The slots of the servers that this router owns, and who holds them. Two
/// owners at once make a server briefly busier and nothing worse. Each
/// operation costs O(log servers).
class SlotOwner {
public:
  /// From now on this router owns the server. It gives nothing away before
  /// GiveFrom, so that holders can report what they hold.
  void add(ServerId Server, std::uint32_t MaxConcurrent, TimePoint GiveFrom);
  void remove(ServerId Server) { this->Owned.erase(Server); }
  bool owns(ServerId Server) const { return this->Owned.contains(Server); }

  /// Slots of routers that are gone, or restarted, are free again. Gives the
  /// servers that have more free slots now.
  void dropGone(const View &Current);

  AdmissionWindow &windowOf(ServerId Server);

  /// Free slots that may be given away now.
  std::uint32_t freeSlots(TimePoint Now, ServerId Server) const;

  void grant(ServerId Server, RouterId To, Incarnation Life);

  /// Takes a holder's counters; true where slots came back.
  bool applyReport(RouterId From, Incarnation Life, const SlotReport &Report);

  /// Whether the holder counts as this router does. Where not, it must be
  /// told, or slots stay out that nobody holds.
  bool agrees(RouterId From, const SlotReport &Report) const;

  /// This router itself gave a slot back.
  void takeBackOwn(ServerId Server, RouterId Self);
  /// This router holds so many at a server that it begins to own.
  void adoptOwn(ServerId Server, const Member &Self, std::uint32_t Held);

  SlotGrant grantOf(TimePoint Now, ServerId Server, RouterId To);

  struct Due {
    ServerId Server;
    RouterId Holder;
  };
  /// Grants that the holder has not acknowledged for so long.
  std::vector<Due> unacknowledged(TimePoint Now, Duration After) const;

  /// Sets limits where more slots are out than the window has; gives the
  /// holders that must hear of it.
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
    /// Sum of what the holders hold.
    std::uint32_t Out = 0;
    TimePoint GiveFrom;
  };

  std::map<ServerId, OwnedServer> Owned;
  std::set<std::pair<ServerId, RouterId>> Unacknowledged;
};

} // namespace parsleywing

#endif
