#ifndef PARSLEYWING_TEST_STREAM_VERSIONFLEET_H
#define PARSLEYWING_TEST_STREAM_VERSIONFLEET_H

#include "Adapter/FakePlatformStore.h"
#include "Process/Fleet.h"
#include "Process/TroubledWay.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleywing::test {

/// What a caller has received of a stream in one attempt.
struct StreamResult {
  int Status = 0;
  /// The body was complete by its framing.
  bool Complete = false;
  std::string RetryAfter;
  /// The software versions whose servers made the events, in order.
  std::vector<std::string> Versions;
  /// The id of the last event; 0 if none was received.
  int LastId = 0;
  /// Each event had the id after the one before.
  bool InOrder = true;
  std::chrono::milliseconds Elapsed{};

  std::set<std::string> distinctVersions() const {
    return {this->Versions.begin(), this->Versions.end()};
  }
  std::string describe() const;
};

/// A caller's attempt at a stream.
struct StreamAttempt {
  std::size_t Router = 0;
  std::string RequestId;
  std::string Path = "/stream/x";
  /// The last event that the caller has, and the attempt that brought its
  /// first one; empty for a new stream.
  std::optional<int> LastId = std::nullopt;
  std::string Resumes = {};
  /// The caller leaves once it has this many events; 0 for never.
  std::size_t LeavesAfter = 0;
  std::string Key = "k1";
};

/// Routers as child processes in front of engines of several software
/// versions. Each event of a stream names the version of the engine that made
/// it, and engines take up any stream.
class VersionFleet {
public:
  static constexpr int StreamEvents = 12;

  struct Options {
    std::size_t Routers = 2;
    /// One of the routers allocates the servers for all.
    bool Allocated = true;
    /// The timeout of the streams' route.
    std::chrono::milliseconds Timeout{60'000};
  };

  explicit VersionFleet(Options O);
  ~VersionFleet();
  VersionFleet(const VersionFleet &) = delete;
  VersionFleet &operator=(const VersionFleet &) = delete;

  /// Adds a server and returns its number. With `Listed` unset, it is listed
  /// later.
  std::size_t addServer(const std::string &Version,
                        const std::string &Service = "engines",
                        bool Listed = true);
  void list(std::size_t Server, const std::string &State = "ready");
  void unlist(std::size_t Server);

  /// The number of events after which a server breaks off streams that are not
  /// taken up; 0 for never.
  void breakNewStreamsAfter(int Events) { this->BreakAfter = Events; }
  void setPause(std::chrono::milliseconds BetweenEvents) {
    this->EventPause = BetweenEvents;
  }

  /// Starts all routers and waits until they serve.
  void start();
  void startRouter(std::size_t Router);
  void killRouter(std::size_t Router);
  /// Stops a router with SIGTERM and starts it again.
  void restartRouter(std::size_t Router);
  /// Stops a router's process with SIGSTOP, or lets it go on.
  void freezeRouter(std::size_t Router, bool Frozen);
  /// Fills the buffer of a frozen router for messages of other routers, so that
  /// it loses those that are sent until it goes on.
  void loseMessages(std::size_t Router) const;
  /// Injects a fault into a router's link to the store.
  void troubleStore(std::size_t Router, WayTrouble Trouble);

  /// Writes another configuration, in which the streams of "/stream/" are sent
  /// to these services in equal parts.
  void configure(const std::vector<std::string> &Services);

  StreamResult call(const StreamAttempt &Attempt);
  /// The number of requests that have reached servers with this id.
  std::size_t received(const std::string &RequestId);

private:
  struct Engine {
    std::string Version;
    std::string Service;
    std::unique_ptr<ScriptedServer> Server;
  };
  struct Router {
    std::string Name;
    std::string CallerAddress;
    std::string PeerAddress;
    std::string Settings;
    std::unique_ptr<TroubledWay> StoreLink;
    std::unique_ptr<ChildProcess> Process;
  };

  bool serve(std::size_t Server, Poco::Net::StreamSocket &Connection,
             const std::string &Request);
  void waitUntilServing(std::size_t Router);

  Options Settings;
  TemporaryFolder Folder;
  FakePlatformStore Store;
  int ConfigurationVersion = 0;
  std::atomic<int> BreakAfter{0};
  std::atomic<std::chrono::milliseconds> EventPause{
      std::chrono::milliseconds(1)};
  std::mutex Mutex;
  std::map<std::string, std::size_t> Received;
  std::vector<Engine> Engines;
  std::vector<Router> Routers;
};

} // namespace parsleywing::test

#endif
