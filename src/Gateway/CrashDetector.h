#ifndef PARSLEYWING_GATEWAY_CRASHDETECTOR_H
#define PARSLEYWING_GATEWAY_CRASHDETECTOR_H

#include "Gateway/RouterExchange.h"
#include "Loop/ConnectCheck.h"
#include "Placement/CrashRegistry.h"
#include "Placement/FleetView.h"
#include "Runtime/Metrics.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace parsleywing {

/// Finds out which servers have crashed with requests of this router in hand,
/// and tells all routers of those requests, so that a request that crashes each
/// server it is sent to is refused by all of them behind the third.
///
/// A connection that breaks or falls silent proves nothing: it may have been
/// reset or lost on its way. The router connects to the server once more. Where
/// that is refused, its process is gone; where it is taken twice, the process
/// lives. Where neither comes, a later start or the end of its entry within
/// some seconds tells the same. A server that leaves, or is not listed any
/// more, may end at any time, and its end speaks against nobody.
///
/// News go to all routers at once, and to one after the other again and again,
/// which makes up for lost datagrams and for routers that were cut off. One
/// that begins asks some of the others.
///
/// Belongs to the loop's thread.
class CrashDetector {
public:
  /// `Number` tells this process from earlier ones of the router's name.
  CrashDetector(EventLoop &L, RouterExchange &R, std::uint64_t Number,
                Metrics &M);
  CrashDetector(const CrashDetector &) = delete;
  CrashDetector &operator=(const CrashDetector &) = delete;

  /// `Refused` is called whenever requests that are in hand may have become
  /// refused ones.
  void start(std::function<void()> Refused);

  /// How a send ended that got no whole answer.
  enum class AttemptEnd { Broken, Silent };

  /// A send ended without a whole answer while its server had it in hand.
  /// `StartedMs` is the start of the process that it was sent to, `Server` the
  /// server as it is listed now; null where it is not.
  void onAttemptLost(const RequestIdentity &Request,
                     const GatewayServer *Server, std::int64_t StartedMs,
                     AttemptEnd How);
  /// Calls once it is known whether this server's process has crashed, or will
  /// not be known soon: at once where that is not being looked at.
  void afterCheck(const ServerProcess &Broken, std::function<void()> Then);

  /// The request got its whole answer.
  void onCompleted(const RequestIdentity &Request);

  /// Whether the request must not be sent; remembers that it came.
  bool checkRefused(const RequestIdentity &Request);
  /// Whether a refused request may be sent once all the same. Only the first
  /// router of the request's order says so, and not twice.
  bool acquireProbe(const RequestIdentity &Request);

  /// Requests that were in hand at a server that crashed go to servers by this
  /// number, so that they do not meet again: what crashes then is the one's
  /// alone. Nothing where the request is under no suspicion.
  std::optional<std::uint32_t> spreadOf(const RequestIdentity &Request) const;

  /// New servers or routers are in force.
  void updateServers(const ServerList &Listed);
  void updateRouters();

  void onReport(const CrashReport &News, const Poco::Net::SocketAddress &From);

  const CrashRegistry &registry() const { return this->Registry; }

private:
  enum class Stage {
    FirstCheck,
    BetweenChecks, ///< A process has taken one connection.
    SecondCheck,
    Unreachable, ///< The list of servers will tell.
  };

  /// A server that may have crashed.
  struct SuspectedCrash {
    std::string Id;
    Poco::Net::SocketAddress Address;
    std::set<RequestIdentity> InFlight{};
    TimePoint ExpiresAt{};
    Stage CurrentStage = Stage::FirstCheck;
    /// What waits for the first check.
    std::vector<std::function<void()>> Callbacks{};
  };

  void check(const ServerProcess &Process, Stage Now);
  void onChecked(const ServerProcess &Process, ConnectOutcome Outcome);
  void checkAgainstList(const ServerProcess &Process,
                        const SuspectedCrash &Known, const ServerList &Listed);
  void confirm(const ServerProcess &Process, const char *Evidence);
  void dismiss(const ServerProcess &Process);
  void scheduleSecondCheck(const ServerProcess &Process);
  void removeExpired();
  void recordFacts(const std::vector<CrashFact> &Facts);
  void broadcast(const std::vector<CrashFact> &Facts);
  void sendAllFacts(const Poco::Net::SocketAddress &Asker);
  void gossip();
  CrashReport makeReport(std::vector<CrashFact> Facts);
  /// In as many messages as they need.
  std::vector<CrashReport> makeReports(const std::vector<CrashFact> &Facts);
  Counter &checkCounter(ConnectOutcome Outcome) const {
    return *this->CheckCounters.at(Outcome);
  }

  EventLoop &Loop;
  RouterExchange &Routers;
  std::uint64_t Process;
  std::uint64_t LastNumber = 0;
  std::map<ConnectOutcome, Counter *> CheckCounters;
  Counter &Crashes;
  std::function<void()> OnRefused;
  CrashRegistry Registry;
  std::map<ServerProcess, SuspectedCrash> SuspectedCrashes;
  /// When servers were last found alive.
  std::map<ServerProcess, TimePoint> LastAliveAt;
  /// What others know was asked for.
  bool ReportsRequested = false;
  std::mt19937_64 Random;
};

} // namespace parsleywing

#endif
