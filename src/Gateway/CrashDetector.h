#ifndef PARSLEYWING_GATEWAY_CRASHDETECTOR_H
#define PARSLEYWING_GATEWAY_CRASHDETECTOR_H

#include "Crash/CrashRegistry.h"
#include "Gateway/PartCrashGuard.h"
#include "Gateway/RouterMessenger.h"
#include "Loop/ConnectCheck.h"
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

/// Detects servers that crashed with active requests of this router, and
/// reports those requests to all routers. A request that crashes every server
/// it is sent to is refused by the whole fleet after the third crash.
///
/// A broken or silent connection is no evidence: it may have been reset, or
/// packets lost. The router therefore opens another connection to the server.
/// If that is refused, the process has ended; if two are accepted in a row, the
/// process is alive. If neither happens, a later process start or the end of
/// the server's entry within some seconds is evidence of a crash. A draining or
/// unlisted server may stop at any time, so its end counts against no request.
///
/// Facts are broadcast once, and then gossiped to one router at a time, which
/// makes up for lost datagrams and for routers that were disconnected. A router
/// that starts requests the facts known to some of the others.
///
/// Used on the event loop's thread only.
class CrashDetector {
public:
  /// `RouterProcess` distinguishes this process from earlier ones of the same
  /// router name. `P` gets the prompt parts of the attempts that are lost.
  CrashDetector(EventLoop &L, RouterMessenger &R, PartCrashGuard &P,
                std::uint64_t RouterProcess, Metrics &M);
  CrashDetector(const CrashDetector &) = delete;
  CrashDetector &operator=(const CrashDetector &) = delete;

  struct Callbacks {
    /// Active requests may have become refused ones.
    std::function<void()> Refused;
    /// A server's process has crashed, as this router or another one has found.
    std::function<void(const ServerProcess &)> Crashed;
    /// Whether anything was received from a server after this time.
    std::function<bool(std::uint64_t Server, TimePoint Time)> ReceivedSince;
  };
  void start(Callbacks NewCallbacks);

  /// Why an attempt ended without a complete response.
  enum class AttemptEnd { Broken, Silent };

  /// An attempt ended without a complete response while the request was active
  /// at its server. `StartedMs` is the start time of the process that the
  /// request was sent to; `Server` is the server as listed now, or null if it
  /// is not listed.
  void onAttemptLost(const LostAttempt &Lost, const GatewayServer *Server,
                     std::int64_t StartedMs, AttemptEnd End);
  /// A response without a length has ended with its connection, which is also
  /// what a crash looks like. `Describe` is called if the server turns out to
  /// have crashed, `OnAlive` if it has not.
  struct UnframedEnd {
    std::function<LostAttempt()> Describe;
    std::function<void()> OnAlive;
  };
  void onUnframedEnd(UnframedEnd End, const GatewayServer *Server,
                     std::int64_t StartedMs);
  /// Calls `Then` once the first check of the server's process has ended,
  /// conclusive or not; at once if no check is running.
  void afterCheck(const ServerProcess &Process, std::function<void()> Then);

  /// The server of an attempt that was reported as silent has responded to it.
  void onRecovered(const RequestIdentity &Request,
                   const ServerProcess &Process);

  /// The request has received a complete response.
  void onCompleted(const RequestIdentity &Request);

  /// Whether the request must not be sent. Records the refusal.
  bool checkRefused(const RequestIdentity &Request);
  /// Permits one probe: a refused request that may be sent now, to find out
  /// whether it still crashes servers. Records the probe. Only the first router
  /// of the request's rendezvous order permits probes;
  /// `CrashRegistry::mayProbe` limits them.
  bool acquireProbe(const RequestIdentity &Request);

  /// Key by which requests that were active at a crashed server are spread over
  /// servers. They then do not share a server again, so that a further crash
  /// can be attributed to one request. Empty if the request is not suspected.
  std::optional<std::uint32_t> spreadOf(const RequestIdentity &Request) const;

  /// Must be called with each new list of servers.
  void updateServers(const ServerList &Listed);
  /// Must be called when the list of routers has changed.
  void updateRouters();

  void onReport(const CrashReport &Report,
                const Poco::Net::SocketAddress &From);

  /// Crashes that are attributed to prompt parts count against no request.
  void setAttributedToParts(const std::set<ServerProcess> &Processes) {
    this->Registry.setAttributedElsewhere(Processes);
  }

  const CrashRegistry &registry() const { return this->Registry; }

private:
  enum class Stage {
    FirstCheck,
    BetweenChecks, ///< The server has accepted the first connection.
    SecondCheck,
    Unreachable, ///< Decided by later lists of servers.
  };

  /// A server that may have crashed.
  struct SuspectedCrash {
    std::string Id;
    Poco::Net::SocketAddress Address;
    std::map<RequestIdentity, LostAttempt> ActiveRequests{};
    TimePoint ExpiresAt{};
    Stage CurrentStage = Stage::FirstCheck;
    /// Called when the first check has ended.
    std::vector<std::function<void()>> Callbacks{};
    std::vector<UnframedEnd> UnframedEnds{};
  };

  /// A process with which connections have just ended that responses had ended
  /// with.
  struct RecentEnds {
    std::string Id;
    Poco::Net::SocketAddress Address;
    TimePoint LastAt{};
    std::vector<UnframedEnd> Ends{};
  };

  void checkRecentEnds(const ServerProcess &Process);
  /// Moves the recent ends at the process to its suspected crash.
  void takeRecentEnds(const ServerProcess &Process, SuspectedCrash &Suspect);
  void check(const ServerProcess &Process, Stage NewStage);
  void onChecked(const ServerProcess &Process, ConnectOutcome Outcome);
  void checkAgainstList(const ServerProcess &Process,
                        const SuspectedCrash &Suspect,
                        const ServerList &Listed);
  void confirm(const ServerProcess &Process, const char *Evidence);
  void dismiss(const ServerProcess &Process);
  void scheduleSecondCheck(const ServerProcess &Process);
  void removeExpired();
  void recordFacts(const std::vector<CrashFact> &Facts);
  void broadcast(const std::vector<CrashFact> &Facts);
  void sendAllFacts(const Poco::Net::SocketAddress &Receiver);
  void gossip();
  CrashReport makeReport(std::vector<CrashFact> Facts);
  /// Splits the facts into as many reports as they need.
  std::vector<CrashReport> makeReports(const std::vector<CrashFact> &Facts);
  Counter &checkCounter(ConnectOutcome Outcome) const {
    return *this->CheckCounters.at(Outcome);
  }

  EventLoop &Loop;
  RouterMessenger &Routers;
  PartCrashGuard &Parts;
  std::uint64_t RouterProcess;
  std::uint64_t LastNumber = 0;
  std::map<ConnectOutcome, Counter *> CheckCounters;
  Counter &Crashes;
  Callbacks Notify;
  CrashRegistry Registry;
  std::map<ServerProcess, SuspectedCrash> SuspectedCrashes;
  std::map<ServerProcess, RecentEnds> RecentlyEnded;
  /// When servers were last found alive.
  std::map<ServerProcess, TimePoint> LastAliveAt;
  /// Whether other routers have been asked for their facts.
  bool ReportsRequested = false;
  std::mt19937_64 Random;
};

} // namespace parsleywing

#endif
