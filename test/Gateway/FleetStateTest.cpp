#include "Gateway/FleetState.h"

#include <criterion/criterion.h>
#include <optional>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Time) { return TimePoint(Time); }

StoredConfiguration configuration(std::int64_t Version, Revision ModRevision) {
  auto Configuration = std::make_shared<GatewayConfiguration>();
  Configuration->Version = Version;
  return {Configuration, ModRevision};
}

StoredServer server(const std::string &Id, Revision ModRevision,
                    bool Draining = false) {
  GatewayServer Server;
  Server.Id = Id;
  Server.Draining = Draining;
  return {Server, ModRevision};
}

} // namespace

// Guards against a last response that wins instead of the newest revision: if
// the response of a slow read arrives after the watch has reported a newer
// version, a removed route would work again.
Test(FleetState, ignoresAnOlderConfiguration) {
  FleetState State;
  cr_assert(State.applyConfiguration(configuration(5, 50)));
  cr_assert_not(State.applyConfiguration(configuration(4, 40)));
  cr_assert_not(State.applyConfiguration(configuration(4, 60)));
  cr_assert_eq(State.view().Configuration->Version, 5);
  cr_assert(State.applyConfiguration(configuration(9, 70)));
}

// Guards against a version that is forgotten since a relay of an earlier
// release sends a change without it, and against one that stays unknown
// although the store's list states it.
Test(FleetState, keepsTheVersionThatOlderRelaysLeaveOut) {
  FleetState State;
  StoredServer Stored = server("a", 10);
  State.applyChange(FleetChange(Stored), at(1s));
  Stored.Server.Version = "v1";
  State.applyServers({{Stored}, 10}, at(1s));
  cr_assert_eq(State.view().Servers->at("a").Version, "v1");
  State.applyChange(FleetChange(server("a", 20, true)), at(1s));
  cr_assert(State.view().Servers->at("a").Draining);
  cr_assert_eq(State.view().Servers->at("a").Version, "v1");
  StoredServer Restarted = server("a", 30);
  Restarted.Server.StartedMs = 5;
  State.applyChange(FleetChange(Restarted), at(1s));
  cr_assert_eq(State.view().Servers->at("a").Version, "",
               "another process may have another version");
}

Test(FleetState, aLateEntryDoesNotRestoreARemovedServer) {
  FleetState State;
  State.applyChange(FleetChange(server("a", 10)), at(1s));
  State.applyChange(FleetChange(RemovedServer{"a", 20}), at(1s));
  State.applyChange(FleetChange(server("a", 15)), at(1s));
  cr_assert(State.view().Servers->empty());
  State.applyChange(FleetChange(server("a", 25)), at(1s));
  cr_assert_eq(State.view().Servers->size(), 1U);
}

// Guards against a newest revision that wins instead of the newest process:
// after a server has crashed and restarted, a delayed heartbeat of the earlier
// process may be written after the first one of the new process, and requests
// would be sent to a process that has ended.
Test(FleetState, ignoresALateHeartbeatOfAnEarlierProcess) {
  FleetState State;
  const auto StartedAt = [](std::int64_t StartedMs, Revision ModRevision,
                            bool Draining = false) {
    StoredServer Stored = server("a", ModRevision, Draining);
    Stored.Server.StartedMs = StartedMs;
    return Stored;
  };
  State.applyChange(FleetChange(StartedAt(100, 10)), at(1s));
  State.applyChange(FleetChange(StartedAt(200, 11)), at(1s));
  State.applyChange(FleetChange(StartedAt(100, 12, true)), at(1s));
  cr_assert_eq(State.view().Servers->at("a").StartedMs, 200);
  cr_assert_not(State.view().Servers->at("a").Draining);
  // The server restarts twice, and a heartbeat of an earlier process is late.
  State.applyChange(FleetChange(StartedAt(300, 13)), at(1s));
  State.applyChange(FleetChange(StartedAt(200, 14)), at(1s));
  cr_assert_eq(State.view().Servers->at("a").StartedMs, 300);
  // The same after its removal, until the last process is listed again.
  State.applyChange(FleetChange(RemovedServer{"a", 20}), at(1s));
  State.applyChange(FleetChange(StartedAt(200, 21)), at(1s));
  cr_assert(State.view().Servers->empty());
  State.applyChange(FleetChange(StartedAt(300, 22)), at(1s));
  cr_assert_eq(State.view().Servers->size(), 1U);
}

Test(FleetState, aServerThatRestartsWhileDrainingIsReadyAgain) {
  FleetState State;
  StoredServer Draining = server("a", 10, true);
  Draining.Server.StartedMs = 100;
  State.applyChange(FleetChange(Draining), at(1s));
  StoredServer Restarted = server("a", 11);
  Restarted.Server.StartedMs = 200;
  State.applyChange(FleetChange(Restarted), at(1s));
  cr_assert_not(State.view().Servers->at("a").Draining);
}

// Guards against an older list that restores what had left before this router
// knew the fleet: it has never heard of that removal.
Test(FleetState, anOlderListRestoresNothingThatTheFirstListsLacked) {
  FleetState State;
  State.applyLists({{{}, 40}, {{}, 40}, {{}, 40}}, at(1s));
  State.applyServers({{server("a", 30)}, 35}, at(2s));
  State.applyEvacuations({{{"north", 30}}, 35}, at(2s));
  cr_expect(State.view().Servers->empty());
  cr_expect(State.view().EvacuatedZones->empty());
  const StoredRouter Router{"r", "127.0.0.1:1", 1, 30};
  State.applyLists({{{}, 35}, {{Router}, 35}, {{}, 35}}, at(2s));
  cr_expect(State.view().RouterEndpoints->empty());
  // A list with all that this router knows.
  State.applyServers({{server("a", 30)}, 40}, at(3s));
  cr_expect_eq(State.view().Servers->size(), 1U, "found by a comparison");
}

// Guards against an older list that restores a server or router whose removal
// was reported: the first lists, which differed in their age, did not have it.
Test(FleetState, anOlderListRestoresNothingThatWasNeverListed) {
  FleetState State;
  State.applyLists({{{}, 60}, {{}, 60}, {{}, 40}}, at(1s));
  State.applyChange(FleetChange(RemovedServer{"a", 50}), at(1s));
  State.applyChange(FleetChange(InvalidServerEntry{"b", 51, "x"}), at(1s));
  State.applyChange(FleetChange(RemovedRouter{"r", 52}), at(1s));
  State.recordSeenRevision(60);
  const StoredRouter Router{"r", "127.0.0.1:1", 1, 30};
  State.applyLists(
      {{{server("a", 30), server("b", 31)}, 45}, {{Router}, 45}, {{}, 45}},
      at(2s));
  cr_expect(State.view().Servers->empty());
  cr_expect(State.view().RouterEndpoints->empty());
}

// Guards against forgetting the latest removal instead of the oldest one, and
// against an older list that restores a server whose removal is forgotten.
Test(FleetState, anOlderListRestoresNoServerBehindManyRemovals) {
  constexpr Revision First = 100;
  constexpr Revision Last = 4400;
  StoredServers Servers{{server("a", 10), server("z", 11)}, 40};
  for (Revision At = First; At < Last; ++At)
    Servers.Servers.push_back(server("m" + std::to_string(At), 12));
  FleetState State;
  State.applyLists({Servers, {{}, 40}, {{}, 40}}, at(1s));
  State.applyChange(FleetChange(RemovedServer{"z", First - 1}), at(1s));
  for (Revision At = First; At < Last; ++At)
    State.applyChange(FleetChange(RemovedServer{"m" + std::to_string(At), At}),
                      at(1s));
  State.applyChange(FleetChange(RemovedServer{"a", Last}), at(1s));
  State.recordSeenRevision(Last);
  State.applyServers({{server("a", 10)}, Last - 1}, at(2s));
  cr_expect(State.view().Servers->empty(), "a recent removal");
  State.applyServers({{server("z", 11)}, First - 2}, at(2s));
  cr_expect(State.view().Servers->empty(), "a removal that is forgotten");
}

// Guards against ignoring an invalid entry: its server would be used with the
// earlier entry.
Test(FleetState, anInvalidEntryRemovesItsServerUntilTheNextHeartbeat) {
  FleetState State;
  State.applyChange(FleetChange(server("a", 10)), at(1s));
  State.applyChange(FleetChange(server("b", 11)), at(1s));
  State.applyChange(FleetChange(InvalidServerEntry{"a", 12, "no address"}),
                    at(1s));
  cr_assert_eq(State.view().Servers->size(), 1U);
  cr_assert(State.view().Servers->contains("b"));
  State.applyChange(FleetChange(server("a", 11)), at(1s));
  cr_assert_eq(State.view().Servers->size(), 1U);
  State.applyChange(FleetChange(server("a", 13)), at(1s));
  cr_assert_eq(State.view().Servers->size(), 2U);
  // Lists report invalid entries too. During an outage such an entry must not
  // count as lapsed.
  State.recordStoreReachable(false, at(2s));
  StoredServers List{{server("b", 11)}, 21, {InvalidServerEntry{"a", 20, "x"}}};
  State.applyServers(List, at(3s));
  cr_assert_eq(State.view().Servers->size(), 1U);
}

// Guards against removing servers whose entries lapse in an outage of the
// store: the entries return once the servers reach the store again, and
// requests would be refused for two seconds after the outage.
Test(FleetState, keepsServersWhoseEntriesLapseInAnOutage) {
  FleetState State;
  State.recordStoreReachable(true, at(0s));
  State.applyChange(FleetChange(server("a", 10)), at(0s));
  State.applyChange(FleetChange(server("b", 11)), at(0s));
  State.recordStoreReachable(false, at(10s));
  State.recordStoreReachable(true, at(15s));
  StoredServers Empty;
  Empty.ReadRevision = 30;
  State.applyServers(Empty, at(15s));
  cr_assert_eq(State.view().Servers->size(), 2U);
  State.applyChange(FleetChange(server("a", 40)), at(16s));
  cr_assert(State.expire(at(17s)));
  cr_assert_eq(State.view().Servers->size(), 1U);
  cr_assert(State.view().Servers->contains("a"));
}

Test(FleetState, removesAServerAtOnceIfThereWasNoOutage) {
  FleetState State;
  State.recordStoreReachable(true, at(0s));
  State.applyChange(FleetChange(server("a", 10)), at(0s));
  State.applyChange(FleetChange(RemovedServer{"a", 20}), at(9s));
  cr_assert(State.view().Servers->empty());
}

Test(FleetState, doesNotKeepDrainingServersAfterAnOutage) {
  FleetState State;
  State.recordStoreReachable(true, at(0s));
  State.applyChange(FleetChange(server("a", 10, true)), at(0s));
  State.recordStoreReachable(false, at(1s));
  State.recordStoreReachable(true, at(2s));
  State.applyChange(FleetChange(RemovedServer{"a", 20}), at(2s));
  cr_assert(State.view().Servers->empty());
}

Test(FleetState, aProofIsNeverReplacedByAnOlderOne) {
  FleetState State;
  State.recordProof(at(5s));
  State.recordProof(at(3s));
  cr_assert(State.view().ProvenAt == at(5s));
}

// Guards against views with their own copies of unchanged lists: all components
// would process the lists with each proof, as if these had changed, and idle
// routers would use CPU time.
Test(FleetState, unchangedListsAreTheSameObjects) {
  FleetState State;
  State.applyChange(FleetChange(server("a", 10)), at(0s));
  State.applyChange(FleetChange(StoredRouter{"r1", "127.0.0.1:1", 1, 11}),
                    at(0s));
  const FleetView Before = State.view();
  State.recordProof(at(5s));
  StoredServers Same;
  Same.Servers = {server("a", 10)};
  Same.ReadRevision = 30;
  State.applyServers(Same, at(5s));
  cr_expect_eq(State.view().Servers, Before.Servers);
  cr_expect_eq(State.view().RouterEndpoints, Before.RouterEndpoints);
  State.applyChange(FleetChange(server("a", 31, true)), at(6s));
  cr_assert_neq(State.view().Servers, Before.Servers);
  cr_expect(State.view().Servers->at("a").Draining);
  State.applyChange(FleetChange(RemovedRouter{"r1", 32}), at(6s));
  cr_expect(State.view().RouterEndpoints->empty());
}

namespace {

StoredServer
serverInNorthZone(const std::string &Id, Revision ModRevision,
                  std::optional<Duration> WarmUpLeft = Duration(0)) {
  StoredServer Stored = server(Id, ModRevision);
  Stored.Server.Service = "engines";
  Stored.Server.Zone = "north";
  Stored.Server.WarmUpLeft = WarmUpLeft;
  return Stored;
}

StoredConfiguration configurationWithWarmUp() {
  auto Configuration = std::make_shared<GatewayConfiguration>();
  Configuration->Version = 1;
  Configuration->Services["engines"].WarmUp = {3s, 9.1};
  return {Configuration, 5};
}

} // namespace

Test(FleetState, anEvacuatedZoneGetsNoRequestsUntilItIsRestored) {
  FleetState State;
  State.applyChange(FleetChange(serverInNorthZone("a", 10)), at(1s));
  State.applyChange(FleetChange(EvacuatedZone{"north", 11}), at(1s));
  State.applyChange(FleetChange(EvacuatedZone{"nowhere", 12}), at(1s));
  cr_assert_not(State.view().Servers->at("a").acceptsRequests());
  cr_assert_eq(State.view().EvacuatedZones->size(), 2U);
  // The same for a server that starts in the zone during the evacuation.
  State.applyChange(FleetChange(serverInNorthZone("b", 13)), at(1s));
  cr_assert_not(State.view().Servers->at("b").acceptsRequests());
  State.applyChange(FleetChange(RestoredZone{"north", 14}), at(2s));
  cr_assert(State.view().Servers->at("a").acceptsRequests());
}

// Guards against a last message that wins instead of the newest revision: if a
// zone is restored and evacuated in quick succession, the changes may arrive
// out of order or with an older list, and the evacuated zone would get
// requests.
Test(FleetState, theNewestChangeOfAZoneWinsInAnyOrder) {
  FleetState State;
  State.applyChange(FleetChange(serverInNorthZone("a", 10)), at(1s));
  State.applyChange(FleetChange(EvacuatedZone{"north", 20}), at(1s));
  State.applyChange(FleetChange(EvacuatedZone{"north", 22}), at(1s));
  State.applyChange(FleetChange(RestoredZone{"north", 21}), at(1s));
  cr_assert_not(State.view().Servers->at("a").acceptsRequests());
  // An older list without the zone.
  State.applyEvacuations(StoredEvacuations{{}, 19}, at(2s));
  cr_assert_not(State.view().Servers->at("a").acceptsRequests());
  State.applyEvacuations(StoredEvacuations{{}, 30}, at(3s));
  cr_assert(State.view().Servers->at("a").acceptsRequests());
  // An older list with the zone.
  State.applyEvacuations(StoredEvacuations{{{"north", 22}}, 25}, at(4s));
  cr_assert(State.view().Servers->at("a").acceptsRequests());
}

// Guards against using the older entries of the servers of a restored zone: the
// restoration arrives before the entries that report the servers' cold state,
// and the servers would crash together.
Test(FleetState, serversOfARestoredZoneWarmUp) {
  FleetState State;
  State.applyConfiguration(configurationWithWarmUp());
  State.applyChange(FleetChange(serverInNorthZone("a", 10)), at(1s));
  State.applyChange(FleetChange(EvacuatedZone{"north", 11}), at(1s));
  State.applyChange(FleetChange(RestoredZone{"north", 20}), at(9s));
  cr_assert_eq(State.view().Servers->at("a").WarmUpEndsAt, at(12s));
  // An entry written after the restoration is used.
  State.applyChange(FleetChange(serverInNorthZone("a", 21, 1s)), at(9500ms));
  cr_assert_eq(State.view().Servers->at("a").WarmUpEndsAt, at(10500ms));
}

Test(FleetState, aServerThatStatesNoWarmUpCountsAsCold) {
  FleetState State;
  State.applyChange(FleetChange(serverInNorthZone("a", 10, std::nullopt)),
                    at(1s));
  State.applyChange(FleetChange(serverInNorthZone("b", 11)), at(1s));
  // The length of the warm-up is stated in the configuration.
  State.applyConfiguration(configurationWithWarmUp());
  cr_assert_eq(State.view().Servers->at("a").WarmUpEndsAt, at(4s));
  cr_assert_eq(State.view().Servers->at("b").WarmUpEndsAt, TimePoint{});
}

Test(FleetState, listsAreProvenOnceTheyReachTheStoresRevision) {
  FleetState State;
  State.recordSeenRevision(10);
  State.recordListsProof(12, at(5s));
  cr_assert_eq(State.listsProvenAt(), TimePoint{});
  // A later proof does not replace the pending one.
  State.recordListsProof(15, at(6s));
  State.recordSeenRevision(13);
  cr_assert_eq(State.listsProvenAt(), at(5s));
  State.recordListsProof(13, at(7s));
  cr_assert_eq(State.listsProvenAt(), at(7s));
}
