#ifndef PARSLEYWING_PLATFORM_PLATFORMTHREAD_H
#define PARSLEYWING_PLATFORM_PLATFORMTHREAD_H

#include "Decision/Configuration/ConfigurationKeeper.h"
#include "Platform/Backoff.h"
#include "Platform/ConfigurationStore.h"
#include "Platform/RouterRegistration.h"
#include "Platform/StoreWatch.h"
#include "Runtime/EnumNames.h"
#include "Runtime/Mailbox.h"

#include <Poco/JSON/Object.h>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace parsleywing {

/// State of a VM in the platform's list, which lags behind the actual state.
enum class VmState { Live, Leaving };

inline constexpr EnumNames<VmState, 2> VmStateNames{{
    {VmState::Live, "live"},
    {VmState::Leaving, "leaving"},
}};

struct VmListing {
  std::string Name;
  VmState State;
};

/// The router's lease was granted, or has expired or cannot be renewed.
struct RouterLeaseChanged {
  bool Held;
};

/// The routers that hold a lease. A router that died is listed until its lease
/// expires.
struct RoutersListed {
  std::vector<RouterRegistration> Routers;
};

/// The platform's list of VMs.
struct VmsListed {
  std::vector<VmListing> Vms;
};

/// An event from the platform's services.
using PlatformEvent =
    std::variant<ManifestRead, PartsRead, StoreFailed, RouterLeaseChanged,
                 RoutersListed, VmsListed>;

/// Read the lists of routers and VMs once.
struct ReadLists {};

/// A request to the platform's services.
using PlatformRequest = std::variant<WatchManifest, StopWatching, ReadManifest,
                                     ReadParts, ReadLists>;

struct PlatformSettings {
  std::string RouterPrefix = "routers/";
  std::string VmPrefix = "vms/";
  std::chrono::seconds LeaseTtl = std::chrono::seconds(30);
  Duration KeepAliveInterval = std::chrono::seconds(10);
  /// Interval at which a router that watches the manifest reads both lists.
  Duration ListInterval = std::chrono::seconds(2);
  std::uint64_t Seed = 0;
};

/// Calls the platform's services on its own thread and posts the results as
/// events. Holds the single lease of this router. Every call is rate limited
/// by the budget.
class PlatformThread {
public:
  /// Receives the events, on this object's threads; must not block.
  using Sink = std::function<void(PlatformEvent)>;

  PlatformThread(PlatformSettings P, const ConfigurationStoreSettings &C,
                 const StoreSettings &S, const std::shared_ptr<StoreBudget> &B,
                 RouterRegistration R, const Clock &T, Sink Post);
  /// Releases the lease if the store answers in time.
  ~PlatformThread();

  PlatformThread(const PlatformThread &) = delete;
  PlatformThread &operator=(const PlatformThread &) = delete;

  /// Queues a request; the result arrives as an event. Thread-safe.
  void submit(PlatformRequest Request);

  Poco::JSON::Object::Ptr dump() const { return this->Budget->dump(); }

private:
  void run();
  void on(const WatchManifest &);
  void on(const StopWatching &);
  void on(const ReadManifest &);
  void on(const ReadParts &Request);
  void on(const ReadLists &);
  void maintainLease();
  bool acquireLease();
  Result<void> registerRouter();
  void setLeaseHeld(bool Held);

  PlatformSettings Settings;
  ConfigurationStoreSettings ConfigurationSettings;
  StoreSettings ClientSettings;
  std::shared_ptr<StoreBudget> Budget;
  RouterRegistration Registration;
  Clock Time;
  Sink PostEvent;
  StoreClient Store;
  ConfigurationStore Configuration;
  std::unique_ptr<StoreWatch> Watch;
  Backoff LeaseBackoff;
  std::mt19937_64 Random;

  LeaseId Lease = 0;
  LeaseId PendingLease = 0;
  bool LeaseHeld = false;
  TimePoint NextLeaseCallAt;
  TimePoint LastRenewalAt;
  TimePoint NextListAt;

  std::atomic<bool> Stopping{false};
  Mailbox<std::unique_ptr<PlatformRequest>> Requests;
  std::thread Worker;
};

} // namespace parsleywing

#endif
