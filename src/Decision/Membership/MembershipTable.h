#ifndef PARSLEYWING_DECISION_MEMBERSHIP_MEMBERSHIPTABLE_H
#define PARSLEYWING_DECISION_MEMBERSHIP_MEMBERSHIPTABLE_H

#include "Decision/Membership/MemberList.h"
#include "Decision/Membership/RumourQueue.h"

#include <Poco/JSON/Object.h>
#include <optional>
#include <random>

namespace parsleywing {

/// The times and bounds of the membership protocol.
struct MembershipSettings {
  RouterRecord Self;
  /// IP:port of routers to ask first; some of them may be gone.
  std::vector<std::string> Seeds;
  std::uint64_t RandomSeed = 1;

  /// Each period one member is pinged.
  Duration Period = std::chrono::milliseconds(500);
  /// Without an Ack for so long, others are asked to ping it too.
  Duration DirectTimeout = std::chrono::milliseconds(200);
  unsigned IndirectProbes = 3;
  /// How long a suspect has to contradict before it counts as dead.
  Duration SuspicionTimeout = std::chrono::seconds(3);
  /// A router heard directly within this time is not doubted on the word of
  /// a list or of another router alone.
  Duration DirectTrust = std::chrono::seconds(2);

  std::size_t RumoursPerMessage = 6;
  /// Fresh news goes to `GossipPeers` members that often.
  Duration GossipInterval = std::chrono::milliseconds(250);
  unsigned GossipPeers = 2;
  unsigned DrainPeers = 8; ///< Told at once when this router drains.

  /// A dead member is pinged that often, one at a time, so that two halves of
  /// a fleet find each other again.
  Duration DeadProbeInterval = std::chrono::seconds(2);
  Duration DeadMemory = std::chrono::hours(2);
  /// An unanswered seed is asked again that often.
  Duration SeedInterval = std::chrono::seconds(10);
  /// Views that differ for so long are evened out by a whole State.
  Duration MaxDisagreement = std::chrono::seconds(5);
  Duration MaxDisagreementPerMember = std::chrono::milliseconds(15);
  /// At least so long between two requests for a State.
  Duration StateInterval = std::chrono::seconds(10);
  /// A longer gap between ticks means that this process itself stood still.
  Duration MaxTickGap = std::chrono::seconds(1);

  DampingSettings Damping;
};

/// Finds out which routers live, by gossip in the manner of SWIM: each period
/// one ping, if need be through others, and news carried on pings and acks.
/// The cost a second does not grow with the fleet, but for news. Deterministic:
/// events in, actions out. Nothing that must hold may rest on its view.
class MembershipTable {
public:
  explicit MembershipTable(MembershipSettings Settings);

  /// Takes one event and says what to do. Costs O(members) where something
  /// changed and at each period; O(news) otherwise.
  std::vector<MembershipAction> handle(TimePoint Now,
                                       const MembershipEvent &Event);

  /// The view last given by `ViewChanged`; at first this router alone.
  const View &view() const { return this->Current; }

  /// Addresses of a member that is not dead, this router included; null else.
  const RouterRecord *recordOf(RouterId Router) const;

  /// Whether a later process bears this router's name.
  bool superseded() const { return this->Over; }

  /// Members, their status, and counts of what happened.
  Poco::JSON::Object::Ptr dump() const;

private:
  struct Probe {
    RouterId Target;
    std::uint32_t Number = 0;
    TimePoint Sent;
    bool Indirect = false;
  };

  /// A ping made for another router.
  struct ForwardedPing {
    RouterId For;
    std::uint32_t Number = 0;
    TimePoint Started;
  };

  void on(TimePoint Now, const MembershipMessageReceived &Event);
  void on(TimePoint Now, const VmListChanged &Event);
  void on(TimePoint Now, const LeaseListed &Event);
  void on(TimePoint Now, const MembershipTick &Event);
  void on(TimePoint Now, const DrainRequested &Event);

  // Receiving.
  bool acceptSender(TimePoint Now, const MembershipMessageReceived &Event);
  void applyRumours(TimePoint Now, const MembershipMessage &Message);
  void applyRumour(TimePoint Now, MemberRumour Rumour,
                   const RouterRecord *Record, bool FromState);
  void refute(const MemberRumour &Rumour);
  Duration maxDisagreement() const;
  void compareViews(TimePoint Now, const MembershipMessageReceived &Event);
  void answer(TimePoint Now, const MembershipMessageReceived &Event);
  void onAck(TimePoint Now, const MembershipMessageReceived &Event);
  void requestIntroduction(TimePoint Now, const std::string &Address);
  void supersede(Incarnation By);

  // Time.
  void startPeriod(TimePoint Now);
  void concludeProbe(TimePoint Now);
  void probeIndirectly(TimePoint Now);
  void probeDead(TimePoint Now);
  void contactSeeds(TimePoint Now);
  void gossip(TimePoint Now);
  std::optional<RouterId> nextToProbe();
  void considerHint(const PlatformRouter &Hint);

  // Sending.
  MembershipMessage message(TimePoint Now, MembershipKind Kind,
                            std::uint32_t Number);
  void attachRumours(TimePoint Now, MembershipMessage &Message);
  void attachSuspicion(RouterId To, MembershipMessage &Message) const;
  void send(RouterId To, MembershipMessage Message, bool Urgent);
  void sendState(TimePoint Now, const MembershipMessageReceived &Asked);
  void requestState(TimePoint Now, RouterId From);
  void spread(RouterId Router);
  std::vector<RouterId> pick(std::size_t Count, RouterId Except);
  MemberRumour selfRumour() const;
  void introduceSelf(MembershipMessage &Message) const;
  std::uint64_t viewHash() const;
  void publishView(TimePoint Now);

  MembershipSettings Settings;
  MemberList Members;
  RumourQueue Rumours;
  std::mt19937_64 Random;
  std::vector<MembershipAction> Actions;
  View Current;

  std::uint32_t SelfRefutation = 0;
  bool SelfDraining = false;
  bool PublishedDraining = false; ///< As in `Current`.
  bool Over = false;

  std::optional<Probe> Pending;
  std::map<std::uint32_t, ForwardedPing> ForwardedPings;
  std::vector<RouterId> ProbeOrder;
  std::vector<RouterId> ProbeFirst;  ///< Doubted by the platform's list.
  std::vector<std::string> Contacts; ///< Addresses from the platform.
  std::uint32_t LastNumber = 0;
  std::size_t NextSeed = 0;
  std::size_t NextDead = 0;
  bool Joined = false;

  std::optional<TimePoint> LastTick;
  TimePoint NextPeriod;
  TimePoint NextGossip;
  TimePoint NextDeadProbe;
  TimePoint NextSeedContact;
  TimePoint NextStateRequest;
  std::optional<TimePoint> DisagreedSince;

  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0;
  std::uint64_t Refutations = 0;
  std::uint64_t StatesSent = 0;
};

} // namespace parsleywing

#endif
