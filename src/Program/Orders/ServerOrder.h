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
  /// Prefix of every key that the fleet uses in the store.
  std::string Prefix;
  /// The backend server's declared name, which is part of its lease's key.
  std::string Server;
  /// Identifies the sender of the order to people who read the store while they
  /// wait for the lease.
  std::string Holder;
  std::chrono::seconds LeaseTtl = std::chrono::seconds(20);
  /// How long to wait for the server's lease and for permission to load.
  Duration Timeout = std::chrono::seconds(120);
  LoadRateLimiterSettings Rate;
};

/// The outcome of an order, and other changes observed meanwhile.
struct ServerOrderReport {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  FencingNumber Number = 0;
  /// How often this order was sent again because an older order had undone it.
  std::uint32_t Repeats = 0;
  /// Other adapters that were loaded or unloaded although this process held the
  /// lease, by older orders that were still in transit.
  std::set<std::string> OtherChanges;
};

/// Sends one order to one backend server: acquires the server's lease, waits
/// for the takeover delay and for permission to load, and sends the order with
/// the lease's fencing number. At a server that ignores the number it then
/// watches the server's report for a while. Blocks for up to the timeout plus
/// several lease TTLs; intended for a process of its own.
class ServerOrder {
public:
  /// Receives one short line of text for each step.
  using ProgressCallback = std::function<void(const std::string &)>;

  ServerOrder(ServerOrderSettings S, EngineOrder O, ProgressCallback T);

  /// Returns an error only if nothing was sent.
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

/// Returns the timing of an order's lease, in proportion to its TTL. At a
/// server that checks the number the next holder need not wait.
FencedLeaseTiming orderLeaseTiming(std::chrono::seconds Ttl,
                                   FencingCheck Check);

} // namespace parsleywing

#endif
