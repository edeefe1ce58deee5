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

/// The defaults keep what a router sends for this, without the headers of
/// datagrams, under 3,100 bytes a second
/// while much changes, and under 200 while servers leave and nothing changes.
struct ServerConditionsSettings {
  std::uint64_t Seed = 1;
  /// Least time between two rounds of telling others what is new.
  Duration GossipInterval = std::chrono::milliseconds(250);
  /// Other routers told in a round.
  std::size_t FanOut = 2;
  /// Rounds in which each notice is told.
  unsigned Transmissions = 6;
  /// Notices in one message.
  std::size_t MaxNotices = 12;
  /// Time between two messages that repeat what holds to one other router, for
  /// those that started or came back later.
  Duration DigestInterval = std::chrono::seconds(2);
  /// After this, a server whose failure nobody confirmed is tried again.
  Duration FailureLifetime = std::chrono::seconds(15);
  /// A probe that ended so long after another router's notice came cannot have
  /// been made before it.
  Duration ProbeMargin = std::chrono::seconds(2);
  /// The same for the platform's list, which lags.
  Duration ListMargin = std::chrono::seconds(60);
  /// After this, an admission to a leaving server is a broken invariant.
  Duration AdmissionBound = std::chrono::seconds(3);
};

/// Another router's notices arrived.
struct ServerNoticesReceived {
  ServerNotices Message;
};

/// Tell another router; the message may be lost.
struct SendServerNotices {
  RouterId To;
  ServerNotices Message;
};

using ServersEvent =
    std::variant<ServerConditionChanged, ServersListed, LoadReported,
                 ServerNoticesReceived, ViewChanged, DeclarationsChanged, Tick>;

using ServersAction = std::variant<SendServerNotices, ServerConditionChanged>;

/// Merges what is said of each backend server by the platform's list, by this
/// router's own probes and by other routers, and tells others what it learnt
/// first-hand, so that all know within seconds whichever source speaks first.
///
/// A server leaves while its list entry or its own word says so. That is taken
/// back by the same source only: the list, by showing the server live after it
/// showed it leaving, or `ListMargin` after the notice came; its own word, by a
/// probe that finds it serving after one that did not, or `ProbeMargin` after
/// the notice came. A failure counts where this router or the server's owner
/// learnt it, and ends by itself. No clock is shared: see `ServerNotice`.
///
/// Costs memory only for servers that something was ever said about.
class ServerConditions {
public:
  explicit ServerConditions(const ServerConditionsSettings &S = {},
                            Incarnation Life = 0);

  std::vector<ServersAction> handle(TimePoint Now, const ServersEvent &Event);

  ServerCondition conditionOf(ServerId Server) const;

  /// Whether the server may be given a request at this moment: also a short
  /// while after it was learnt that it leaves, as decisions made on the way
  /// are still carried out.
  bool mayAdmit(TimePoint Now, ServerId Server) const;

  Poco::JSON::Object::Ptr dump() const;

private:
  using Key = std::pair<ServerId, ServerFact>;
  struct Known {
    ServerNotice Newest;
    TimePoint LearntAt;
    /// This router's own source said the same since.
    bool Confirmed = false;
    unsigned TellsLeft = 0;
  };
  struct Merged {
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

  void saw(const Key &Fact);
  void sawNot(const Key &Fact, Duration Margin);
  void claim(const Key &Fact, bool Holds);
  void learn(const Key &Fact, const ServerNotice &Notice);
  bool holds(const Key &Fact) const;
  void merge(ServerId Server);
  void expireFailures();
  void tellNew();
  void repeatHeld();
  std::optional<RouterId> anyOther();

  ServerConditionsSettings Settings;
  Incarnation Life;
  std::mt19937_64 Random;
  TimePoint Now;
  View Current;
  DeclarationsPtr InForce = std::make_shared<Declarations>();
  std::map<Key, Known> Facts;
  /// What is still to be told, by how often it was, the least often first.
  std::set<std::pair<unsigned, Key>> ToTell;
  std::set<Key> Held; ///< Facts whose newest notice says that they hold.
  std::map<ServerId, Merged> Conditions; ///< Those that are not usable.
  std::vector<ServersAction> Pending;
  TimePoint NextRound;
  TimePoint NextDigest;
  TimePoint NextExpiry;
  Key LastRepeated{};
};

} // namespace parsleywing

#endif
