#ifndef PARSLEYWING_GATEWAY_FLEETBOOK_H
#define PARSLEYWING_GATEWAY_FLEETBOOK_H

#include "Gateway/FleetSource.h"

#include <map>

namespace parsleywing {

/// What this router has learnt of the fleet from the store, never going back:
/// a late answer, a stale read or a dropped history must not bring an older
/// configuration or a removed server back. Decides when a server whose entry
/// vanished is gone. Makes no calls and has no clock of its own.
class FleetBook {
public:
  /// Takes a configuration unless a newer one is known. True where it is new.
  bool take(const StoredConfiguration &Read);
  /// The configuration was the newest one at this moment.
  void prove(TimePoint AskedAt);

  /// Takes a whole list. Servers that it lacks are removed.
  void take(const StoredServers &Read, TimePoint Now);
  void take(const StoredRouters &Read);
  void take(const StoredEvacuations &Read, TimePoint Now);
  void take(const FleetChange &Change, TimePoint Now);

  /// A call on the store failed, or went well again.
  void noteStore(bool Reached, TimePoint Now);

  /// Drops entries whose grace is over. True where the view has changed.
  bool expire(TimePoint Now);

  /// The belief as it stands now. Lists that have not changed since the last
  /// call are the same objects: a new proof, twice a second, must not make
  /// every router work through all servers and routers again.
  FleetView view();

  TimePoint provenAt() const { return this->ProvenAt; }
  /// All changes of servers up to this revision are known.
  Revision seenRevision() const { return this->SeenAt; }
  void noteSeen(Revision At);
  /// Whoever has all changes up to this revision lacked none at this moment.
  void proveLists(Revision Complete, TimePoint At);
  TimePoint listsProvenAt() const { return this->ListsProvenAt; }
  Revision configurationRevision() const { return this->ConfigurationAt; }
  std::size_t servers() const { return this->Servers.size(); }
  bool hasConfiguration() const { return this->Configuration != nullptr; }
  /// Whether another router than this one is listed.
  bool knowsRouterBeside(const std::string &Name) const {
    return this->Routers.size() > this->Routers.count(Name);
  }

private:
  struct Entry {
    GatewayServer Server;
    Revision At = 0;
    TimePoint HeardAt{};
    /// The entry vanished while the store was in trouble; the server may live.
    bool Lapsed = false;
    TimePoint GoneAt{};
  };

  void takeServer(const StoredServer &Read, TimePoint Now);
  void evacuate(const EvacuatedZone &Asked);
  void takeBack(const ReturnedZone &Returned, TimePoint Now);
  /// Until when the server has to be taken for one that warms up.
  TimePoint warmUntil(const Entry &Known) const;
  void takeRouter(const StoredRouter &Read);
  void removeServer(const RemovedServer &Gone, TimePoint Now);
  void dropServer(const UnusableServer &Found);
  void removeRouter(const RemovedRouter &Gone);
  /// Keeps a change for routers that hear of it from this one.
  void record(FleetChange Change);

  std::shared_ptr<const GatewayConfiguration> Configuration;
  Revision ConfigurationAt = 0;
  Revision SeenAt = 0;
  TimePoint ProvenAt{};
  TimePoint ListsProvenAt{};
  /// A proof of lists that these do not reach up to yet.
  Revision ProofNeeds = 0;
  TimePoint ProofAt{};
  std::map<std::string, Entry> Servers;
  /// Whether the entry was written by an earlier process of the server than one
  /// that has been heard of: such a heartbeat can come late, behind a newer one
  /// or behind its removal.
  bool isOfEarlierProcess(const StoredServer &Read) const;

  /// The revision at which a server or router was removed: older news of it is
  /// void.
  std::map<std::string, Revision> Removed;
  std::map<std::string, Revision> RemovedRouters;
  /// The start of the last process of each removed server.
  std::map<std::string, std::int64_t> StartOfRemoved;
  std::map<std::string, StoredRouter> Routers;

  /// The end of a zone's last evacuation: its servers are cold then.
  struct ZoneReturn {
    Revision At = 0;
    TimePoint HeardAt{};
  };
  std::map<std::string, Revision> Evacuated;
  std::map<std::string, ZoneReturn> Returned;
  /// The lists of the last view; null where something has changed since.
  std::shared_ptr<const ServerList> ListedServers;
  std::shared_ptr<const RouterList> ListedRouters;
  std::shared_ptr<const std::map<std::string, Revision>> ListedZones;
  /// Copied before it is changed once a view has it.
  std::shared_ptr<FleetHistory> History = std::make_shared<FleetHistory>();
  bool HistoryTold = false;
  bool StoreReached = false;
  bool EverTroubled = false;
  TimePoint TroubleEnded{};
};

} // namespace parsleywing

#endif
