#ifndef PARSLEYWING_TEST_SOAK_SOAKFLEET_H
#define PARSLEYWING_TEST_SOAK_SOAKFLEET_H

#include "Adapter/PlatformStore.h"
#include "Process/Fleet.h"
#include "Process/TroubledWay.h"
#include "Soak/KeptConnection.h"

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
struct Span {
  std::chrono::steady_clock::time_point From;
  std::chrono::steady_clock::time_point To =
      std::chrono::steady_clock::time_point::max();
};

/// One run of a request at a server.
struct ServerRun {
  std::string Path;
  std::string Account;
  std::size_t Server = 0;
  std::chrono::steady_clock::time_point At;
  /// When the server had sent all or found its connection broken.
  std::chrono::steady_clock::time_point EndedAt =
      std::chrono::steady_clock::time_point::max();
  /// The server itself broke its answer off or spoilt it.
  bool Spoilt = false;
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
  std::vector<std::string> broken();

  /// How many calls ended with which status, second by second of the run; 0 is
  /// no answer.
  std::string summary();

  std::size_t served() const { return this->Served; }
  std::size_t asked() const { return this->Asked; }

private:
  struct Router {
    std::string Name;
    std::string Callers;
    std::string Settings;
    std::unique_ptr<TroubledWay> Way;
    std::unique_ptr<ChildProcess> Process;
    std::vector<Span> Killed;
    std::vector<Span> Frozen;
    /// From each SIGTERM to the end of the process.
    std::vector<Span> Drained;
    /// The moments at which its processes were started.
    std::vector<Span> Started;
  };

  /// The way from the routers to a server.
  struct ServerWay {
    std::unique_ptr<TroubledWay> Way;
    /// Crashes of the server too.
    std::vector<Span> Troubles;
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
  void callersLoop(std::size_t Number);
  void callOnce(std::mt19937_64 &Random, std::vector<KeptConnection> &Kept);
  using Fault = std::function<void(std::mt19937_64 &)>;
  void faultsLoop(std::uint64_t Start, const Fault &One);
  std::string identityOf(std::size_t Server) const;
  void listServer(std::size_t Server);
  void crashesLoop();
  void crashAndStart(std::size_t Server);
  void crashingCallerLoop(const std::string &Path);
  void during(std::vector<Span> &Spans, const std::function<void()> &Do);
  void oneRouterFault(Router &Chosen, std::mt19937_64 &Random);
  void freeze(Router &Chosen, std::mt19937_64 &Random);
  void restartInOrder(Router &Chosen, std::mt19937_64 &Random);
  void killAndStart(Router &Chosen, std::mt19937_64 &Random);
  void oneStoreFault(std::mt19937_64 &Random);
  void oneWayFault(std::mt19937_64 &Random);
  void checkRequest(const std::string &Id, const CallerResult &Got,
                    std::vector<std::string> &Into);
  void checkEnd(const std::string &Id, const CallerResult &Got,
                std::vector<std::string> &Into);
  bool mayBeCut(const CallerResult &Got, const ServerRun &Last) const;
  const Span *reachedDrainLimit(const CallerResult &Got) const;
  std::string logOf(const std::string &Id, const CallerResult &Got) const;
  void checkLog(const Router &Of, std::vector<std::string> &Into) const;
  void checkCrashing(const std::string &Path, std::vector<std::string> &Into);
  std::string crashLog() const;
  bool sentInTouch(const std::string &Id, const ServerRun &Run);

  /// Requests that crash each server that runs them, and come again and again.
  static constexpr std::array<const char *, 2> CrashingPaths{"/stream/crash",
                                                             "/safe/crash"};
  static constexpr int SeriesOfFaults = 4;
  static constexpr int CallerThreads = 12;

  std::uint64_t Seed;
  TemporaryFolder Folder;
  PlatformStore Store;
  std::mutex Guard;
  std::mt19937_64 ServerRandom;
  std::map<std::string, std::vector<ServerRun>> Runs;
  std::map<std::string, CallerResult> Results;
  /// Servers that a request is to crash now.
  std::vector<std::size_t> ToCrash;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  std::vector<ServerWay> ServerWays;
  std::vector<Router> Routers;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Calm{false};
  /// All series of faults have ended.
  std::latch FaultsOver{SeriesOfFaults};
  /// All callers have ended.
  std::latch CallersGone{CallerThreads};
  std::atomic<std::uint64_t> LastRequest{0};
  std::atomic<std::size_t> Served{0};
  std::atomic<std::size_t> Asked{0};
  std::chrono::steady_clock::time_point Began;
  std::int64_t Version = 0;
  std::chrono::steady_clock::time_point RevokedAt =
      std::chrono::steady_clock::time_point::max();
};

} // namespace parsleywing::test

#endif
