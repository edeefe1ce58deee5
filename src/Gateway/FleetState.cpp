#include "Gateway/FleetState.h"

#include "Runtime/Log.h"
#include "Runtime/Overloaded.h"

#include <algorithm>
#include <set>
#include <utility>

namespace parsleywing {

namespace {

/// How long after the store's recovery a server is still used whose entry may
/// have lapsed while the store was unreachable. If the server is alive, its
/// entry is back within two seconds of the recovery. A little less than the
/// bound after which a server that leaves must get no requests.
constexpr Duration LapseGrace = std::chrono::milliseconds(1700);

/// Number of changes kept for followers: at least the minimum, and three per
/// server and router. When a zone is lost, each of its servers is removed, is
/// listed again under another identity, and reports its warm-up. With only 512
/// changes for 3,000 servers, every router would have to reload all lists at
/// the same time, 1 MB each.
constexpr std::size_t MinHistory = 512;
constexpr std::size_t ChangesPerEntry = 3;

/// Logs that an entry vanished, and how long its server is still used.
void logRemoval(const RemovedServer &Removed, Duration Kept) {
  log(LogPart::Platform, LogLevel::Info,
      "server=" + Removed.Id + " unlisted revision=" +
          std::to_string(Removed.ModRevision) + " kept=" + secondsText(Kept));
}

} // namespace

bool FleetState::applyConfiguration(const StoredConfiguration &Stored) {
  if (Stored.Configuration == nullptr ||
      Stored.ModRevision <= this->ConfigurationRevision)
    return false;
  if (this->Configuration != nullptr &&
      Stored.Configuration->Version < this->Configuration->Version)
    return false;
  this->Configuration = Stored.Configuration;
  this->ConfigurationRevision = Stored.ModRevision;
  // The configuration states how long servers warm up.
  this->CachedServerList = nullptr;
  return true;
}

void FleetState::recordProof(TimePoint RequestedAt) {
  this->ProvenAt = std::max(this->ProvenAt, RequestedAt);
}

FleetHistory &FleetState::ownHistory() {
  if (std::exchange(this->HistoryShared, false))
    this->History = std::make_shared<FleetHistory>(*this->History);
  return *this->History;
}

bool FleetState::isFromEarlierProcess(const StoredServer &Stored) const {
  const std::string &Id = Stored.Server.Id;
  const auto Known = this->Servers.find(Id);
  if (Known != this->Servers.end())
    return Stored.Server.StartedMs < Known->second.Server.StartedMs;
  return Stored.Server.StartedMs < this->RemovedServers.startOf(Id);
}

void FleetState::applyServer(const StoredServer &Stored, TimePoint Now) {
  if (this->RemovedServers.wasRemovedSince(Stored.Server.Id,
                                           Stored.ModRevision) ||
      this->isFromEarlierProcess(Stored))
    return;
  Entry &Current = this->Servers[Stored.Server.Id];
  if (Current.ModRevision > Stored.ModRevision)
    return;
  // Lists are compared periodically, mostly without a difference.
  const bool StatesVersion =
      Current.Server.Version.empty() && !Stored.Server.Version.empty();
  if (Current.ModRevision == Stored.ModRevision && !Current.Lapsed &&
      !StatesVersion)
    return;
  // A relay of an earlier release sends changes without the version.
  const bool SameProcess = Current.Server.Id == Stored.Server.Id &&
                           Current.Server.StartedMs == Stored.Server.StartedMs;
  std::string KnownVersion = SameProcess ? Current.Server.Version : "";
  Current = {Stored.Server, Stored.ModRevision, Now, false, {}};
  if (Current.Server.Version.empty())
    Current.Server.Version = std::move(KnownVersion);
  this->CachedServerList = nullptr;
}

void FleetState::removeServer(const RemovedServer &Removed, TimePoint Now) {
  const auto Found = this->Servers.find(Removed.Id);
  const bool IsKnown = Found != this->Servers.end();
  if (IsKnown && Found->second.ModRevision > Removed.ModRevision)
    return;
  this->RemovedServers.record(Removed.Id, Removed.ModRevision,
                              IsKnown ? Found->second.Server.StartedMs : 0);
  if (!IsKnown)
    return;
  // Counted from the recovery, not from this removal, which may be heard late.
  const TimePoint KeptUntil =
      (this->StoreReachable ? this->StoreRecoveredAt : Now) + LapseGrace;
  const bool MayHaveLapsed = this->StoreEverFailed && Now < KeptUntil;
  if (!MayHaveLapsed || Found->second.Server.Draining) {
    logRemoval(Removed, Duration::zero());
    this->Servers.erase(Found);
    this->CachedServerList = nullptr;
    return;
  }
  if (Found->second.Lapsed)
    return;
  Found->second.Lapsed = true;
  Found->second.RemoveAt = KeptUntil;
  this->NextExpiry = std::min(this->NextExpiry, KeptUntil);
  logRemoval(Removed, Found->second.RemoveAt - Now);
}

/// Removes a server whose address and state are unknown since its entry is
/// invalid. The server writes its entry about once a second, so it is listed
/// again with its next heartbeat.
void FleetState::dropInvalidServer(const InvalidServerEntry &Invalid) {
  const auto Found = this->Servers.find(Invalid.Id);
  const bool IsKnown = Found != this->Servers.end();
  if (IsKnown && Found->second.ModRevision >= Invalid.ModRevision)
    return;
  this->RemovedServers.record(Invalid.Id, Invalid.ModRevision,
                              IsKnown ? Found->second.Server.StartedMs : 0);
  if (!IsKnown)
    return;
  this->Servers.erase(Found);
  this->CachedServerList = nullptr;
}

void FleetState::applyLists(const FleetLists &Lists, TimePoint Now) {
  this->applyServers(Lists.Servers, Now);
  this->applyRouters(Lists.Routers);
  this->applyEvacuations(Lists.Zones, Now);
  const Revision Covered = Lists.coveredRevision();
  if (Covered <= this->SeenRevision)
    return;
  const Revision Before = this->SeenRevision;
  const bool RemovalsAreKnown = this->RemovedServers.knownAfter() <= Before &&
                                this->RemovedRouters.knownAfter() <= Before;
  if (Before > 0 && RemovalsAreKnown)
    this->continueHistory(Covered, this->differencesFrom(Before));
  else
    this->ownHistory().restart(Covered);
  this->RemovalsReportedAfter = Covered;
  this->recordSeenRevision(Covered);
}

std::vector<FleetChange> FleetState::differencesFrom(Revision Before) const {
  std::vector<FleetChange> Differences;
  for (const auto &[Id, Known] : this->Servers)
    if (Known.ModRevision > Before && !Known.Lapsed)
      Differences.emplace_back(StoredServer{Known.Server, Known.ModRevision});
  for (const auto &[Name, Router] : this->Routers)
    if (Router.ModRevision > Before)
      Differences.emplace_back(Router);
  for (const auto &[Zone, ModRevision] : this->EvacuatedZones)
    if (ModRevision > Before)
      Differences.emplace_back(EvacuatedZone{Zone, ModRevision});
  for (const auto &[Zone, Restoration] : this->RestoredZones)
    if (Restoration.ModRevision > Before)
      Differences.emplace_back(RestoredZone{Zone, Restoration.ModRevision});
  for (const auto &[Id, At] : this->RemovedServers.removedAfter(Before))
    Differences.emplace_back(RemovedServer{Id, At});
  for (const auto &[Name, At] : this->RemovedRouters.removedAfter(Before))
    Differences.emplace_back(RemovedRouter{Name, At});
  return Differences;
}

void FleetState::continueHistory(Revision To,
                                 std::vector<FleetChange> Differences) {
  FleetHistory::Gap Gap{this->SeenRevision, To, {}};
  for (FleetChange &Each : Differences)
    Gap.Differences.push_back(
        std::make_shared<const FleetChange>(std::move(Each)));
  this->ownHistory().addGap(std::move(Gap));
}

void FleetState::applyDifferences(Revision To,
                                  const std::vector<FleetChange> &Differences,
                                  TimePoint Now) {
  for (const FleetChange &Each : Differences)
    this->apply(Each, Now);
  this->continueHistory(To, Differences);
  this->RemovalsReportedAfter = To;
  this->recordSeenRevision(To);
}

void FleetState::forgetHistory() {
  this->ownHistory().restart(this->SeenRevision);
}

void FleetState::applyEarlierChanges(Revision After,
                                     const FleetChanges &Earlier,
                                     TimePoint Now) {
  const Revision Listed = this->SeenRevision;
  if (After > Listed || Earlier.LastRevision < Listed)
    return;
  std::vector<FleetChange> InLists;
  for (const FleetChange &Each : Earlier.Changes)
    if (revisionOf(Each) <= Listed)
      InLists.push_back(Each);
  this->ownHistory().restart(After, std::move(InLists));
  for (const FleetChange &Each : Earlier.Changes)
    this->applyChange(Each, Now);
  this->recordSeenRevision(Earlier.LastRevision);
}

bool FleetState::isStillListed(Revision ModRevision, Revision ReadRevision,
                               Revision RemovalsKnownAfter) const {
  return ModRevision > this->SeenRevision ||
         ReadRevision >=
             std::max(this->RemovalsReportedAfter, RemovalsKnownAfter);
}

void FleetState::applyServers(const StoredServers &List, TimePoint Now) {
  for (const InvalidServerEntry &Each : List.Invalid)
    this->dropInvalidServer(Each);
  std::map<std::string, Revision> Listed;
  for (const StoredServer &Each : List.Servers) {
    const std::string &Id = Each.Server.Id;
    Listed[Id] = Each.ModRevision;
    if (this->Servers.contains(Id) ||
        this->isStillListed(Each.ModRevision, List.ReadRevision,
                            this->RemovedServers.knownAfter()))
      this->applyServer(Each, Now);
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Known] : this->Servers)
    if (!Listed.contains(Id) && Known.ModRevision <= List.ReadRevision)
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    this->removeServer({Id, List.ReadRevision}, Now);
}

void FleetState::applyRouter(const StoredRouter &Stored) {
  if (this->RemovedRouters.wasRemovedSince(Stored.Name, Stored.ModRevision))
    return;
  const auto [Current, IsNew] = this->Routers.try_emplace(Stored.Name, Stored);
  if (!IsNew && Current->second.ModRevision >= Stored.ModRevision)
    return;
  Current->second = Stored;
  this->CachedRouterList = nullptr;
}

void FleetState::removeRouter(const RemovedRouter &Removed) {
  const auto Found = this->Routers.find(Removed.Name);
  const bool IsKnown = Found != this->Routers.end();
  if (IsKnown && Found->second.ModRevision > Removed.ModRevision)
    return;
  this->RemovedRouters.record(Removed.Name, Removed.ModRevision);
  if (!IsKnown)
    return;
  this->Routers.erase(Found);
  this->CachedRouterList = nullptr;
}

void FleetState::applyRouters(const StoredRouters &List) {
  std::set<std::string> Listed;
  for (const StoredRouter &Each : List.Routers) {
    Listed.insert(Each.Name);
    if (this->Routers.contains(Each.Name) ||
        this->isStillListed(Each.ModRevision, List.ReadRevision,
                            this->RemovedRouters.knownAfter()))
      this->applyRouter(Each);
  }
  std::vector<std::string> Missing;
  for (const auto &[Name, Known] : this->Routers)
    if (!Listed.contains(Name) && Known.ModRevision <= List.ReadRevision)
      Missing.push_back(Name);
  for (const std::string &Name : Missing)
    this->removeRouter({Name, List.ReadRevision});
}

void FleetState::applyEvacuation(const EvacuatedZone &Evacuated) {
  const auto Restoration = this->RestoredZones.find(Evacuated.Zone);
  if (Restoration != this->RestoredZones.end() &&
      Restoration->second.ModRevision >= Evacuated.ModRevision)
    return;
  Revision &Current = this->EvacuatedZones[Evacuated.Zone];
  if (Current >= Evacuated.ModRevision)
    return;
  Current = Evacuated.ModRevision;
  this->CachedServerList = nullptr;
  this->CachedEvacuatedZones = nullptr;
  log(LogPart::Platform, LogLevel::Info,
      "zone=" + Evacuated.Zone +
          " evacuated revision=" + std::to_string(Evacuated.ModRevision));
}

void FleetState::applyRestoration(const RestoredZone &Restored, TimePoint Now) {
  ZoneRestoration &Last = this->RestoredZones[Restored.Zone];
  if (Last.ModRevision >= Restored.ModRevision)
    return;
  Last = {Restored.ModRevision, Now};
  const auto Evacuation = this->EvacuatedZones.find(Restored.Zone);
  if (Evacuation == this->EvacuatedZones.end() ||
      Evacuation->second > Restored.ModRevision)
    return;
  this->EvacuatedZones.erase(Evacuation);
  this->CachedServerList = nullptr;
  this->CachedEvacuatedZones = nullptr;
  log(LogPart::Platform, LogLevel::Info,
      "zone=" + Restored.Zone +
          " returned revision=" + std::to_string(Restored.ModRevision));
}

void FleetState::applyEvacuations(const StoredEvacuations &List,
                                  TimePoint Now) {
  std::set<std::string> Listed;
  for (const EvacuatedZone &Each : List.Zones) {
    Listed.insert(Each.Zone);
    if (this->EvacuatedZones.contains(Each.Zone) ||
        this->isStillListed(Each.ModRevision, List.ReadRevision, 0))
      this->applyEvacuation(Each);
  }
  std::vector<std::string> Missing;
  for (const auto &[Zone, ModRevision] : this->EvacuatedZones)
    if (!Listed.contains(Zone) && ModRevision <= List.ReadRevision)
      Missing.push_back(Zone);
  for (const std::string &Zone : Missing)
    this->applyRestoration({Zone, List.ReadRevision}, Now);
}

TimePoint FleetState::warmUpEndsAt(const Entry &Known) const {
  Duration Period{};
  if (this->Configuration != nullptr)
    if (const auto Service =
            this->Configuration->Services.find(Known.Server.Service);
        Service != this->Configuration->Services.end())
      Period = Service->second.WarmUp.Period;
  const Duration Left = Known.Server.WarmUpLeft.value_or(Period);
  TimePoint EndsAt{};
  if (Left > Duration::zero())
    EndsAt = Known.ReceivedAt + Left;
  // Servers of an evacuated zone have cooled down. Their next entries say so
  // but may arrive later than the first requests.
  const auto Zone = this->RestoredZones.find(Known.Server.Zone);
  if (Zone != this->RestoredZones.end() &&
      Known.ModRevision <= Zone->second.ModRevision)
    EndsAt = std::max(EndsAt, Zone->second.ReceivedAt + Period);
  return EndsAt;
}

void FleetState::applyChange(const FleetChange &Change, TimePoint Now) {
  const bool IsConfiguration =
      std::holds_alternative<StoredConfiguration>(Change);
  if (this->SeenRevision > 0 && !IsConfiguration) {
    // Two threads may have read the same changes.
    if (revisionOf(Change) <= this->SeenRevision)
      return;
    const std::size_t Entries = this->Servers.size() + this->Routers.size();
    this->ownHistory().append(Change,
                              std::max(MinHistory, ChangesPerEntry * Entries));
  }
  this->apply(Change, Now);
}

void FleetState::apply(const FleetChange &Change, TimePoint Now) {
  std::visit(
      Overloaded{
          [this](const StoredConfiguration &Stored) {
            this->applyConfiguration(Stored);
          },
          [this, Now](const StoredServer &Stored) {
            this->applyServer(Stored, Now);
          },
          [this, Now](const RemovedServer &Removed) {
            this->removeServer(Removed, Now);
          },
          [this](const InvalidServerEntry &Invalid) {
            this->dropInvalidServer(Invalid);
          },
          [this](const StoredRouter &Stored) { this->applyRouter(Stored); },
          [this](const RemovedRouter &Removed) { this->removeRouter(Removed); },
          [this](const EvacuatedZone &Evacuated) {
            this->applyEvacuation(Evacuated);
          },
          [this, Now](const RestoredZone &Restored) {
            this->applyRestoration(Restored, Now);
          },
      },
      Change);
}

void FleetState::recordSeenRevision(Revision Seen) {
  this->SeenRevision = std::max(this->SeenRevision, Seen);
  if (this->PendingProofRevision > 0 &&
      this->SeenRevision >= this->PendingProofRevision) {
    this->ListsProvenAt = std::max(this->ListsProvenAt, this->PendingProofAt);
    this->PendingProofRevision = 0;
  }
}

void FleetState::recordListsProof(Revision Complete, TimePoint At) {
  if (At <= this->ListsProvenAt)
    return;
  if (this->SeenRevision > 0 && this->SeenRevision >= Complete) {
    this->ListsProvenAt = At;
    return;
  }
  // Keep the oldest pending proof: the newest one would be replaced repeatedly
  // before its changes arrive.
  if (this->PendingProofRevision > 0)
    return;
  this->PendingProofRevision = Complete;
  this->PendingProofAt = At;
}

void FleetState::recordStoreReachable(bool Reachable, TimePoint Now) {
  if (!Reachable)
    this->StoreEverFailed = true;
  if (Reachable && !this->StoreReachable)
    this->StoreRecoveredAt = Now;
  this->StoreReachable = Reachable;
}

bool FleetState::expire(TimePoint Now) {
  if (Now < this->NextExpiry)
    return false;
  this->NextExpiry = TimePoint::max();
  const auto Dropped = std::erase_if(this->Servers, [&](const auto &Each) {
    if (!Each.second.Lapsed)
      return false;
    if (Each.second.RemoveAt <= Now)
      return true;
    this->NextExpiry = std::min(this->NextExpiry, Each.second.RemoveAt);
    return false;
  });
  if (Dropped > 0)
    this->CachedServerList = nullptr;
  return Dropped > 0;
}

FleetView FleetState::view() {
  if (this->CachedServerList == nullptr) {
    auto Listed = std::make_shared<ServerList>();
    for (const auto &[Id, Known] : this->Servers) {
      GatewayServer &Server = Listed->emplace(Id, Known.Server).first->second;
      Server.WarmUpEndsAt = this->warmUpEndsAt(Known);
      Server.Evacuated = this->EvacuatedZones.contains(Server.Zone);
    }
    this->CachedServerList = std::move(Listed);
  }
  if (this->CachedRouterList == nullptr) {
    auto Listed = std::make_shared<RouterList>();
    for (const auto &[Name, Router] : this->Routers)
      Listed->emplace(Name, RouterEndpoint{Router.Address, Router.Cores,
                                           Router.ModRevision, Router.Zone,
                                           Router.Format});
    this->CachedRouterList = std::move(Listed);
  }
  if (this->CachedEvacuatedZones == nullptr)
    this->CachedEvacuatedZones =
        std::make_shared<std::map<std::string, Revision>>(this->EvacuatedZones);
  FleetView View;
  View.Configuration = this->Configuration;
  View.Servers = this->CachedServerList;
  View.RouterEndpoints = this->CachedRouterList;
  View.RouterCount = static_cast<std::uint32_t>(
      std::max<std::size_t>(this->Routers.size(), 1));
  View.ProvenAt = this->ProvenAt;
  View.ConfigurationRevision = this->ConfigurationRevision;
  View.SeenRevision = this->SeenRevision;
  View.ListsProvenAt = this->ListsProvenAt;
  View.EvacuatedZones = this->CachedEvacuatedZones;
  View.History = this->History;
  this->HistoryShared = true;
  return View;
}

} // namespace parsleywing
