#include "Gateway/FleetState.h"

#include <criterion/criterion.h>
#include <optional>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration Time) { return TimePoint(Time); }

StoredConfiguration configuration(std::int64_t Version, Revision At) {
  auto Made = std::make_shared<GatewayConfiguration>();
  Made->Version = Version;
  return {Made, At};
}

StoredServer server(const std::string &Id, Revision At, bool Draining = false) {
  GatewayServer Made;
  Made.Id = Id;
  Made.Draining = Draining;
  return {Made, At};
}

} // namespace

// Symptom: a route that was removed works again for a moment. Sequence: a
// slow read's answer comes after the watch told of a newer version. Cause: the
// last answer won, not the newest revision.
Test(FleetBook, theConfigurationNeverGoesBack) {
  FleetState Book;
  cr_assert(Book.applyConfiguration(configuration(5, 50)));
  cr_assert_not(Book.applyConfiguration(configuration(4, 40)));
  cr_assert_not(Book.applyConfiguration(configuration(4, 60)));
  cr_assert_eq(Book.view().Configuration->Version, 5);
  cr_assert(Book.applyConfiguration(configuration(9, 70)));
}

Test(FleetBook, aLateEntryDoesNotBringARemovedServerBack) {
  FleetState Book;
  Book.applyChange(FleetChange(server("a", 10)), at(1s));
  Book.applyChange(FleetChange(RemovedServer{"a", 20}), at(1s));
  Book.applyChange(FleetChange(server("a", 15)), at(1s));
  cr_assert(Book.view().Servers->empty());
  Book.applyChange(FleetChange(server("a", 25)), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
}

// Symptom: requests go to a process that is gone. Sequence: a server crashes
// and starts again under its identity; a heartbeat of its earlier process, held
// up on its way, is written behind the first of the new one. Cause: the newest
// revision won, not the newest process.
Test(FleetBook, aLateHeartbeatOfAnEarlierProcessChangesNothing) {
  FleetState Book;
  const auto Started = [](std::int64_t StartedMs, Revision At,
                          bool Draining = false) {
    StoredServer Made = server("a", At, Draining);
    Made.Server.StartedMs = StartedMs;
    return Made;
  };
  Book.applyChange(FleetChange(Started(100, 10)), at(1s));
  Book.applyChange(FleetChange(Started(200, 11)), at(1s));
  Book.applyChange(FleetChange(Started(100, 12, true)), at(1s));
  cr_assert_eq(Book.view().Servers->at("a").StartedMs, 200);
  cr_assert_not(Book.view().Servers->at("a").Draining);
  // Restarted twice within the lag, the words of the first two come last.
  Book.applyChange(FleetChange(Started(300, 13)), at(1s));
  Book.applyChange(FleetChange(Started(200, 14)), at(1s));
  cr_assert_eq(Book.view().Servers->at("a").StartedMs, 300);
  // Also behind its removal, until a process of its own comes.
  Book.applyChange(FleetChange(RemovedServer{"a", 20}), at(1s));
  Book.applyChange(FleetChange(Started(200, 21)), at(1s));
  cr_assert(Book.view().Servers->empty());
  Book.applyChange(FleetChange(Started(300, 22)), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
}

Test(FleetBook, aServerThatRestartsWhileItLeavesIsReadyAgain) {
  FleetState Book;
  StoredServer Leaving = server("a", 10, true);
  Leaving.Server.StartedMs = 100;
  Book.applyChange(FleetChange(Leaving), at(1s));
  StoredServer Fresh = server("a", 11);
  Fresh.Server.StartedMs = 200;
  Book.applyChange(FleetChange(Fresh), at(1s));
  cr_assert_not(Book.view().Servers->at("a").Draining);
}

// Symptom: a server is used by what was known of it before somebody else wrote
// over its entry. Cause: the unreadable entry was passed over.
Test(FleetBook, anUnusableEntryNamesNoServerUntilItsServerWritesAgain) {
  FleetState Book;
  Book.applyChange(FleetChange(server("a", 10)), at(1s));
  Book.applyChange(FleetChange(server("b", 11)), at(1s));
  Book.applyChange(FleetChange(UnusableServer{"a", 12, "no address"}), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
  cr_assert(Book.view().Servers->contains("b"));
  Book.applyChange(FleetChange(server("a", 11)), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
  Book.applyChange(FleetChange(server("a", 13)), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 2U);
  // In a list, also while the store is in trouble: this is no lapsed entry.
  Book.recordStoreReachable(false, at(2s));
  StoredServers Whole{{server("b", 11)}, 21, {UnusableServer{"a", 20, "x"}}};
  Book.applyServers(Whole, at(3s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
}

// Symptom: after an outage of the store every request is refused for two
// seconds. Sequence: entries lapse while the store is away, and come back once
// the servers have reached it again. Cause: a lapsed entry was taken for a
// server that has gone.
Test(FleetBook, entriesThatLapseWithTheStoreAwayAreKeptForAWhile) {
  FleetState Book;
  Book.recordStoreReachable(true, at(0s));
  Book.applyChange(FleetChange(server("a", 10)), at(0s));
  Book.applyChange(FleetChange(server("b", 11)), at(0s));
  Book.recordStoreReachable(false, at(10s));
  Book.recordStoreReachable(true, at(15s));
  StoredServers Nothing;
  Nothing.ReadRevision = 30;
  Book.applyServers(Nothing, at(15s));
  cr_assert_eq(Book.view().Servers->size(), 2U);
  Book.applyChange(FleetChange(server("a", 40)), at(16s));
  cr_assert(Book.expire(at(17s)));
  cr_assert_eq(Book.view().Servers->size(), 1U);
  cr_assert(Book.view().Servers->contains("a"));
}

Test(FleetBook, aServerThatLeavesInCalmTimesIsGoneAtOnce) {
  FleetState Book;
  Book.recordStoreReachable(true, at(0s));
  Book.applyChange(FleetChange(server("a", 10)), at(0s));
  Book.applyChange(FleetChange(RemovedServer{"a", 20}), at(9s));
  cr_assert(Book.view().Servers->empty());
}

Test(FleetBook, whatWasDrainingIsNotKept) {
  FleetState Book;
  Book.recordStoreReachable(true, at(0s));
  Book.applyChange(FleetChange(server("a", 10, true)), at(0s));
  Book.recordStoreReachable(false, at(1s));
  Book.recordStoreReachable(true, at(2s));
  Book.applyChange(FleetChange(RemovedServer{"a", 20}), at(2s));
  cr_assert(Book.view().Servers->empty());
}

Test(FleetBook, aProofIsNeverReplacedByAnOlderOne) {
  FleetState Book;
  Book.recordProof(at(5s));
  Book.recordProof(at(3s));
  cr_assert(Book.view().ProvenAt == at(5s));
}

// Symptom: routers take processor time with nobody calling.
// Sequence: a proof comes twice a second, each with a new view. Cause: every
// view had lists of its own, which all parts worked through as if changed.
Test(FleetBook, whatHasNotChangedIsTheSameObject) {
  FleetState Book;
  Book.applyChange(FleetChange(server("a", 10)), at(0s));
  Book.applyChange(FleetChange(StoredRouter{"r1", "127.0.0.1:1", 1, 11}),
                   at(0s));
  const FleetView Before = Book.view();
  Book.recordProof(at(5s));
  StoredServers Same;
  Same.Servers = {server("a", 10)};
  Same.ReadRevision = 30;
  Book.applyServers(Same, at(5s));
  cr_expect_eq(Book.view().Servers, Before.Servers);
  cr_expect_eq(Book.view().RouterEndpoints, Before.RouterEndpoints);
  Book.applyChange(FleetChange(server("a", 31, true)), at(6s));
  cr_assert_neq(Book.view().Servers, Before.Servers);
  cr_expect(Book.view().Servers->at("a").Draining);
  Book.applyChange(FleetChange(RemovedRouter{"r1", 32}), at(6s));
  cr_expect(Book.view().RouterEndpoints->empty());
}

namespace {

StoredServer inZone(const std::string &Id, Revision At,
                    std::optional<Duration> WarmUpLeft = Duration(0)) {
  StoredServer Made = server(Id, At);
  Made.Server.Service = "engines";
  Made.Server.Zone = "north";
  Made.Server.WarmUpLeft = WarmUpLeft;
  return Made;
}

StoredConfiguration warmingUp() {
  auto Made = std::make_shared<GatewayConfiguration>();
  Made->Version = 1;
  Made->Services["engines"].WarmUp = {3s, 9.1};
  return {Made, 5};
}

} // namespace

Test(FleetBook, anEvacuatedZoneTakesNothingUntilItIsTakenBack) {
  FleetState Book;
  Book.applyChange(FleetChange(inZone("a", 10)), at(1s));
  Book.applyChange(FleetChange(EvacuatedZone{"north", 11}), at(1s));
  Book.applyChange(FleetChange(EvacuatedZone{"nowhere", 12}), at(1s));
  cr_assert_not(Book.view().Servers->at("a").acceptsRequests());
  cr_assert_eq(Book.view().EvacuatedZones->size(), 2U);
  // Also for a server that starts there meanwhile.
  Book.applyChange(FleetChange(inZone("b", 13)), at(1s));
  cr_assert_not(Book.view().Servers->at("b").acceptsRequests());
  Book.applyChange(FleetChange(RestoredZone{"north", 14}), at(2s));
  cr_assert(Book.view().Servers->at("a").acceptsRequests());
}

// Symptom: a zone that was called evacuated again gets requests. Sequence: it
// is taken back and evacuated again within a moment; the news come in the wrong
// order, or a list is older than they are. Cause: the last word won.
Test(FleetBook, theNewestWordOnAZoneWinsInWhateverOrderItComes) {
  FleetState Book;
  Book.applyChange(FleetChange(inZone("a", 10)), at(1s));
  Book.applyChange(FleetChange(EvacuatedZone{"north", 20}), at(1s));
  Book.applyChange(FleetChange(EvacuatedZone{"north", 22}), at(1s));
  Book.applyChange(FleetChange(RestoredZone{"north", 21}), at(1s));
  cr_assert_not(Book.view().Servers->at("a").acceptsRequests());
  // A list of before, without the zone.
  Book.applyEvacuations(StoredEvacuations{{}, 19}, at(2s));
  cr_assert_not(Book.view().Servers->at("a").acceptsRequests());
  Book.applyEvacuations(StoredEvacuations{{}, 30}, at(3s));
  cr_assert(Book.view().Servers->at("a").acceptsRequests());
  // And one of before, with it.
  Book.applyEvacuations(StoredEvacuations{{{"north", 22}}, 25}, at(4s));
  cr_assert(Book.view().Servers->at("a").acceptsRequests());
}

// Symptom: the servers of a zone crash together when it is taken back.
// Sequence: the return is told before the entries that tell of their cold
// state. Cause: the entries of before the return were believed.
Test(FleetBook, serversOfAZoneThatIsTakenBackAreCold) {
  FleetState Book;
  Book.applyConfiguration(warmingUp());
  Book.applyChange(FleetChange(inZone("a", 10)), at(1s));
  Book.applyChange(FleetChange(EvacuatedZone{"north", 11}), at(1s));
  Book.applyChange(FleetChange(RestoredZone{"north", 20}), at(9s));
  cr_assert_eq(Book.view().Servers->at("a").WarmUpEndsAt, at(12s));
  // What is written behind the return counts.
  Book.applyChange(FleetChange(inZone("a", 21, 1s)), at(9500ms));
  cr_assert_eq(Book.view().Servers->at("a").WarmUpEndsAt, at(10500ms));
}

Test(FleetBook, anEntryWithoutAWordOnItsWarmUpIsTakenForACold) {
  FleetState Book;
  Book.applyChange(FleetChange(inZone("a", 10, std::nullopt)), at(1s));
  Book.applyChange(FleetChange(inZone("b", 11)), at(1s));
  // Known only with the configuration.
  Book.applyConfiguration(warmingUp());
  cr_assert_eq(Book.view().Servers->at("a").WarmUpEndsAt, at(4s));
  cr_assert_eq(Book.view().Servers->at("b").WarmUpEndsAt, TimePoint{});
}

Test(FleetBook, listsAreProvenOnceTheyHaveAllThatTheStoreHad) {
  FleetState Book;
  Book.recordSeenRevision(10);
  Book.recordListsProof(12, at(5s));
  cr_assert_eq(Book.listsProvenAt(), TimePoint{});
  // A later proof does not push the open one away.
  Book.recordListsProof(15, at(6s));
  Book.recordSeenRevision(13);
  cr_assert_eq(Book.listsProvenAt(), at(5s));
  Book.recordListsProof(13, at(7s));
  cr_assert_eq(Book.listsProvenAt(), at(7s));
}
