#ifndef PARSLEYWING_GATEWAY_FLEETSOURCE_H
#define PARSLEYWING_GATEWAY_FLEETSOURCE_H

#include "Placement/FleetView.h"
#include "Platform/StoreTypes.h"
#include "Runtime/Result.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// The configuration in the store.
struct StoredConfiguration {
  std::shared_ptr<const GatewayConfiguration> Configuration;
  Revision ModRevision = 0;
  /// The store's newest revision at the time of the read; 0 if unknown.
  Revision StoreRevision = 0;
};

/// The entry of a server.
struct StoredServer {
  GatewayServer Server;
  Revision ModRevision = 0;
};

/// The entry of a server was deleted.
struct RemovedServer {
  std::string Id;
  Revision ModRevision = 0;
};

/// The entry of a server exists but is invalid, so it was not written by the
/// server. The server counts as unlisted until it writes its entry again.
struct InvalidServerEntry {
  std::string Id;
  Revision ModRevision = 0;
  /// What is wrong with the entry, for the log.
  std::string Reason;
};

/// The entry of a router.
struct StoredRouter {
  std::string Name;
  /// The address at which other routers reach it.
  std::string Address;
  double Cores = 1;
  Revision ModRevision = 0;
  /// The lease that the entry is attached to; 0 if unknown.
  LeaseId Lease = 0;
  /// Its availability zone; empty if not stated.
  std::string Zone{};
  /// The newest message format that the router reads.
  MessageFormat Format = NewestMessageFormat;
};

struct RemovedRouter {
  std::string Name;
  Revision ModRevision = 0;
};

/// The operators have requested that nothing more be sent to the servers of an
/// availability zone.
struct EvacuatedZone {
  std::string Zone;
  Revision ModRevision = 0;
};

/// The evacuation of a zone has ended.
struct RestoredZone {
  std::string Zone;
  Revision ModRevision = 0;
};

/// One change in the store that concerns the fleet.
using FleetChange =
    std::variant<StoredConfiguration, StoredServer, RemovedServer,
                 InvalidServerEntry, StoredRouter, RemovedRouter, EvacuatedZone,
                 RestoredZone>;

/// The revision at which a change was made.
inline Revision revisionOf(const FleetChange &Change) {
  return std::visit([](const auto &Each) { return Each.ModRevision; }, Change);
}

/// Changes after a revision, and the revision up to which they are complete.
struct FleetChanges {
  std::vector<FleetChange> Changes;
  Revision LastRevision = 0;
};

/// All servers at one time.
struct StoredServers {
  std::vector<StoredServer> Servers;
  /// The list has all changes up to this revision: a known entry that is older
  /// and missing from the list has been deleted.
  Revision ReadRevision = 0;
  std::vector<InvalidServerEntry> Invalid{};
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

/// The three lists of one reading, which may come from copies of different age.
struct FleetLists {
  StoredServers Servers;
  StoredRouters Routers;
  StoredEvacuations Zones;

  /// Each list has all changes up to this revision. One that was read later has
  /// some of the changes after it too.
  Revision coveredRevision() const {
    return std::min({this->Servers.ReadRevision, this->Routers.ReadRevision,
                     this->Zones.ReadRevision});
  }
};

enum class ReadConsistency {
  Linearizable, ///< Includes all writes acknowledged before the read.
  AllowStale,   ///< May be some seconds old, at a tenth of the price. The
                ///< revision of the result states its age.
};

/// Reads the fleet from the platform's store, for one thread. The functions
/// block for a bounded time. `Changes` returns `ErrorCode::NotFound` if the
/// history after the revision has been compacted.
struct FleetSource {
  /// Empty if there is no configuration yet. `Known` is the revision that the
  /// caller has: an unchanged configuration is returned without its content.
  std::function<Result<std::optional<StoredConfiguration>>(
      Revision Known, ReadConsistency Consistency)>
      Configuration;
  std::function<Result<StoredServers>(ReadConsistency Consistency)> Servers;
  std::function<Result<StoredRouters>(ReadConsistency Consistency)> Routers;
  std::function<Result<StoredEvacuations>(ReadConsistency Consistency)>
      Evacuations;
  /// Waits at most this long for changes. If `Ended` is stopped, the call fails
  /// soon, and the next one uses a new connection.
  std::function<Result<FleetChanges>(Revision After, Duration Wait,
                                     const std::stop_token &Ended)>
      Changes;
  /// Returns the changes of servers, routers and evacuated zones, without
  /// waiting. Unlike `Changes` it leaves out configurations, of which each may
  /// have 1 MB. Takes a call for each of the three.
  std::function<Result<FleetChanges>(Revision After)> ListChanges;
  /// Writes this router's entry under a new lease and returns the lease.
  std::function<Result<LeaseId>(const StoredRouter &Self, Duration Ttl)>
      Register;
  /// Returns `NotFound` if the lease has expired.
  std::function<Result<void>(LeaseId Lease)> Renew;
  std::function<Result<void>(LeaseId Lease)> Unregister;
};

} // namespace parsleywing

#endif
