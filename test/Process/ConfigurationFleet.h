#ifndef PARSLEYWING_TEST_PROCESS_CONFIGURATIONFLEET_H
#define PARSLEYWING_TEST_PROCESS_CONFIGURATIONFLEET_H

#include "Process/Fleet.h"
#include "Process/TroubledWay.h"

#include <Poco/JSON/Object.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <thread>

namespace parsleywing::test {

/// The result of a command of the program.
struct CommandResult {
  int Code = 0;
  std::string Output;
};

/// The generation that a router reports.
struct GenerationResponse {
  std::uint64_t Incarnation = 0;
  std::uint64_t Generation = 0;
};

/// One router of the fleet with its own link to the store.
struct FleetRouter {
  std::string Name;
  std::string CallerAddress = freeAddress();
  std::string PeerAddress = freeAddress();
  std::string OperatorAddress = freeAddress();
  std::unique_ptr<TroubledWay> StoreLink;
  std::string SettingsFile;
  std::unique_ptr<ChildProcess> Process;

  /// Returns nothing if the router does not respond.
  std::optional<GenerationResponse> generation() const;
  Poco::JSON::Object::Ptr dump() const;
  /// Partitions the router from the routers with these names and reconnects it
  /// to all others. Returns whether the router accepted that.
  bool disconnectFrom(const std::vector<std::string> &Names) const;
};

/// The minimum lease TTL that the settings allow.
inline constexpr int ShortLeaseSeconds = 5;

/// Router processes with stand-ins for the store and one engine, in two
/// availability zones.
class ConfigurationFleet {
public:
  /// With `WithStoreLinks`, each router reaches the store through a link that
  /// can be cut.
  explicit ConfigurationFleet(std::size_t Count, bool WithStoreLinks = false,
                              int LeaseSeconds = ShortLeaseSeconds);
  ~ConfigurationFleet();

  void startRouter(std::size_t Index);
  /// Starts another process with the same router name at new addresses, as on a
  /// new VM. Returns the old process.
  std::unique_ptr<ChildProcess> replaceRouter(std::size_t Index);
  FleetRouter &router(std::size_t Index) { return this->Routers[Index]; }
  std::vector<FleetRouter> &routers() { return this->Routers; }

  /// Writes declarations with one account of this name, whose key is NAME-key.
  /// Returns the path.
  std::string writeDeclarations(const std::string &Account) const;
  CommandResult
  apply(const std::string &File, const std::string &Operator,
        const std::vector<std::string> &ExtraArguments = {}) const;
  CommandResult show() const;

  void setStoreFaults(const std::string &Json) const;
  /// The number of calls that the store has received, except open watches.
  std::uint64_t storeCalls() const;

  /// Waits until these routers have at least this generation.
  bool waitForGeneration(std::uint64_t Generation,
                         const std::vector<std::size_t> &Indexes);
  bool waitForGeneration(std::uint64_t Generation);
  /// Waits until the view of each of these routers has so many members.
  bool waitForViewSize(std::size_t Size,
                       const std::vector<std::size_t> &Indexes);
  /// Sends a request with this account's key and returns the status.
  int requestStatusAt(std::size_t Index, const std::string &Account);

  const TemporaryFolder &folder() const { return this->Folder; }
  const std::string &storeAddress() const { return this->Store; }

private:
  std::string settingsFor(const FleetRouter &Router, std::size_t Index) const;

  int LeaseSeconds;
  TemporaryFolder Folder;
  std::string Store = freeAddress();
  std::string Engine = freeAddress();
  std::vector<FleetRouter> Routers;
  ChildProcess StoreProcess;
  ChildProcess EngineProcess;
};

/// Polls the generation of every router from construction to `stop` and records
/// each regression: within one process any lower number; after a restart any
/// number below the highest seen, except zero (no active configuration yet).
class GenerationMonitor {
public:
  explicit GenerationMonitor(const std::vector<FleetRouter> &Routers);
  ~GenerationMonitor();
  GenerationMonitor(const GenerationMonitor &) = delete;
  GenerationMonitor &operator=(const GenerationMonitor &) = delete;

  /// Stops polling. Returns one line for each regression, or an empty text.
  std::string stop();
  /// The number of responses received from all routers.
  std::uint64_t polls() const { return this->Polls; }

private:
  struct RouterHistory {
    GenerationResponse Last;
    std::uint64_t Highest = 0;
    std::string Regressions;
  };
  void watch(const FleetRouter &Router, RouterHistory &History);

  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> Polls{0};
  std::list<RouterHistory> Histories;
  std::vector<std::thread> Threads;
};

/// Polls the condition every 50 ms. Returns false if it does not hold within
/// the limit.
bool waitFor(std::chrono::seconds Limit,
             const std::function<bool()> &Condition);

CommandResult runProgram(std::vector<std::string> Arguments);

} // namespace parsleywing::test

#endif
