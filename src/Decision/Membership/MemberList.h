#ifndef PARSLEYWING_DECISION_MEMBERSHIP_MEMBERLIST_H
#define PARSLEYWING_DECISION_MEMBERSHIP_MEMBERLIST_H

#include "Decision/Membership/MembershipTypes.h"

#include <map>
#include <optional>

namespace parsleywing {

/// What one router knows of another.
struct KnownMember {
  RouterRecord Record;
  std::uint32_t Refutation = 0;
  MemberStatus Status = MemberStatus::Alive;
  bool Draining = false;
  TimePoint Introduced;  ///< When this life was first heard of.
  TimePoint StatusSince; ///< When it got its status.
  TimePoint LastHeard;   ///< When a message of this life came directly.
  bool EverHeard = false;
  unsigned Returns = 0; ///< In a row, each within the window of the last.
  TimePoint LastReturn;
  TimePoint HeldUntil; ///< Kept out of the view until then.
};

/// How long a router that comes and goes is kept out of the view. Each change
/// of the view moves owners; a router that flaps would move them each time and
/// one would see servers owned by turns. The first return counts at once; each
/// further one within the window waits twice as long as the one before.
struct DampingSettings {
  Duration Window = std::chrono::minutes(2);
  Duration FirstHold = std::chrono::seconds(4);
  Duration MaxHold = std::chrono::seconds(30);
};

/// What became of a rumour.
enum class RumourOutcome : std::uint8_t {
  Stale,         ///< Known already or overtaken.
  Adopted,       ///< News, to be passed on.
  MissingRecord, ///< About a life whose addresses are not known.
  AboutSelf,     ///< The table itself answers it.
};

/// The routers known to one router, dead ones included, and the rules by which
/// claims about them overtake each other: the higher life, then the higher
/// refutation, then the worse status.
class MemberList {
public:
  MemberList(RouterId Self, DampingSettings Damping)
      : Self(Self), Damping(Damping) {}

  /// Takes over a claim where it beats what is known. `Record` is that of the
  /// claimed life, or null where the message had none.
  RumourOutcome apply(TimePoint Now, const MemberRumour &Rumour,
                      const RouterRecord *Record);

  /// Suspects a member that does not answer this router. False where it is
  /// not known, or suspect or dead already.
  bool suspect(TimePoint Now, RouterId Router);

  /// Declares dead those suspect for longer than `Timeout`, and returns them.
  std::vector<RouterId> expireSuspects(TimePoint Now, Duration Timeout);

  /// Starts all suspicions anew, after this process itself stood still.
  void restartSuspicions(TimePoint Now);

  /// Forgets those dead for longer than `Age`.
  void forgetDead(TimePoint Now, Duration Age);

  /// Notes a message that came directly from this life of the member. It gets
  /// the full time to contradict where it is suspect.
  void heard(TimePoint Now, RouterId Router);

  const KnownMember *find(RouterId Router) const;
  const std::map<RouterId, KnownMember> &all() const { return this->Members; }

  /// Whether some router, dead or not, is known at this address.
  bool knowsAliveAt(const std::string &PeerAddress) const;

  /// The members not dead, in the order of their identities.
  std::vector<RouterId> notDead() const;
  std::vector<RouterId> dead() const;

  /// The members of the view, without the router itself.
  std::vector<Member> visible(TimePoint Now) const;

  /// Sums up all members not dead; equal lists have equal sums.
  std::uint64_t hash() const { return this->Hash; }

  /// Whether `visible` may differ from the last time this was asked: a member
  /// changed, or one is held out of the view no longer.
  bool takeVisibleChanged(TimePoint Now);

private:
  KnownMember *mutableFind(RouterId Router);
  void setStatus(TimePoint Now, KnownMember &Member, MemberStatus Status);
  RumourOutcome introduce(TimePoint Now, const MemberRumour &Rumour,
                          const RouterRecord *Record);
  bool takeOverAddress(TimePoint Now, const RouterRecord &Record);
  void countReturn(TimePoint Now, KnownMember &Member);
  void noteChange();

  RouterId Self;
  DampingSettings Damping;
  std::map<RouterId, KnownMember> Members;

  // Kept beside the members, as each message asks for them.
  std::uint64_t Hash = 0;
  std::size_t Suspects = 0;
  bool VisibleChanged = true;
  std::optional<TimePoint> NextRelease; ///< Of the members held out of view.
};

/// The claim that states what is known of this member.
MemberRumour rumourOf(const KnownMember &Member);

/// The part of a member in `MemberList::hash`.
std::uint64_t memberHash(RouterId Router, Incarnation Life, bool Draining);

} // namespace parsleywing

#endif
