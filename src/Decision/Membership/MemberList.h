#ifndef PARSLEYWING_DECISION_MEMBERSHIP_MEMBERLIST_H
#define PARSLEYWING_DECISION_MEMBERSHIP_MEMBERLIST_H

#include "Decision/Membership/MembershipTypes.h"

#include <map>
#include <optional>

namespace parsleywing {

/// The state of another router as this router knows it.
struct KnownMember {
  RouterRecord Record;
  std::uint32_t Refutation = 0;
  MemberStatus Status = MemberStatus::Alive;
  bool Draining = false;
  TimePoint FirstSeenAt; ///< When this incarnation became known.
  TimePoint StatusSince; ///< When the status was set.
  /// When a message of this incarnation was last received directly.
  TimePoint LastReceivedAt;
  bool EverReceived = false;
  /// Consecutive returns, each within `DampingSettings::Window` of the last.
  unsigned ReturnCount = 0;
  TimePoint LastReturn;
  TimePoint HiddenUntil; ///< Excluded from the view until then.
};

/// How long a router that repeatedly leaves and returns is excluded from the
/// view. Each change of the view moves the ownership of servers; without
/// damping, a flapping router would move it each time, and servers would be
/// owned in alternation. The first return takes effect immediately. Each
/// further one within the window doubles the delay.
struct DampingSettings {
  Duration Window = std::chrono::minutes(2);
  Duration FirstHold = std::chrono::seconds(4);
  Duration MaxHold = std::chrono::seconds(30);
};

/// The result of applying a rumour.
enum class RumourOutcome : std::uint8_t {
  Stale,         ///< Already known, or superseded.
  Adopted,       ///< New, and to be passed on.
  MissingRecord, ///< About an incarnation whose addresses are unknown.
  AboutSelf,     ///< To be answered by the table.
};

/// The routers known to one router, including dead ones, and the precedence of
/// rumours about them: the higher incarnation number, then the higher
/// refutation number, then the worse status.
class MemberList {
public:
  MemberList(RouterId Self, DampingSettings Damping)
      : Self(Self), Damping(Damping) {}

  /// Applies a rumour if it takes precedence over what is known. `Record` is
  /// the record of that incarnation, or null if the message contains none.
  RumourOutcome apply(TimePoint Now, const MemberRumour &Rumour,
                      const RouterRecord *Record);

  /// Marks a member that does not respond to this router as suspect. Returns
  /// false if it is unknown, or not alive.
  bool suspect(TimePoint Now, RouterId Router);

  /// Declares members dead that have been suspect for longer than `Timeout`,
  /// and returns them.
  std::vector<RouterId> expireSuspects(TimePoint Now, Duration Timeout);

  /// Restarts the timeouts of all suspicions after this process was paused.
  void restartSuspicions(TimePoint Now);

  /// Removes members that have been dead for longer than `Age`.
  void forgetDead(TimePoint Now, Duration Age);

  /// Records a message received directly from this incarnation of the member.
  /// If the member is suspect, the timeout of the suspicion restarts.
  void heard(TimePoint Now, RouterId Router);

  const KnownMember *find(RouterId Router) const;
  const std::map<RouterId, KnownMember> &all() const { return this->Members; }

  /// Whether a router that is not dead is known at this address.
  bool knowsAliveAt(const std::string &PeerAddress) const;

  /// The members that are not dead, ordered by identity.
  std::vector<RouterId> notDead() const;
  std::vector<RouterId> dead() const;

  /// The members of the view, without this router.
  std::vector<Member> visible(TimePoint Now) const;

  /// The sum of the hashes of all members that are not dead. Equal lists have
  /// equal hashes.
  std::uint64_t hash() const { return this->Hash; }

  /// Whether the result of `visible` may have changed since the last call: a
  /// member changed, or is no longer excluded from the view.
  bool takeVisibleChanged(TimePoint Now);

private:
  KnownMember *mutableFind(RouterId Router);
  void setStatus(TimePoint Now, KnownMember &Member, MemberStatus Status);
  RumourOutcome introduce(TimePoint Now, const MemberRumour &Rumour,
                          const RouterRecord *Record);
  bool claimAddress(TimePoint Now, const RouterRecord &Record);
  void recordReturn(TimePoint Now, KnownMember &Member);
  void onChange();

  RouterId Self;
  DampingSettings Damping;
  std::map<RouterId, KnownMember> Members;

  // Maintained separately, because they are read for each message.
  std::uint64_t Hash = 0;
  std::size_t Suspects = 0;
  bool VisibleChanged = true;
  /// When the next exclusion from the view ends.
  std::optional<TimePoint> NextUnhide;
};

/// The rumour that states what is known of this member.
MemberRumour rumourOf(const KnownMember &Member);

/// The contribution of one member to `MemberList::hash`.
std::uint64_t memberHash(RouterId Router, Incarnation IncarnationNumber,
                         bool Draining);

} // namespace parsleywing

#endif
