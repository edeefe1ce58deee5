#ifndef PARSLEYWING_TEST_ADAPTER_FLEETROUTER_H
#define PARSLEYWING_TEST_ADAPTER_FLEETROUTER_H

#include "Adapter/FakePlatformStore.h"
#include "Gateway/FleetDistributor.h"
#include "Gateway/FleetFeed.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing::test {

/// The part of a router that knows the fleet, without any traffic: its feed,
/// its distributor and its messages to other routers.
class FleetRouter {
public:
  FleetRouter(const std::string &StoreAddress, const std::string &Name,
              const std::string &Address, double Cores);
  /// Ends as if the process were killed: its entry stays in the store.
  ~FleetRouter();
  FleetRouter(const FleetRouter &) = delete;
  FleetRouter &operator=(const FleetRouter &) = delete;

  std::shared_ptr<const FleetView> view();
  bool isRelay() const { return this->Distributor.role() == RelayRole::Relay; }
  /// Whether it knows its role and all changes up to a revision.
  bool isCurrent(Revision Seen);
  /// Number of times that the lists were read.
  std::uint64_t listReads() const;

private:
  void applyView(const std::shared_ptr<const FleetView> &View);

  std::atomic<bool> Killed{false};
  Metrics MetricsRegistry;
  EventLoop Loop{Clock::steady()};
  RouterMessenger Messenger;
  FleetDistributor Distributor;
  std::mutex Mutex;
  std::shared_ptr<const FleetView> LastView;
  std::unique_ptr<FleetFeed> Feed;
  std::thread Traffic;
};

/// Routers over one store. One of them is the relay of the others.
class RouterFleet {
public:
  /// The store has a configuration, and at least one server.
  explicit RouterFleet(FakePlatformStore &S);

  /// Starts a router, or starts it anew under its old name and address. The
  /// first one has the most cores, so it is the relay.
  FleetRouter &start(const std::string &Name);
  void kill(const std::string &Name) { this->Running.erase(Name); }
  FleetRouter &at(const std::string &Name) { return *this->Running.at(Name); }

  /// Waits until all routers know all changes in the store, and each has a
  /// relay or is one.
  bool
  becomesCurrent(std::chrono::milliseconds Limit = std::chrono::seconds(5));
  /// The relays among them.
  std::vector<std::string> relays() const;
  /// Waits until the predicate holds, for at most the given time.
  static bool eventually(std::chrono::milliseconds Limit,
                         const std::function<bool()> &Holds);

private:
  FakePlatformStore &Store;
  std::map<std::string, std::string> Addresses;
  std::map<std::string, double> Cores;
  std::map<std::string, std::unique_ptr<FleetRouter>> Running;
};

/// Writes the smallest configuration that routers accept.
void putConfiguration(FakePlatformStore &Store, int Version);
/// Writes the entry of a server.
void putServer(FakePlatformStore &Store, const std::string &Id,
               const std::string &State = "ready");
void removeServer(FakePlatformStore &Store, const std::string &Id);

/// Whether a view lists a server that takes requests.
bool takesRequests(const FleetView &View, const std::string &Id);

} // namespace parsleywing::test

#endif
