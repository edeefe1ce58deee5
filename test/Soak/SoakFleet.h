#ifndef PARSLEYWING_TEST_SOAK_SOAKFLEET_H
#define PARSLEYWING_TEST_SOAK_SOAKFLEET_H

#include "Adapter/FakePlatformStore.h"
#include "Process/Fleet.h"
#include "Process/TroubledWay.h"
#include "Soak/KeepAliveConnection.h"

#include <array>
#include <atomic>
#include <functional>
#include <latch>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing::test {

/// A stretch of time in which something was wrong.
struct Interval {
  std::chrono::steady_clock::time_point From;
  std::chrono::steady_clock::time_point To =
      std::chrono::steady_clock::time_point::max();
};

/// One run of a request at a server.
struct ServerRun {
  std::string Path;
  std::string Account;
  std::size_t Server = 0;
  std::chrono::steady_clock::time_point StartedAt;
  /// When the server had sent all or found its connection broken.
  std::chrono::steady_clock::time_point EndedAt =
      std::chrono::steady_clock::time_point::max();
  /// The server itself broke its answer off or spoilt it.
  bool Faulty = false;
};

/// An event of a stream, with the request's identity as its data.
std::string streamEvent(int Number, const std::string &Id);

/// Sleeps for `Least` milliseconds and up to `More` more.
void pauseFor(std::mt19937_64 &Random, int Least, unsigned More);

/// Routers as processes, with ways to the store and to the servers that can be
/// in trouble; servers and the store in this process; callers, faults, and the
/// promises checked from what callers and servers saw. Everything random
/// follows from the seed, but for the interleaving of processes. The faults
/// stand in `SoakFaults.cpp` and `SoakCrashes.cpp`, the promises in
/// `SoakChecks.cpp`.
class SoakFleet {
public:
  static constexpr int StreamEvents = 12;
  /// Of a request, and of a router's drain.
  static constexpr std::chrono::seconds Deadline{3};
  static constexpr std::chrono::seconds DrainLimit{4};

  explicit SoakFleet(std::uint64_t Seed);
  ~SoakFleet();
  SoakFleet(const SoakFleet &) = delete;
  SoakFleet &operator=(const SoakFleet &) = delete;

  /// Lets callers and faults go on for this long, then waits for calm.
  void run(std::chrono::milliseconds Time);

  /// The promises that were broken, a line each.
  std::vector<std::string> violations();

  /// How many calls ended with which status, second by second of the run; 0 is
  /// no answer.
  std::string summary();

  std::size_t served() const { return this->Served; }
  std::size_t requested() const { return this->Requested; }

private:
  struct Router {
    std::string Name;
    std::string CallerAddress;
    std::string Settings;
    std::unique_ptr<TroubledWay> StoreLink;
    std::unique_ptr<ChildProcess> Process;
    std::vector<Interval> Killed;
    std::vector<Interval> Frozen;
    /// From each SIGTERM to the end of the process.
    std::vector<Interval> Drained;
    /// The moments at which its processes were started.
    std::vector<Interval> Started;
  };

  /// The way from the routers to a server.
  struct ServerLink {
    std::unique_ptr<TroubledWay> Link;
    /// Crashes of the server too.
    std::vector<Interval> Faults;
    /// Starts of its process; each has an identity of its own.
    int Starts = 0;
  };

  void startRouter(Router &Each);
  /// The second account has its key until that is taken away.
  void writeConfiguration();
  bool serve(std::size_t Server, Poco::Net::StreamSocket &Connection,
             const std::string &Request);
  bool serveStream(Poco::Net::StreamSocket &Connection,
                   const std::string &Request, ServerRun &Run);
  bool serveRun(int Luck, Poco::Net::StreamSocket &Connection,
                const std::string &Request, ServerRun &Run);
  /// Crashes the run's server. `Early`: the connection ends just before it.
  bool crash(Poco::Net::StreamSocket &Connection, const ServerRun &Run,
             bool Early);
  int chance(int Below);
  void callerLoop(std::size_t Number);
  void callOnce(std::mt19937_64 &Random,
                std::vector<KeepAliveConnection> &Kept);
  using Fault = std::function<void(std::mt19937_64 &)>;
  void faultLoop(std::uint64_t Start, const Fault &One);
  std::string identityOf(std::size_t Server) const;
  void registerServer(std::size_t Server);
  void crashLoop();
  void crashAndRestart(std::size_t Server);
  void crashingCallerLoop(const std::string &Path);
  void recordDuring(std::vector<Interval> &Spans,
                    const std::function<void()> &Do);
  void injectRouterFault(Router &Chosen, std::mt19937_64 &Random);
  void freeze(Router &Chosen, std::mt19937_64 &Random);
  void restartGracefully(Router &Chosen, std::mt19937_64 &Random);
  void killAndRestart(Router &Chosen, std::mt19937_64 &Random);
  void injectStoreFault(std::mt19937_64 &Random);
  void injectLinkFault(std::mt19937_64 &Random);
  void checkRequest(const std::string &Id, const CallerResult &Got,
                    std::vector<std::string> &Into);
  void checkEnd(const std::string &Id, const CallerResult &Got,
                std::vector<std::string> &Into);
  bool mayBeTruncated(const CallerResult &Got, const ServerRun &Last) const;
  const Interval *reachedDrainLimit(const CallerResult &Got) const;
  std::string logOf(const std::string &Id, const CallerResult &Got) const;
  void checkLog(const Router &Of, std::vector<std::string> &Into) const;
  void checkCrashing(const std::string &Path, std::vector<std::string> &Into);
  std::string crashLog() const;
  bool sentWhileConnected(const std::string &Id, const ServerRun &Run);

  /// Requests that crash each server that runs them, and come again and again.
  static constexpr std::array<const char *, 2> CrashingPaths{"/stream/crash",
                                                             "/safe/crash"};
  static constexpr int FaultSeriesCount = 4;
  static constexpr int CallerThreads = 12;

  std::uint64_t Seed;
  TemporaryFolder Folder;
  FakePlatformStore Store;
  std::mutex Mutex;
  std::mt19937_64 ServerRandom;
  std::map<std::string, std::vector<ServerRun>> Runs;
  std::map<std::string, CallerResult> Results;
  /// Servers that a request is to crash now.
  std::vector<std::size_t> ServersToCrash;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  std::vector<ServerLink> ServerLinks;
  std::vector<Router> Routers;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> FaultsStopped{false};
  /// All series of faults have ended.
  std::latch FaultsDone{FaultSeriesCount};
  /// All callers have ended.
  std::latch CallersDone{CallerThreads};
  std::atomic<std::uint64_t> LastRequest{0};
  std::atomic<std::size_t> Served{0};
  std::atomic<std::size_t> Requested{0};
  std::chrono::steady_clock::time_point StartedAt;
  std::int64_t Version = 0;
  std::chrono::steady_clock::time_point RevokedAt =
      std::chrono::steady_clock::time_point::max();
};

} // namespace parsleywing::test

#endif
