#ifndef PARSLEYWING_GATEWAY_FLEETSTATE_H
#define PARSLEYWING_GATEWAY_FLEETSTATE_H

#include "Gateway/FleetHistory.h"
#include "Gateway/FleetSource.h"
#include "Gateway/RemovedEntries.h"

#include <map>

namespace parsleywing {

/// What this router knows of the fleet from the store. The state never goes
/// back: a late response, a stale read or a compacted history must not restore
/// an older configuration or a removed server. Also decides when a server whose
/// entry vanished is removed. Makes no calls and has no clock of its own.
class FleetState {
public:
  /// Applies a configuration unless a newer one is known. Returns whether it is
  /// new.
  bool applyConfiguration(const StoredConfiguration &Stored);
  /// The configuration was the newest one at this time.
  void recordProof(TimePoint RequestedAt);

  /// Applies complete lists. The changes after the lowest of their revisions
  /// are to follow, though a newer one of the lists has some of them.
  void applyLists(const FleetLists &Lists, TimePoint Now);
  /// Compares with a complete list, which may be older than what is known.
  /// Entries that it lacks are removed.
  void applyServers(const StoredServers &List, TimePoint Now);
  void applyEvacuations(const StoredEvacuations &List, TimePoint Now);
  /// Applies the changes after a revision that is older than the lists, before
  /// any other change. Those that the lists have are kept for followers only.
  void applyEarlierChanges(Revision After, const FleetChanges &Earlier,
                           TimePoint Now);
  /// Applies a change that the store's watch reported, to this router or to its
  /// relay. Changes are passed in their order, without a gap.
  void applyChange(const FleetChange &Change, TimePoint Now);
  /// Applies what differs between lists of this revision and the present state.
  void applyDifferences(Revision To,
                        const std::vector<FleetChange> &Differences,
                        TimePoint Now);
  /// Lets the history for followers begin with the next change.
  void forgetHistory();

  /// Records whether a call on the store succeeded.
  void recordStoreReachable(bool Reachable, TimePoint Now);

  /// Removes entries whose grace period is over. Returns whether the view has
  /// changed.
  bool expire(TimePoint Now);
  /// The next time at which `expire` may remove an entry.
  TimePoint nextExpiry() const { return this->NextExpiry; }

  /// The current state as a view. Lists that have not changed since the last
  /// call are the same objects: otherwise every router would process all
  /// servers and routers again with each proof.
  FleetView view();

  TimePoint provenAt() const { return this->ProvenAt; }
  /// All changes of servers, routers and evacuated zones up to this revision
  /// are known.
  Revision seenRevision() const { return this->SeenRevision; }
  void recordSeenRevision(Revision Seen);
  /// Lists with all changes up to this revision were complete at this time.
  void recordListsProof(Revision Complete, TimePoint At);
  TimePoint listsProvenAt() const { return this->ListsProvenAt; }
  Revision configurationRevision() const { return this->ConfigurationRevision; }
  std::size_t serverCount() const { return this->Servers.size(); }
  bool hasConfiguration() const { return this->Configuration != nullptr; }
  bool knowsRouterOtherThan(const std::string &Name) const {
    return this->Routers.size() > this->Routers.count(Name);
  }

private:
  struct Entry {
    GatewayServer Server;
    Revision ModRevision = 0;
    TimePoint ReceivedAt{};
    /// The entry vanished while the store had failures, so the server may still
    /// be alive.
    bool Lapsed = false;
    TimePoint RemoveAt{};
  };

  void apply(const FleetChange &Change, TimePoint Now);
  void applyRouters(const StoredRouters &List);
  /// The entries that differ from the state at a revision, and the removals
  /// since. Complete only if all of these removals are known.
  std::vector<FleetChange> differencesFrom(Revision Before) const;
  /// Adds a gap to the history, from the known revision to this one.
  void continueHistory(Revision To, std::vector<FleetChange> Differences);
  void applyServer(const StoredServer &Stored, TimePoint Now);
  void applyEvacuation(const EvacuatedZone &Evacuated);
  void applyRestoration(const RestoredZone &Restored, TimePoint Now);
  TimePoint warmUpEndsAt(const Entry &Known) const;
  void applyRouter(const StoredRouter &Stored);
  void removeServer(const RemovedServer &Removed, TimePoint Now);
  void dropInvalidServer(const InvalidServerEntry &Invalid);
  void removeRouter(const RemovedRouter &Removed);
  /// The history for changes. Views keep the one that they have.
  FleetHistory &ownHistory();

  std::shared_ptr<const GatewayConfiguration> Configuration;
  Revision ConfigurationRevision = 0;
  Revision SeenRevision = 0;
  TimePoint ProvenAt{};
  TimePoint ListsProvenAt{};
  /// A proof of the lists at a revision that they have not reached yet.
  Revision PendingProofRevision = 0;
  TimePoint PendingProofAt{};
  std::map<std::string, Entry> Servers;
  /// Whether the entry was written by an earlier process of the server than a
  /// known one: such a heartbeat can arrive after a newer one or after the
  /// server's removal.
  bool isFromEarlierProcess(const StoredServer &Stored) const;

  /// Whether a listed entry that this router does not know is still there. An
  /// older list also has entries whose removal is forgotten, or was made before
  /// this router knew the fleet.
  bool isStillListed(Revision ModRevision, Revision ReadRevision,
                     Revision RemovalsKnownAfter) const;

  /// Removals of servers and routers. Changes of them with an older revision
  /// are ignored.
  RemovedEntries RemovedServers;
  RemovedEntries RemovedRouters;
  /// Up to this revision changes are known from lists only, which do not show
  /// what was removed.
  Revision RemovalsReportedAfter = 0;
  std::map<std::string, StoredRouter> Routers;

  /// The end of a zone's last evacuation, at which its servers are cold.
  struct ZoneRestoration {
    Revision ModRevision = 0;
    TimePoint ReceivedAt{};
  };
  std::map<std::string, Revision> EvacuatedZones;
  std::map<std::string, ZoneRestoration> RestoredZones;
  /// The lists of the last view; null if something has changed since.
  std::shared_ptr<const ServerList> CachedServerList;
  std::shared_ptr<const RouterList> CachedRouterList;
  std::shared_ptr<const std::map<std::string, Revision>> CachedEvacuatedZones;
  /// Copied on write once a view shares it.
  std::shared_ptr<FleetHistory> History = std::make_shared<FleetHistory>();
  bool HistoryShared = false;
  bool StoreReachable = false;
  bool StoreEverFailed = false;
  TimePoint StoreRecoveredAt{};
  TimePoint NextExpiry = TimePoint::max();
};

} // namespace parsleywing

#endif
