#include "Gateway/FleetBook.h"

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
  FleetBook Book;
  cr_assert(Book.take(configuration(5, 50)));
  cr_assert_not(Book.take(configuration(4, 40)));
  cr_assert_not(Book.take(configuration(4, 60)));
  cr_assert_eq(Book.view().Configuration->Version, 5);
  cr_assert(Book.take(configuration(9, 70)));
}

Test(FleetBook, aLateEntryDoesNotBringARemovedServerBack) {
  FleetBook Book;
  Book.take(FleetChange(server("a", 10)), at(1s));
  Book.take(FleetChange(RemovedServer{"a", 20}), at(1s));
  Book.take(FleetChange(server("a", 15)), at(1s));
  cr_assert(Book.view().Servers->empty());
  Book.take(FleetChange(server("a", 25)), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
}

// Symptom: requests go to a process that is gone. Sequence: a server crashes
// and starts again under its identity; a heartbeat of its earlier process, held
// up on its way, is written behind the first of the new one. Cause: the newest
// revision won, not the newest process.
Test(FleetBook, aLateHeartbeatOfAnEarlierProcessChangesNothing) {
  FleetBook Book;
  const auto Started = [](std::int64_t StartedMs, Revision At,
                          bool Draining = false) {
    StoredServer Made = server("a", At, Draining);
    Made.Server.StartedMs = StartedMs;
    return Made;
  };
  Book.take(FleetChange(Started(100, 10)), at(1s));
  Book.take(FleetChange(Started(200, 11)), at(1s));
  Book.take(FleetChange(Started(100, 12, true)), at(1s));
  cr_assert_eq(Book.view().Servers->at("a").StartedMs, 200);
  cr_assert_not(Book.view().Servers->at("a").Draining);
  // Restarted twice within the lag, the words of the first two come last.
  Book.take(FleetChange(Started(300, 13)), at(1s));
  Book.take(FleetChange(Started(200, 14)), at(1s));
  cr_assert_eq(Book.view().Servers->at("a").StartedMs, 300);
  // Also behind its removal, until a process of its own comes.
  Book.take(FleetChange(RemovedServer{"a", 20}), at(1s));
  Book.take(FleetChange(Started(200, 21)), at(1s));
  cr_assert(Book.view().Servers->empty());
  Book.take(FleetChange(Started(300, 22)), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
}

Test(FleetBook, aServerThatRestartsWhileItLeavesIsReadyAgain) {
  FleetBook Book;
  StoredServer Leaving = server("a", 10, true);
  Leaving.Server.StartedMs = 100;
  Book.take(FleetChange(Leaving), at(1s));
  StoredServer Fresh = server("a", 11);
  Fresh.Server.StartedMs = 200;
  Book.take(FleetChange(Fresh), at(1s));
  cr_assert_not(Book.view().Servers->at("a").Draining);
}

// Symptom: a server is used by what was known of it before somebody else wrote
// over its entry. Cause: the unreadable entry was passed over.
Test(FleetBook, anUnusableEntryNamesNoServerUntilItsServerWritesAgain) {
  FleetBook Book;
  Book.take(FleetChange(server("a", 10)), at(1s));
  Book.take(FleetChange(server("b", 11)), at(1s));
  Book.take(FleetChange(UnusableServer{"a", 12, "no address"}), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
  cr_assert(Book.view().Servers->contains("b"));
  Book.take(FleetChange(server("a", 11)), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
  Book.take(FleetChange(server("a", 13)), at(1s));
  cr_assert_eq(Book.view().Servers->size(), 2U);
  // In a list, also while the store is in trouble: this is no lapsed entry.
  Book.noteStore(false, at(2s));
  StoredServers Whole{{server("b", 11)}, 21, {UnusableServer{"a", 20, "x"}}};
  Book.take(Whole, at(3s));
  cr_assert_eq(Book.view().Servers->size(), 1U);
}

// Symptom: after an outage of the store every request is refused for two
// seconds. Sequence: entries lapse while the store is away, and come back once
// the servers have reached it again. Cause: a lapsed entry was taken for a
// server that has gone.
Test(FleetBook, entriesThatLapseWithTheStoreAwayAreKeptForAWhile) {
  FleetBook Book;
  Book.noteStore(true, at(0s));
  Book.take(FleetChange(server("a", 10)), at(0s));
  Book.take(FleetChange(server("b", 11)), at(0s));
  Book.noteStore(false, at(10s));
  Book.noteStore(true, at(15s));
  StoredServers Nothing;
  Nothing.At = 30;
  Book.take(Nothing, at(15s));
  cr_assert_eq(Book.view().Servers->size(), 2U);
  Book.take(FleetChange(server("a", 40)), at(16s));
  cr_assert(Book.expire(at(17s)));
  cr_assert_eq(Book.view().Servers->size(), 1U);
  cr_assert(Book.view().Servers->contains("a"));
}

Test(FleetBook, aServerThatLeavesInCalmTimesIsGoneAtOnce) {
  FleetBook Book;
  Book.noteStore(true, at(0s));
  Book.take(FleetChange(server("a", 10)), at(0s));
  Book.take(FleetChange(RemovedServer{"a", 20}), at(9s));
  cr_assert(Book.view().Servers->empty());
}

Test(FleetBook, whatWasDrainingIsNotKept) {
  FleetBook Book;
  Book.noteStore(true, at(0s));
  Book.take(FleetChange(server("a", 10, true)), at(0s));
  Book.noteStore(false, at(1s));
  Book.noteStore(true, at(2s));
  Book.take(FleetChange(RemovedServer{"a", 20}), at(2s));
  cr_assert(Book.view().Servers->empty());
}

Test(FleetBook, aProofIsNeverReplacedByAnOlderOne) {
  FleetBook Book;
  Book.prove(at(5s));
  Book.prove(at(3s));
  cr_assert(Book.view().ProvenAt == at(5s));
}

// Symptom: routers take processor time with nobody calling.
// Sequence: a proof comes twice a second, each with a new view. Cause: every
// view had lists of its own, which all parts worked through as if changed.
Test(FleetBook, whatHasNotChangedIsTheSameObject) {
  FleetBook Book;
  Book.take(FleetChange(server("a", 10)), at(0s));
  Book.take(FleetChange(StoredRouter{"r1", "127.0.0.1:1", 1, 11}), at(0s));
  const FleetView Before = Book.view();
  Book.prove(at(5s));
  StoredServers Same;
  Same.Servers = {server("a", 10)};
  Same.At = 30;
  Book.take(Same, at(5s));
  cr_expect_eq(Book.view().Servers, Before.Servers);
  cr_expect_eq(Book.view().RouterPlaces, Before.RouterPlaces);
  Book.take(FleetChange(server("a", 31, true)), at(6s));
  cr_assert_neq(Book.view().Servers, Before.Servers);
  cr_expect(Book.view().Servers->at("a").Draining);
  Book.take(FleetChange(RemovedRouter{"r1", 32}), at(6s));
  cr_expect(Book.view().RouterPlaces->empty());
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
  FleetBook Book;
  Book.take(FleetChange(inZone("a", 10)), at(1s));
  Book.take(FleetChange(EvacuatedZone{"north", 11}), at(1s));
  Book.take(FleetChange(EvacuatedZone{"nowhere", 12}), at(1s));
  cr_assert_not(Book.view().Servers->at("a").takesRequests());
  cr_assert_eq(Book.view().EvacuatedZones->size(), 2U);
  // Also for a server that starts there meanwhile.
  Book.take(FleetChange(inZone("b", 13)), at(1s));
  cr_assert_not(Book.view().Servers->at("b").takesRequests());
  Book.take(FleetChange(ReturnedZone{"north", 14}), at(2s));
  cr_assert(Book.view().Servers->at("a").takesRequests());
}

// Symptom: a zone that was called evacuated again gets requests. Sequence: it
// is taken back and evacuated again within a moment; the news come in the wrong
// order, or a list is older than they are. Cause: the last word won.
Test(FleetBook, theNewestWordOnAZoneWinsInWhateverOrderItComes) {
  FleetBook Book;
  Book.take(FleetChange(inZone("a", 10)), at(1s));
  Book.take(FleetChange(EvacuatedZone{"north", 20}), at(1s));
  Book.take(FleetChange(EvacuatedZone{"north", 22}), at(1s));
  Book.take(FleetChange(ReturnedZone{"north", 21}), at(1s));
  cr_assert_not(Book.view().Servers->at("a").takesRequests());
  // A list of before, without the zone.
  Book.take(StoredEvacuations{{}, 19}, at(2s));
  cr_assert_not(Book.view().Servers->at("a").takesRequests());
  Book.take(StoredEvacuations{{}, 30}, at(3s));
  cr_assert(Book.view().Servers->at("a").takesRequests());
  // And one of before, with it.
  Book.take(StoredEvacuations{{{"north", 22}}, 25}, at(4s));
  cr_assert(Book.view().Servers->at("a").takesRequests());
}

// Symptom: the servers of a zone crash together when it is taken back.
// Sequence: the return is told before the entries that tell of their cold
// state. Cause: the entries of before the return were believed.
Test(FleetBook, serversOfAZoneThatIsTakenBackAreCold) {
  FleetBook Book;
  Book.take(warmingUp());
  Book.take(FleetChange(inZone("a", 10)), at(1s));
  Book.take(FleetChange(EvacuatedZone{"north", 11}), at(1s));
  Book.take(FleetChange(ReturnedZone{"north", 20}), at(9s));
  cr_assert_eq(Book.view().Servers->at("a").WarmUntil, at(12s));
  // What is written behind the return counts.
  Book.take(FleetChange(inZone("a", 21, 1s)), at(9500ms));
  cr_assert_eq(Book.view().Servers->at("a").WarmUntil, at(10500ms));
}

Test(FleetBook, anEntryWithoutAWordOnItsWarmUpIsTakenForACold) {
  FleetBook Book;
  Book.take(FleetChange(inZone("a", 10, std::nullopt)), at(1s));
  Book.take(FleetChange(inZone("b", 11)), at(1s));
  // Known only with the configuration.
  Book.take(warmingUp());
  cr_assert_eq(Book.view().Servers->at("a").WarmUntil, at(4s));
  cr_assert_eq(Book.view().Servers->at("b").WarmUntil, TimePoint{});
}

Test(FleetBook, listsAreProvenOnceTheyHaveAllThatTheStoreHad) {
  FleetBook Book;
  Book.noteSeen(10);
  Book.proveLists(12, at(5s));
  cr_assert_eq(Book.listsProvenAt(), TimePoint{});
  // A later proof does not push the open one away.
  Book.proveLists(15, at(6s));
  Book.noteSeen(13);
  cr_assert_eq(Book.listsProvenAt(), at(5s));
  Book.proveLists(13, at(7s));
  cr_assert_eq(Book.listsProvenAt(), at(7s));
}
