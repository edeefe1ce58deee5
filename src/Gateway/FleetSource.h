#ifndef PARSLEYWING_GATEWAY_FLEETSOURCE_H
#define PARSLEYWING_GATEWAY_FLEETSOURCE_H

#include "Placement/FleetView.h"
#include "Platform/StoreTypes.h"
#include "Runtime/Result.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// The configuration as it stands in the store.
struct StoredConfiguration {
  std::shared_ptr<const GatewayConfiguration> Configuration;
  Revision ModRevision = 0;
  /// The store's newest revision at the time of the read; 0 where it is not
  /// known.
  Revision StoreRevision = 0;
};

/// The entry of a server, and when it was written.
struct StoredServer {
  GatewayServer Server;
  Revision ModRevision = 0;
};

/// A server's entry is gone.
struct RemovedServer {
  std::string Id;
  Revision ModRevision = 0;
};

/// A server's entry is there and cannot be used: it is no server's own writing.
/// It names no server until the server writes again.
struct UnusableServer {
  std::string Id;
  Revision ModRevision = 0;
  /// What is wrong with the entry, for the log.
  std::string Reason;
};

/// A router that is listed, with the address at which others reach it.
struct StoredRouter {
  std::string Name;
  std::string Address;
  /// Cores that it has.
  double Cores = 1;
  Revision ModRevision = 0;
  /// The lease that its entry hangs on; 0 where it is not known.
  LeaseId Lease = 0;
  /// Its availability zone; empty where it does not say.
  std::string Zone{};
};

struct RemovedRouter {
  std::string Name;
  Revision ModRevision = 0;
};

/// The operators ask that nothing more be sent to the servers of an
/// availability zone.
struct EvacuatedZone {
  std::string Zone;
  Revision ModRevision = 0;
};

/// An evacuation was taken back.
struct RestoredZone {
  std::string Zone;
  Revision ModRevision = 0;
};

/// One change in the store that concerns the fleet.
using FleetChange = std::variant<StoredConfiguration, StoredServer,
                                 RemovedServer, UnusableServer, StoredRouter,
                                 RemovedRouter, EvacuatedZone, RestoredZone>;

/// Changes after a revision, and the revision to go on from.
struct FleetChanges {
  std::vector<FleetChange> Changes;
  Revision LastRevision = 0;
};

/// The latest changes of servers and routers in the order in which they were
/// learnt: whoever has seen all before `Since` lacks nothing with them. Each is
/// shared by all copies, which are made at each change of a large fleet.
struct FleetHistory {
  Revision StartRevision = 0;
  std::vector<std::shared_ptr<const FleetChange>> Changes;
};

/// All servers at one time.
struct StoredServers {
  std::vector<StoredServer> Servers;
  /// The revision of the store when the read began: an entry that is missing
  /// and older than this is gone.
  Revision ReadRevision = 0;
  std::vector<UnusableServer> Unusable{};
};

struct StoredRouters {
  std::vector<StoredRouter> Routers;
  Revision ReadRevision = 0;
};

/// All zones that are evacuated at one time.
struct StoredEvacuations {
  std::vector<EvacuatedZone> Zones;
  Revision ReadRevision = 0;
};

/// How new a read has to be.
enum class ReadConsistency {
  Linearizable, ///< All that was acknowledged before the read is in it.
  AllowStale,   ///< Some seconds old perhaps; a tenth of the price. It says by
                ///< its revision how old.
};

/// Reads the fleet from the platform's store, for one thread. The functions
/// block for a bounded time. `ErrorCode::NotFound` of `Changes` says that the
/// history after the revision is gone.
struct FleetSource {
  /// Nothing where there is none yet. `Known` is the revision that the reader
  /// has: a configuration that has not changed comes without its content.
  std::function<Result<std::optional<StoredConfiguration>>(Revision Known,
                                                           ReadConsistency Age)>
      Configuration;
  std::function<Result<StoredServers>(ReadConsistency Age)> Servers;
  std::function<Result<StoredRouters>(ReadConsistency Age)> Routers;
  std::function<Result<StoredEvacuations>(ReadConsistency Age)> Evacuations;
  /// Waits for changes for at most this long.
  std::function<Result<FleetChanges>(Revision After, Duration Wait)> Changes;
  /// Lists this router under a lease of this life; returns the lease.
  std::function<Result<LeaseId>(const StoredRouter &Self, Duration Life)>
      Register;
  /// `NotFound` where the lease has ended.
  std::function<Result<void>(LeaseId Lease)> Renew;
  std::function<Result<void>(LeaseId Lease)> Unregister;
};

} // namespace parsleywing

#endif
