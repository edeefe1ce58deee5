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
  /// The list of live and leaving VMs stands under this prefix.
  std::string VmPrefix = "vms/";
  /// What leases lapse by.
  Clock Time = Clock::steady();
};

/// What the stand-in does wrong. The names of the fields, in lower case first,
/// are those of the JSON object of `POST /standin/faults`.
struct StoreFaults {
  bool Stall = false;          ///< Hold every reply until this is cleared.
  bool Silent = false;         ///< Take every call and never answer it.
  bool SilentExisting = false; ///< The same on connections open at the order.
  bool Refuse = false;         ///< Answer 503 without an effect.
  bool Stale = false;          ///< Serve reads as of the moment of the order.
  bool WatchReorder = false;   ///< Turn the order of each batch of changes.
  int LoseReplies = 0;         ///< Close after the effect of the next N writes.
  int LoseRequests = 0; ///< Close before the effect of the next N writes.
  int LateWrites = 0;   ///< The next N writes take effect `LateMs` later.
  int LateMs = 0;
  int LagMs = 0;          ///< Wait before each reply.
  int AwayMs = 0;         ///< Close everything and refuse connections so long.
  int WatchDelayMs = 0;   ///< Pass changes on so much later.
  int WatchDrop = 0;      ///< Lose the next N changes on watches.
  int VmLagMs = 0;        ///< The list of VMs shows changes so much later.
  int CallsPerSecond = 0; ///< Answer 429 above this rate; zero is no limit.
};

/// Takes the place of the platform's key-value service and of its list of VMs:
/// the few calls that the product makes, in memory, with faults to order.
class StoreStandIn {
public:
  explicit StoreStandIn(StoreOptions O);
  ~StoreStandIn();

  StoreStandIn(const StoreStandIn &) = delete;
  StoreStandIn &operator=(const StoreStandIn &) = delete;

  void start();
  /// The address with the port that the system chose where it was zero.
  std::string address() const;

  /// Changes the faults in one step.
  void changeFaults(const std::function<void(StoreFaults &)> &Change);

  /// Closes everything and refuses connections until `comeBack`. For tests
  /// that say themselves how long an outage lasts; not beside `AwayMs`.
  void leave();
  void comeBack() { this->listen(); }

  /// Sets the state of a VM in the list: "live", "leaving", or empty for gone.
  void setVm(const std::string &Name, const std::string &State);

  /// Calls of this kind since the start, refused ones too.
  std::uint64_t calls(StoreCall Kind) const;
  std::uint64_t allCalls() const;
  /// Waiting watches now.
  int watches() const;

  /// Reads a key past all faults.
  StoreRange peek(const std::string &Prefix) const;

private:
  friend class StoreHandler;
  struct VmChange {
    TimePoint Due;
    std::string Name;
    std::string State;
  };

  void listen();
  void goAway(std::chrono::milliseconds Time);
  void advance(TimePoint Now);

  StoreOptions Options;
  Clock Time = this->Options.Time;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  StoreData Data;
  StoreFaults Faults;
  std::list<VmChange> VmChanges;
  std::array<std::uint64_t, StoreCallNames.size()> Counts{};
  int Waiting = 0;
  bool Stopping = false;
  double RateTokens = 0;
  TimePoint RateFilled;
  std::set<std::string> Connections;
  std::set<std::string> SilentConnections;
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
  std::string Bound;
  std::mutex AwayMutex;
  std::thread Away;
};

} // namespace parsleywing::standin

#endif
