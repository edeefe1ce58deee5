#ifndef PARSLEYWING_GATEWAY_FLEETSTATE_H
#define PARSLEYWING_GATEWAY_FLEETSTATE_H

#include "Gateway/FleetSource.h"

#include <map>

namespace parsleywing {

/// What this router has learnt of the fleet from the store, never going back:
/// a late answer, a stale read or a dropped history must not bring an older
/// configuration or a removed server back. Decides when a server whose entry
/// vanished is gone. Makes no calls and has no clock of its own.
class FleetState {
public:
  /// Takes a configuration unless a newer one is known. True where it is new.
  bool applyConfiguration(const StoredConfiguration &Read);
  /// The configuration was the newest one at this moment.
  void recordProof(TimePoint AskedAt);

  /// Takes a whole list. Servers that it lacks are removed.
  void applyServers(const StoredServers &Read, TimePoint Now);
  void applyRouters(const StoredRouters &Read);
  void applyEvacuations(const StoredEvacuations &Read, TimePoint Now);
  void applyChange(const FleetChange &Change, TimePoint Now);

  /// A call on the store failed, or went well again.
  void recordStoreReachable(bool Reached, TimePoint Now);

  /// Drops entries whose grace is over. True where the view has changed.
  bool expire(TimePoint Now);

  /// The belief as it stands now. Lists that have not changed since the last
  /// call are the same objects: a new proof, twice a second, must not make
  /// every router work through all servers and routers again.
  FleetView view();

  TimePoint provenAt() const { return this->ProvenAt; }
  /// All changes of servers up to this revision are known.
  Revision seenRevision() const { return this->SeenRevision; }
  void recordSeenRevision(Revision At);
  /// Whoever has all changes up to this revision lacked none at this moment.
  void recordListsProof(Revision Complete, TimePoint At);
  TimePoint listsProvenAt() const { return this->ListsProvenAt; }
  Revision configurationRevision() const { return this->ConfigurationRevision; }
  std::size_t serverCount() const { return this->Servers.size(); }
  bool hasConfiguration() const { return this->Configuration != nullptr; }
  /// Whether another router than this one is listed.
  bool knowsRouterOtherThan(const std::string &Name) const {
    return this->Routers.size() > this->Routers.count(Name);
  }

private:
  struct Entry {
    GatewayServer Server;
    Revision ModRevision = 0;
    TimePoint ReceivedAt{};
    /// The entry vanished while the store was in trouble; the server may live.
    bool Lapsed = false;
    TimePoint RemoveAt{};
  };

  void applyServer(const StoredServer &Read, TimePoint Now);
  void applyEvacuation(const EvacuatedZone &Asked);
  void applyRestoration(const RestoredZone &Returned, TimePoint Now);
  /// Until when the server has to be taken for one that warms up.
  TimePoint warmUpEndsAt(const Entry &Known) const;
  void applyRouter(const StoredRouter &Read);
  void removeServer(const RemovedServer &Gone, TimePoint Now);
  void dropUnusableServer(const UnusableServer &Found);
  void removeRouter(const RemovedRouter &Gone);
  /// Keeps a change for routers that hear of it from this one.
  void appendToHistory(FleetChange Change);

  std::shared_ptr<const GatewayConfiguration> Configuration;
  Revision ConfigurationRevision = 0;
  Revision SeenRevision = 0;
  TimePoint ProvenAt{};
  TimePoint ListsProvenAt{};
  /// A proof of lists that these do not reach up to yet.
  Revision PendingProofRevision = 0;
  TimePoint PendingProofAt{};
  std::map<std::string, Entry> Servers;
  /// Whether the entry was written by an earlier process of the server than one
  /// that has been heard of: such a heartbeat can come late, behind a newer one
  /// or behind its removal.
  bool isFromEarlierProcess(const StoredServer &Read) const;

  /// The revision at which a server or router was removed: older news of it is
  /// void.
  std::map<std::string, Revision> RemovedServers;
  std::map<std::string, Revision> RemovedRouters;
  /// The start of the last process of each removed server.
  std::map<std::string, std::int64_t> RemovedServerStarts;
  std::map<std::string, StoredRouter> Routers;

  /// The end of a zone's last evacuation: its servers are cold then.
  struct ZoneRestoration {
    Revision ModRevision = 0;
    TimePoint ReceivedAt{};
  };
  std::map<std::string, Revision> EvacuatedZones;
  std::map<std::string, ZoneRestoration> RestoredZones;
  /// The lists of the last view; null where something has changed since.
  std::shared_ptr<const ServerList> CachedServerList;
  std::shared_ptr<const RouterList> CachedRouterList;
  std::shared_ptr<const std::map<std::string, Revision>> CachedEvacuatedZones;
  /// Copied before it is changed once a view has it.
  std::shared_ptr<FleetHistory> History = std::make_shared<FleetHistory>();
  bool HistoryShared = false;
  bool StoreReachable = false;
  bool StoreEverFailed = false;
  TimePoint StoreRecoveredAt{};
};

} // namespace parsleywing

#endif
