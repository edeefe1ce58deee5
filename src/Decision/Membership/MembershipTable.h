#ifndef PARSLEYWING_DECISION_MEMBERSHIP_MEMBERSHIPTABLE_H
#define PARSLEYWING_DECISION_MEMBERSHIP_MEMBERSHIPTABLE_H

#include "Decision/Membership/MemberList.h"
#include "Decision/Membership/RumourQueue.h"

#include <Poco/JSON/Object.h>
#include <optional>
#include <random>

namespace parsleywing {

/// The intervals and limits of the membership protocol.
struct MembershipSettings {
  RouterRecord Self;
  /// Addresses (IP:port) of the routers to contact first. Some of them may no
  /// longer exist.
  std::vector<std::string> Seeds;
  std::uint64_t RandomSeed = 1;

  /// One member is pinged in each period.
  Duration Period = std::chrono::milliseconds(500);
  /// Without an Ack for this long, other members are asked to ping the target.
  Duration DirectTimeout = std::chrono::milliseconds(200);
  unsigned IndirectProbes = 3;
  /// How long a suspect has to refute the suspicion before it is declared dead.
  Duration SuspicionTimeout = std::chrono::seconds(3);
  /// A router that was heard from directly within this time becomes only
  /// suspect when another router's rumour says that it is dead.
  Duration DirectTrust = std::chrono::seconds(2);

  std::size_t RumoursPerMessage = 6;
  /// Interval at which new rumours are sent to `GossipPeers` members.
  Duration GossipInterval = std::chrono::milliseconds(250);
  unsigned GossipPeers = 2;
  unsigned DrainPeers = 8; ///< Notified immediately when this router drains.

  /// Interval at which one dead member is pinged, so that the two sides of a
  /// partition find each other again.
  Duration DeadProbeInterval = std::chrono::seconds(2);
  Duration DeadMemory = std::chrono::hours(2);
  /// Interval at which seeds are contacted after this router has joined. Seeds
  /// that are known to be alive are skipped.
  Duration SeedInterval = std::chrono::seconds(10);
  /// How long views may differ, plus a time per member, before a State message
  /// is requested.
  Duration MaxDisagreement = std::chrono::seconds(5);
  Duration MaxDisagreementPerMember = std::chrono::milliseconds(15);
  /// Minimum time between two requests for a State message.
  Duration StateInterval = std::chrono::seconds(10);
  /// A longer gap between ticks means that this process itself was paused.
  Duration MaxTickGap = std::chrono::seconds(1);

  DampingSettings Damping;
};

/// Detects which routers are alive, by gossip as in SWIM: one ping per period,
/// indirect pings if needed, and rumours that piggyback on pings and acks.
/// Without new rumours, the cost per second does not grow with the fleet.
/// Deterministic: events in, actions out. No safety property may depend on its
/// view.
class MembershipTable {
public:
  explicit MembershipTable(MembershipSettings Settings);

  /// Handles one event and returns the actions to perform. Costs O(members) if
  /// something changed and once per period, and O(rumours) otherwise.
  std::vector<MembershipAction> handle(TimePoint Now,
                                       const MembershipEvent &Event);

  /// The view last published by `ViewChanged`; initially this router alone.
  const View &view() const { return this->CurrentView; }

  /// The addresses of a member that is not dead, or of this router; otherwise
  /// null.
  const RouterRecord *recordOf(RouterId Router) const;

  /// Whether a later process has this router's name.
  bool superseded() const { return this->IsSuperseded; }

  /// The members, their status, and event counters.
  Poco::JSON::Object::Ptr dump() const;

private:
  struct Probe {
    RouterId Target;
    std::uint32_t Number = 0;
    TimePoint SentAt;
    bool Indirect = false;
  };

  /// A ping sent on behalf of another router.
  struct ForwardedPing {
    RouterId Requester;
    std::uint32_t Number = 0;
    TimePoint StartedAt;
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
  void respond(TimePoint Now, const MembershipMessageReceived &Event);
  void onAck(TimePoint Now, const MembershipMessageReceived &Event);
  void requestIntroduction(TimePoint Now, const std::string &Address);
  void supersede(Incarnation By);

  // Timers.
  void startPeriod(TimePoint Now);
  void concludeProbe(TimePoint Now);
  void probeIndirectly(TimePoint Now);
  void probeDead(TimePoint Now);
  void contactSeeds(TimePoint Now);
  void gossip(TimePoint Now);
  std::optional<RouterId> nextToProbe();
  void applyHint(const PlatformRouter &Hint);

  // Sending.
  MembershipMessage makeMessage(TimePoint Now, MembershipKind Kind,
                                std::uint32_t Number);
  void attachRumours(TimePoint Now, MembershipMessage &Message);
  void attachSuspicion(RouterId To, MembershipMessage &Message) const;
  void send(RouterId To, MembershipMessage Message, bool Urgent);
  void sendState(TimePoint Now, const MembershipMessageReceived &Request);
  void requestState(TimePoint Now, RouterId From);
  void spreadRumour(RouterId Router);
  std::vector<RouterId> pickRandom(std::size_t Count, RouterId Except);
  MemberRumour selfRumour() const;
  void introduceSelf(MembershipMessage &Message) const;
  std::uint64_t viewHash() const;
  void publishView(TimePoint Now);

  MembershipSettings Settings;
  MemberList Members;
  RumourQueue Rumours;
  std::mt19937_64 Random;
  std::vector<MembershipAction> PendingActions;
  View CurrentView;

  std::uint32_t SelfRefutation = 0;
  bool SelfDraining = false;
  bool PublishedDraining = false; ///< As in `CurrentView`.
  bool IsSuperseded = false;

  std::optional<Probe> PendingProbe;
  std::map<std::uint32_t, ForwardedPing> ForwardedPings;
  std::vector<RouterId> ProbeOrder;
  /// To be probed first, since the platform's list names them as leaving.
  std::vector<RouterId> PriorityProbes;
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
  std::optional<TimePoint> DisagreementSince;

  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0;
  std::uint64_t Refutations = 0;
  std::uint64_t StatesSent = 0;
};

} // namespace parsleywing

#endif
