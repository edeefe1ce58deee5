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

/// What a command of the program left.
struct CommandResult {
  int Code = 0;
  std::string Printed;
};

/// What a router says of its generation.
struct GenerationAnswer {
  std::uint64_t Incarnation = 0;
  std::uint64_t Generation = 0;
};

/// One router of the fleet, and its own way to the store.
struct FleetRouter {
  std::string Name;
  std::string Callers = freeAddress();
  std::string Peers = freeAddress();
  std::string Operators = freeAddress();
  std::unique_ptr<TroubledWay> Relay;
  std::string SettingsFile;
  std::unique_ptr<ChildProcess> Process;

  /// Nothing where it does not answer.
  std::optional<GenerationAnswer> generation() const;
  Poco::JSON::Object::Ptr dump() const;
  /// Cuts it off from routers of these names, and heals the cut from others.
  bool cutFrom(const std::vector<std::string> &Names) const;
};

/// The shortest lease that the settings allow.
inline constexpr int ShortLeaseSeconds = 5;

/// Real routers with the store's stand-in and one engine's, in two availability
/// zones.
class ConfigurationFleet {
public:
  /// `WithRelays` gives each router a way to the store that can be cut.
  explicit ConfigurationFleet(std::size_t Count, bool WithRelays = false,
                              int LeaseSeconds = ShortLeaseSeconds);
  ~ConfigurationFleet();

  void startRouter(std::size_t Index);
  /// Starts another process of the name at new addresses, as on another VM;
  /// gives the old one.
  std::unique_ptr<ChildProcess> replaceRouter(std::size_t Index);
  FleetRouter &router(std::size_t Index) { return this->Routers[Index]; }
  std::vector<FleetRouter> &routers() { return this->Routers; }

  /// A file that declares one account of this name, with the key NAME-key.
  std::string declare(const std::string &Account) const;
  CommandResult apply(const std::string &File, const std::string &Operator,
                      const std::vector<std::string> &More = {}) const;
  CommandResult show() const;

  void orderStoreFaults(const std::string &Json) const;
  /// Calls that the store has had, waiting watches not counted.
  std::uint64_t storeCalls() const;

  /// Waits until these routers have at least this generation.
  bool waitForGeneration(std::uint64_t Generation,
                         const std::vector<std::size_t> &Which);
  bool waitForGeneration(std::uint64_t Generation);
  /// Waits until each of these counts so many members in its view.
  bool waitForViews(std::size_t Size, const std::vector<std::size_t> &Which);
  /// The status that a caller with this account's key gets there.
  int callAt(std::size_t Index, const std::string &Account);

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

/// Polls the generation of every router without pause from its start to its
/// end, and notes each step back: within one process any lower number, after a
/// restart any but zero (nothing in force yet) below the highest seen there.
class GenerationWatch {
public:
  explicit GenerationWatch(const std::vector<FleetRouter> &Routers);
  ~GenerationWatch();
  GenerationWatch(const GenerationWatch &) = delete;
  GenerationWatch &operator=(const GenerationWatch &) = delete;

  /// Ends the polls; one line for each step back, and an empty text for none.
  std::string stop();
  /// Answers read so far, over all routers.
  std::uint64_t polls() const { return this->Polls; }

private:
  struct Seen {
    GenerationAnswer Last;
    std::uint64_t Highest = 0;
    std::string StepsBack;
  };
  void watch(const FleetRouter &Router, Seen &Into);

  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> Polls{0};
  std::list<Seen> All;
  std::vector<std::thread> Threads;
};

/// Tries each 50 ms for at most so long; whether it came true.
bool within(std::chrono::seconds Limit, const std::function<bool()> &IsSo);

CommandResult runProgram(std::vector<std::string> Words);

} // namespace parsleywing::test

#endif
