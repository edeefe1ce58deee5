#ifndef PARSLEYWING_TEST_SOAK_SOAKFLEET_H
#define PARSLEYWING_TEST_SOAK_SOAKFLEET_H

#include "Adapter/PlatformStore.h"
#include "Process/Fleet.h"
#include "Process/TroubledWay.h"

#include <atomic>
#include <latch>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing::test {

/// One run of a request at a server.
struct ServerRun {
  std::string Path;
  std::string Account;
  std::chrono::steady_clock::time_point At;
};

/// What a caller got.
struct CallerResult {
  std::string Path;
  int Status = 0;
  /// The answer ended as its framing says.
  bool Whole = false;
  std::string Body;
  std::chrono::steady_clock::time_point SentAt;
};

/// Routers as processes, with ways to the store and to the servers that can be
/// in trouble; servers and the store in this process; callers, faults, and the
/// promises checked from what callers and servers saw. Everything random
/// follows from the seed, but for the interleaving of processes.
class SoakFleet {
public:
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
  };

  void startRouter(Router &Each);
  void writeConfiguration(bool WithSecondKey);
  bool serve(Poco::Net::StreamSocket &Connection, const std::string &Request);
  bool serveStream(Poco::Net::StreamSocket &Connection,
                   const std::string &Request, const std::string &Id);
  int chance(int Below);
  void callersLoop(int Number);
  void callOnce(std::mt19937_64 &Random);
  using Fault = void (SoakFleet::*)(std::mt19937_64 &Random);
  void faultsLoop(std::uint64_t Start, Fault One);
  void oneFault(std::mt19937_64 &Random);
  void oneWayFault(std::mt19937_64 &Random);
  void checkRequest(const std::string &Id, const CallerResult &Got,
                    std::vector<std::string> &Into);

  std::uint64_t Seed;
  TemporaryFolder Folder;
  PlatformStore Store;
  std::mutex Guard;
  std::mt19937_64 ServerRandom;
  std::map<std::string, std::vector<ServerRun>> Runs;
  std::map<std::string, CallerResult> Results;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  /// From the routers to each server.
  std::vector<std::unique_ptr<TroubledWay>> ServerWays;
  std::vector<Router> Routers;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Calm{false};
  /// Both series of faults have ended.
  std::latch FaultsOver{2};
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
