#ifndef PARSLEYWING_STANDIN_STORESTANDIN_H
#define PARSLEYWING_STANDIN_STORESTANDIN_H

#include "Platform/StoreBudget.h"
#include "Runtime/Clock.h"
#include "standin/StoreData.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace parsleywing::standin {

struct StoreOptions {
  std::string Address;
  /// The list of live and leaving VMs has its keys under this prefix.
  std::string VmPrefix = "vms/";
  /// The clock that expires leases.
  Clock Time = Clock::steady();
};

/// Faults that a test injects into the stand-in. The names of the fields with a
/// lower-case first letter are those of the JSON object of `POST
/// /standin/faults`.
struct StoreFaults {
  bool Stall = false;          ///< Delay every reply until this is cleared.
  bool Silent = false;         ///< Accept every call but never reply.
  bool SilentExisting = false; ///< The same on connections open when it is set.
  bool Refuse = false;         ///< Reply 503 and have no effect.
  bool Stale = false;          ///< Serve reads as of when this was set.
  bool WatchReorder = false;   ///< Reverse the order of each batch of changes.
  int LoseReplies = 0;         ///< Close after the effect of the next N writes.
  int LoseRequests = 0; ///< Close before the effect of the next N writes.
  int LateWrites = 0;   ///< The next N writes take effect `LateMs` later.
  int LateMs = 0;
  int LagMs = 0;  ///< Delay of each reply.
  int AwayMs = 0; ///< Close all connections and refuse new ones this long.
  int WatchDelayMs = 0;   ///< Delay changes on watches.
  int WatchDrop = 0;      ///< Drop the next N changes on watches.
  int VmLagMs = 0;        ///< Delay of changes to the list of VMs.
  int CallsPerSecond = 0; ///< Reply 429 above this rate; zero is no limit.
};

/// Simulates the platform's key-value store and its list of VMs in memory: it
/// implements the calls that the product makes and can inject faults.
class StoreStandIn {
public:
  explicit StoreStandIn(StoreOptions O);
  ~StoreStandIn();

  StoreStandIn(const StoreStandIn &) = delete;
  StoreStandIn &operator=(const StoreStandIn &) = delete;

  void start();
  /// The listen address, with the port that the system chose if it was zero.
  std::string address() const;

  /// Changes the faults atomically.
  void changeFaults(const std::function<void(StoreFaults &)> &Change);

  /// Closes all connections and refuses new ones until `comeBack`. For tests
  /// that control the length of an outage themselves; must not be combined with
  /// `AwayMs`.
  void leave();
  void comeBack() { this->listen(); }

  /// Sets the state of a VM in the list: "live", "leaving", or empty to remove
  /// it.
  void setVm(const std::string &Name, const std::string &State);

  /// The number of calls of this kind since the start, including refused ones.
  std::uint64_t calls(StoreCall Kind) const;
  std::uint64_t allCalls() const;
  /// The number of open watches.
  int watches() const;

  /// Reads the keys under a prefix, unaffected by faults.
  StoreRange peek(const std::string &Prefix) const;

private:
  friend class StoreHandler;
  struct VmChange {
    TimePoint DueAt;
    std::string Name;
    std::string State;
  };

  void listen();
  void startOutage(std::chrono::milliseconds Time);
  void advance(TimePoint Now);

  StoreOptions Options;
  Clock Time = this->Options.Time;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  StoreData Data;
  StoreFaults Faults;
  std::list<VmChange> VmChanges;
  std::array<std::uint64_t, StoreCallNames.size()> CallCounts{};
  int WaitingWatches = 0;
  bool Stopping = false;
  double RateTokens = 0;
  TimePoint RateRefilledAt;
  std::set<std::string> Connections;
  std::set<std::string> SilentConnections;
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
  std::string BoundAddress;
  std::mutex OutageMutex;
  std::thread OutageThread;
};

} // namespace parsleywing::standin

#endif
