#ifndef PARSLEYWING_PROGRAM_ORDERS_SERVERORDER_H
#define PARSLEYWING_PROGRAM_ORDERS_SERVERORDER_H

#include "Backend/OrderClient.h"
#include "Platform/FencedLease.h"
#include "Program/Orders/LoadRateLimiter.h"

#include <functional>
#include <set>
#include <string>

namespace parsleywing {

struct ServerOrderSettings {
  StoreSettings Store;
  /// Start of every key that the fleet uses in the store.
  std::string Prefix;
  /// The backend server's declared name; its lease bears it.
  std::string Server;
  /// Who orders; others who wait for their turn can read it in the store.
  std::string Holder;
  std::chrono::seconds LeaseTtl = std::chrono::seconds(20);
  /// How long to wait for the server's lease and for leave to load.
  Duration Timeout = std::chrono::seconds(120);
  LoadRateLimiterSettings Rate;
};

/// How an order ended, and what was seen around it.
struct ServerOrderReport {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  FencingNumber Number = 0;
  /// How often an older order undid this one and it was given again.
  std::uint32_t Repeats = 0;
  /// What else was loaded or unloaded meanwhile, although the lease was held
  /// here: older orders that were still on their way.
  std::set<std::string> OtherChanges;
};

/// Gives one order to one backend server: takes the server's lease, waits its
/// turn, takes leave to load, gives the order with the lease's number, and at
/// a server that ignores the number watches its report for a while.
/// Blocks for the patience and some lease lives; for a process of its own.
class ServerOrder {
public:
  /// Told each step in one short line.
  using ProgressCallback = std::function<void(const std::string &)>;

  ServerOrder(ServerOrderSettings S, EngineOrder O, ProgressCallback T);

  /// An error: nothing was sent.
  Result<ServerOrderReport> run();

private:
  Result<FencingNumber> acquireLease(TimePoint Deadline);
  Result<void> acquireLoadSlot(TimePoint Deadline);
  OrderOutcome sendOrder();
  void sendAndVerify(ServerOrderReport &Report);
  bool remainsInEffect();
  void recordOtherChanges(ServerOrderReport &Report);
  std::optional<LeasePermit> currentPermit();
  bool serverChecksFencing() const;

  ServerOrderSettings Settings;
  EngineOrder Order;
  ProgressCallback OnProgress;
  Clock Time;
  std::shared_ptr<StoreBudget> Budget;
  FencedLeaseTiming LeaseTiming;
  FencedLease Lease;
  FencingNumber Number = 0;
  BackendCounters Counters;
  OrderClient Client;
  std::set<std::string> AdaptersBefore;
};

/// The times of an order's lease, in proportion to its life. At a server that
/// checks the number a successor need not wait.
FencedLeaseTiming orderLeaseTiming(std::chrono::seconds Life,
                                   FencingCheck Check);

} // namespace parsleywing

#endif
