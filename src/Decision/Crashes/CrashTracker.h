#ifndef PARSLEYWING_DECISION_CRASHES_CRASHTRACKER_H
#define PARSLEYWING_DECISION_CRASHES_CRASHTRACKER_H

#include "Crash/CrashRegistry.h"
#include "Decision/Actions.h"
#include "Decision/Events.h"
#include "Decision/Membership/View.h"

#include <Poco/JSON/Object.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace parsleywing {

/// Crash facts of another router arrived.
struct CrashFactsReceived {
  RouterId From;
  CrashFacts Message;
};

/// Sends crash facts to another router. The message may be lost.
struct SendCrashFacts {
  RouterId To;
  CrashFacts Message;
  bool Urgent = false;
  bool Bulk = false;
};

/// The content of this open request is refused from now on.
struct RefuseRequest {
  RequestId Request;
};

using CrashEvent = std::variant<AttemptEnded, ServerChecked, CrashFactsReceived,
                                ServerConditionChanged, DeclarationsChanged,
                                ViewChanged, Tick>;

using CrashAction = std::variant<CheckServer, SendCrashFacts, ServerCrashed,
                                 ContentRefused, RefuseRequest>;

/// Detects servers that crashed with requests of this router in progress, and
/// shares these facts with all routers, so that a request that crashes every
/// server it is sent to is refused by the whole fleet after the third crash.
///
/// A lost connection is no evidence: it may have been reset. The server's
/// process counts as crashed if another connection to it is refused, and as
/// alive if one is accepted some time after the loss, since an ending process
/// may close one connection before it stops accepting others. A server that is
/// leaving or no longer declared may stop at any time, so its end counts
/// against no request.
///
/// The servers do not report the start of their process. A process is therefore
/// identified by the number of crashes of its server that were known when the
/// connection to it was opened. Routers that observe the same crash report the
/// same process. A router that missed an earlier crash counts two crashes of
/// one server as one, which delays a refusal but never causes one.
///
/// A router forwards a fact that is new to it to some others at once, and
/// gossips known facts to one router at a time, for lost datagrams and for
/// routers that were disconnected. The cost for a router does not depend on the
/// size of the fleet.
///
/// Does no I/O and reads no clock.
class CrashTracker {
public:
  explicit CrashTracker(std::uint64_t Seed) : Random(Seed) {}

  /// Tracks a request until `close`. Returns false if it must be refused, and
  /// does not track it then. A content of zeros is never refused.
  bool open(TimePoint At, RequestId Request, const RequestIdentity &Content);
  void close(RequestId Request);

  /// Whether an open request may be sent to a server now. A refused request
  /// that was accepted as a probe may be sent once.
  bool acquireStart(RequestId Request);

  std::vector<CrashAction> handle(TimePoint At, const CrashEvent &Event);

  const CrashRegistry &registry() const { return this->Registry; }
  Poco::JSON::Object::Ptr dump() const;

private:
  struct OpenRequest {
    RequestIdentity Content;
    bool IsProbe = false;
    bool Started = false;
  };

  /// A server's process that may have crashed.
  struct Suspect {
    /// The requests that were in progress, with the time of the loss.
    std::map<RequestIdentity, TimePoint> LostAt;
    TimePoint CheckDueAt;
    /// Set while a check is in progress.
    std::optional<TimePoint> CheckStartedAt;
  };

  /// The latest known crash of a server.
  struct KnownCrash {
    std::int64_t Number = 0;
    TimePoint LearnedAt;
  };

  void on(const AttemptEnded &Event);
  void on(const ServerChecked &Event);
  void on(const CrashFactsReceived &Event);
  void on(const ServerConditionChanged &Event);
  void on(const DeclarationsChanged &Event);
  void on(const ViewChanged &Event);
  void on(const Tick &);

  bool mayCrash(ServerId Server) const;
  ServerProcess processOf(const LostConnection &Lost) const;
  void suspect(const RequestIdentity &Content, const LostConnection &Lost);
  void confirm(const ServerProcess &Process);
  void dismissStopped();
  void runDueChecks();
  bool acquireProbe(const RequestIdentity &Content);
  void recordFacts(const std::vector<CrashFact> &Facts);
  void refuseOpenRequests();
  void forward(const std::vector<CrashFact> &Facts);
  void gossip();
  std::vector<RouterId> randomPeers(std::size_t Count);

  template <typename ActionType> void emit(ActionType Emitted) {
    this->PendingActions.emplace_back(std::move(Emitted));
  }

  CrashRegistry Registry;
  std::mt19937_64 Random;
  std::unordered_map<RequestId, OpenRequest> OpenRequests;
  std::map<ServerProcess, Suspect> Suspects;
  std::unordered_map<std::uint64_t, KnownCrash> KnownCrashes;
  std::set<ServerId> LeavingServers;
  DeclarationsPtr ActiveDeclarations = std::make_shared<Declarations>();
  View CurrentView;
  /// Whether other routers have been asked for their facts.
  bool FactsRequested = false;
  TimePoint NextCheckRound;
  TimePoint NextGossip;

  /// The time of the current event.
  TimePoint Now;
  std::vector<CrashAction> PendingActions;
};

} // namespace parsleywing

#endif
