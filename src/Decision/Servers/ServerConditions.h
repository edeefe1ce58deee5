#ifndef PARSLEYWING_DECISION_SERVERS_SERVERCONDITIONS_H
#define PARSLEYWING_DECISION_SERVERS_SERVERCONDITIONS_H

#include "Decision/Events.h"
#include "Decision/Membership/View.h"
#include "Decision/Servers/ServerNotice.h"

#include <Poco/JSON/Object.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace parsleywing {

/// With the defaults, a router sends less than 3,100 bytes per second for this,
/// not counting datagram headers, while many facts change, and less than 200
/// while servers are leaving and nothing changes.
struct ServerConditionsSettings {
  std::uint64_t Seed = 1;
  /// Minimum interval between two gossip rounds that send new notices.
  Duration GossipInterval = std::chrono::milliseconds(250);
  /// Routers that receive the notices of a round.
  std::size_t FanOut = 2;
  /// Rounds in which each notice is sent.
  unsigned Transmissions = 6;
  /// Maximum of notices per message.
  std::size_t MaxNotices = 12;
  /// Interval between two messages that repeat the current facts to one other
  /// router, for routers that started or reconnected later.
  Duration DigestInterval = std::chrono::seconds(2);
  /// A server becomes usable again this long after the last report of its
  /// failure.
  Duration FailureLifetime = std::chrono::seconds(15);
  /// A probe that ended this long after another router's notice arrived cannot
  /// have been made before it.
  Duration ProbeMargin = std::chrono::seconds(2);
  /// The same for the platform's list, which lags.
  Duration ListMargin = std::chrono::seconds(60);
  /// After this time, an admission to a leaving server violates an invariant.
  Duration AdmissionBound = std::chrono::seconds(3);
};

/// Notices of another router arrived.
struct ServerNoticesReceived {
  ServerNotices Message;
};

/// Sends notices to another router. The message may be lost.
struct SendServerNotices {
  RouterId To;
  ServerNotices Message;
};

using ServersEvent =
    std::variant<ServerConditionChanged, ServersListed, LoadReported,
                 ServerNoticesReceived, ViewChanged, DeclarationsChanged, Tick>;

using ServersAction = std::variant<SendServerNotices, ServerConditionChanged>;

/// Merges the reports on each backend server from the platform's list, from
/// this router's own probes and from other routers, and gossips what this
/// router observes itself. All routers thus learn of a change within seconds,
/// whichever source reports it first.
///
/// A server is leaving while the list or the server itself reports it. Only the
/// same source can clear this: the list, if this router has read it as leaving
/// before and now reads it as live; the server, if a probe of this router has
/// found it leaving before and now finds it serving. A router that has not seen
/// the source report it may clear it `ListMargin` or `ProbeMargin` after the
/// notice arrived. A failure counts if this router or the server's owner
/// observed it, and expires. No synchronized clock is needed: see
/// `ServerNotice`.
///
/// Uses memory only for servers with at least one reported fact.
class ServerConditions {
public:
  explicit ServerConditions(const ServerConditionsSettings &S = {},
                            Incarnation Life = 0);

  std::vector<ServersAction> handle(TimePoint Now, const ServersEvent &Event);

  ServerCondition conditionOf(ServerId Server) const;

  /// Whether the server may be given a request now. True also for a short time
  /// after it was reported as leaving, while earlier decisions are executed.
  bool mayAdmit(TimePoint Now, ServerId Server) const;

  Poco::JSON::Object::Ptr dump() const;

private:
  using Key = std::pair<ServerId, ServerFact>;
  struct FactState {
    ServerNotice Newest;
    TimePoint ReceivedAt;
    /// This router's own source has reported the same since.
    bool Confirmed = false;
    unsigned RemainingTransmissions = 0;
  };
  struct MergedCondition {
    ServerCondition Condition = ServerCondition::Usable;
    TimePoint Since;
  };

  void on(const ServerConditionChanged &Probed);
  void on(const ServersListed &Listed);
  void on(const LoadReported &Reported);
  void on(const ServerNoticesReceived &Received);
  void on(const ViewChanged &Changed);
  void on(const DeclarationsChanged &Changed);
  void on(const Tick &);

  void observeHolds(const Key &Fact);
  void observeNotHolds(const Key &Fact, Duration Margin);
  void publish(const Key &Fact, bool Holds);
  void applyNotice(const Key &Fact, const ServerNotice &Notice);
  bool holds(const Key &Fact) const;
  void updateCondition(ServerId Server);
  void expireFailures();
  void sendPending();
  void sendDigest();
  std::optional<RouterId> randomPeer();

  ServerConditionsSettings Settings;
  Incarnation IncarnationNumber;
  std::mt19937_64 Random;
  TimePoint Now;
  View CurrentView;
  DeclarationsPtr ActiveDeclarations = std::make_shared<Declarations>();
  std::map<Key, FactState> Facts;
  /// Facts still to be sent, with the number of transmissions so far, the
  /// fewest first.
  std::set<std::pair<unsigned, Key>> PendingNotices;
  std::set<Key> ActiveFacts; ///< Facts that hold by their newest notice.
  /// The servers that are not usable.
  std::map<ServerId, MergedCondition> Conditions;
  std::vector<ServersAction> PendingActions;
  TimePoint NextGossip;
  TimePoint NextDigest;
  TimePoint NextExpiry;
  Key LastDigestFact{};
};

} // namespace parsleywing

#endif
