#include "Gateway/FakeStore.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

Test(FleetFeed, readsAndProvesAgainAndAgain) {
  FeedFixture F;
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration != nullptr; }));
  std::this_thread::sleep_for(1500ms);
  cr_assert(age(*F.view()) < 1200ms);
}

// Symptom: a key that was taken away works on at a router that cannot reach the
// store. Cause: a call that failed, or a wait without news, counted as a proof.
Test(FleetFeed, aStoreThatIsAwayProvesNothing) {
  FeedFixture F;
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration != nullptr; }));
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  std::this_thread::sleep_for(1800ms);
  cr_assert(age(*F.view()) > 1200ms);
  cr_assert_not_null(F.view()->Configuration);
}

// Symptom: a server that left while the store dropped its history gets requests
// for ever. Sequence: the watch is told that the history is gone. Cause: it
// went on from the newest revision, past the change.
Test(FleetFeed, everythingIsReadAnewWhenTheHistoryIsGone) {
  FeedFixture F;
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    GatewayServer Server;
    Server.Id = "s";
    F.Store.Servers = {{Server, 5}};
    F.Store.HistoryCompacted = true;
  }
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Servers->size() == 1; }));
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Servers.clear();
    F.Store.CurrentRevision = 20;
    F.Store.HistoryCompacted = true;
  }
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Servers->empty(); }));
}

// Symptom: the calls on the store grow with the fleet. Cause: each router read
// the configuration for itself.
Test(FleetFeed, aProofOfARelayTakesThePlaceOfAnOwnRead) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration != nullptr; }));
  const int Before = F.Store.ConfigurationReads;
  for (int Round = 0; Round < 20; ++Round) {
    F.Feed->onRelayMessage(
        RelayStatus{Clock::sinceBoot().now(), 10, 0, 0, true, 1});
    std::this_thread::sleep_for(100ms);
  }
  cr_assert_eq(F.Store.ConfigurationReads, Before);
  cr_assert(age(*F.view()) < 500ms);
}

Test(FleetFeed, aProofOfAnotherConfigurationCountsForNothing) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration != nullptr; }));
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  const TimePoint Proven = F.view()->ProvenAt;
  F.Feed->onRelayMessage(
      RelayStatus{Clock::sinceBoot().now(), 99, 0, 0, true, 1});
  std::this_thread::sleep_for(300ms);
  cr_assert(F.view()->ProvenAt == Proven);
}

// Symptom: while routers are stopped in turn, requests at the others wait for
// 0.2 s. Sequence: the allocator drains and ends; its entry lapses seconds
// later. Cause: the entry was left to its lease.
Test(FleetFeed, aLeavingRouterTakesItsEntryBackAtOnce) {
  FeedFixture F;
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration != nullptr; }));
  std::this_thread::sleep_for(400ms);
  F.Feed->leave();
  std::this_thread::sleep_for(500ms);
  cr_assert_eq(F.Store.Unregistrations, 1);
}

Test(FleetFeed, aRouterThatStaysBehindItsRelayReadsForItself) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration != nullptr; }));
  const int Before = F.Store.ServerReads;
  for (int Round = 0; Round < 12; ++Round) {
    F.Feed->onRelayMessage(RelayStatus{Clock::sinceBoot().now(), 10, 1000, 0});
    std::this_thread::sleep_for(100ms);
  }
  cr_assert_gt(F.Store.ServerReads, Before);
}

// Symptom: calls on the store grow with the fleet, 200 a second with 85
// routers. Cause: each router waited in the store for every change.
Test(FleetFeed, aRouterWithARelayTakesChangesFromItAlone) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  F.receiveProofsFor(200ms, 10);
  const int Reads = F.Store.ServerReads;
  const int Watches = F.Store.Watches;
  GatewayServer Server;
  Server.Id = "s";
  F.Feed->onRelayMessage(RelayUpdate{10, 20, {StoredServer{Server, 15}}});
  // Behind a gap: what lies between was lost and comes again.
  F.Feed->onRelayMessage(RelayUpdate{25, 30, {RemovedServer{"s", 28}}});
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 20; }));
  cr_expect(F.view()->Servers->contains("s"));
  F.receiveProofsFor(1500ms, 20);
  cr_expect_eq(F.Store.ServerReads, Reads);
  cr_expect_eq(F.Store.Watches, Watches);
}

// Symptom: requests reach a server more than two seconds after it said that it
// leaves. Sequence: the relay is cut off from the store, and answers; the
// server leaves. Cause: a router left its relay only once its own proofs had
// shown twice that the store can be reached.
Test(FleetFeed, aRelayThatProvesNothingNewIsNotReliedOn) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  F.receiveProofsFor(200ms, 10);
  const TimePoint CutOff = Clock::sinceBoot().now();
  const int Watches = F.Store.Watches;
  while (Clock::sinceBoot().now() - CutOff < 1600ms) {
    F.Feed->onRelayMessage(RelayStatus{CutOff, 10, 10, 0});
    std::this_thread::sleep_for(50ms);
  }
  cr_expect_gt(F.Store.Watches, Watches);
}

Test(FleetFeed, whatTheRelayCannotTellIsRead) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  const int Reads = F.Store.ServerReads;
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.CurrentRevision = 50;
  }
  F.Feed->onRelayMessage(RelayStatus{Clock::sinceBoot().now(), 10, 50, 40});
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 50; }));
  cr_expect_eq(F.Store.ServerReads, Reads + 1);
}

Test(FleetFeed, aNewerConfigurationOfTheRelayIsReadAtOnce) {
  FeedFixture F(false);
  // The lists and the configuration are read on two threads.
  cr_assert(F.eventually([](const FleetView &View) {
    return View.SeenRevision == 10 && View.Configuration != nullptr;
  }));
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Version = 2;
    F.Store.CurrentRevision = 11;
  }
  const TimePoint Before = Clock::steady().now();
  F.Feed->onRelayMessage(RelayStatus{Clock::sinceBoot().now(), 11, 10, 0});
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration->Version == 2; }));
  cr_expect_lt((Clock::steady().now() - Before).count(),
               Duration(200ms).count());
}

// Symptom: an outage of the store of 8 s costs as many calls as the whole day
// beside it. Sequence: every router asks again a quarter of a second after each
// failure. Cause: waits that did not grow.
Test(FleetFeed, aStoreThatIsAwayIsAskedEverMoreRarely) {
  FeedFixture F(false);
  // The lists and the configuration are read on two threads.
  cr_assert(F.eventually([](const FleetView &View) {
    return View.SeenRevision == 10 && View.Configuration != nullptr;
  }));
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  const int Before = F.Store.ConfigurationReads + F.Store.ServerReads;
  std::this_thread::sleep_for(5s);
  const int Calls = F.Store.ConfigurationReads + F.Store.ServerReads - Before;
  cr_expect_leq(Calls, 5, "%d calls", Calls);
  cr_expect_geq(Calls, 1);
}

// Symptom: requests reach a server seconds after it said that it leaves, while
// the store is well. Sequence: the way to the store was silent for a while; the
// waiting call that was on it goes on waiting. Cause: a watch without an answer
// counted as a store without changes.
Test(FleetFeed, aWatchThatHangsIsNoticed) {
  FeedFixture F;
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  F.Store.WatchHangs = true;
  GatewayServer Server;
  Server.Id = "s";
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.UnwatchedChanges = {StoredServer{Server, 15}};
    F.Store.StoreRevision = 15;
  }
  const TimePoint Before = Clock::steady().now();
  cr_expect(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 15; }));
  cr_expect_lt((Clock::steady().now() - Before).count(), Duration(2s).count());
  cr_expect(F.view()->Servers->contains("s"));
  F.Store.WatchHangs = false;
}

// Symptom: requests reach a server for 1.7 s after its entry was removed.
// Sequence: the relay was cut off from the store a moment ago, this router was
// not; the server leaves. Cause: the relay's doubt whether the entry had only
// lapsed was passed on.
Test(FleetFeed, aRemovalThatARelayTellsIsInForceAtOnce) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  GatewayServer Server;
  Server.Id = "s";
  F.Feed->onRelayMessage(RelayUpdate{10, 20, {StoredServer{Server, 15}}});
  F.Feed->onRelayMessage(RelayUpdate{20, 30, {RemovedServer{"s", 25}}});
  cr_expect(F.view()->Servers->empty());
}

// Symptom: long after an outage requests still reach servers that have gone.
// Sequence: a call of a router with a relay fails; the store is back, and the
// router hears everything from its relay. Cause: only a call of its own ended
// the outage for it.
Test(FleetFeed, anOutageIsOverOnceTheRelayHasReachedTheStore) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  GatewayServer Server;
  Server.Id = "s";
  F.Feed->onRelayMessage(RelayUpdate{10, 20, {StoredServer{Server, 15}}});
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  std::this_thread::sleep_for(2s);
  F.receiveProofsFor(2800ms, 20);
  F.Feed->onRelayMessage(RelayUpdate{20, 30, {RemovedServer{"s", 25}}});
  cr_expect(F.view()->Servers->empty());
}

// Symptom: routers refuse keys for up to 5 s after the store is back. Sequence:
// it is away for seconds; a configuration is accepted as it returns. Cause: the
// relay's proof is of another configuration, and the router's own next try was
// still as far off as in the outage.
Test(FleetFeed, aStoreThatTheRelayHasReachedAgainIsReadAtOnce) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  std::this_thread::sleep_for(5s);
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = false;
    F.Store.Version = 2;
    F.Store.CurrentRevision = 11;
  }
  F.Feed->onRelayMessage(RelayStatus{Clock::sinceBoot().now(), 11, 10, 0});
  std::this_thread::sleep_for(400ms);
  cr_expect_eq(F.view()->Configuration->Version, 2);
  cr_expect(age(*F.view()) < 600ms);
}

// Symptom: all routers of a cluster refuse keys while the store is well.
// Sequence: their relay is cut off from the store, and answers. Cause: a relay
// was left only when it was silent.
Test(FleetFeed, aRelayWithoutTheStoreIsDistrusted) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  const TimePoint CutOff = Clock::sinceBoot().now();
  for (int Round = 0; Round < 50 && F.RelaySwitches == 0; ++Round) {
    F.Feed->onRelayMessage(RelayStatus{CutOff, 10, 10, 0});
    std::this_thread::sleep_for(100ms);
  }
  cr_expect_geq(F.RelaySwitches, 1);
  cr_expect(age(*F.view()) < 3s);
}

// Symptom: requests wait for a router that knows no servers yet. Cause: it was
// listed, and so chosen to allocate, before it had read the fleet.
Test(FleetFeed, aRouterIsListedOnceItKnowsTheFleet) {
  FakeStore Store;
  Store.Unreachable = true;
  Metrics Measured;
  FleetFeed::Options Options;
  Options.RouterName = "r";
  FleetFeed Feed(
      Options, [&] { return Store.source(); }, Measured,
      [](const std::shared_ptr<const FleetView> &) {});
  std::this_thread::sleep_for(600ms);
  cr_expect_eq(Store.Registrations, 0);
  {
    const std::lock_guard<std::mutex> Lock(Store.Mutex);
    Store.Unreachable = false;
  }
  std::this_thread::sleep_for(2s);
  cr_expect_eq(Store.Registrations, 1);
}
