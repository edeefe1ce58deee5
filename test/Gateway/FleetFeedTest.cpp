#include "Gateway/FakeStore.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

Test(FleetFeed, renewsItsProof) {
  FeedFixture F;
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration != nullptr; }));
  std::this_thread::sleep_for(1500ms);
  cr_assert(age(*F.view()) < 1200ms);
}

// A revoked key must not keep working at a router that cannot reach the store.
// A failed call, or a watch without changes, counted as a proof.
Test(FleetFeed, anUnreachableStoreProvesNothing) {
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

// A server that was removed while the store compacted its history must not get
// requests forever. The watch continued from the newest revision and missed the
// change.
Test(FleetFeed, reloadsEverythingIfTheHistoryIsCompacted) {
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

// The number of calls on the store must not grow with the fleet, which it did
// when each router read the configuration.
Test(FleetFeed, aProofOfARelayReplacesAnOwnRead) {
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

Test(FleetFeed, ignoresAProofOfAnotherConfiguration) {
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

// Requests must not wait for 0.2 s while routers are stopped one after the
// other. The entry of an allocator that had stopped was left to its lease and
// lapsed seconds later.
Test(FleetFeed, aLeavingRouterRemovesItsEntryAtOnce) {
  FeedFixture F;
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration != nullptr; }));
  std::this_thread::sleep_for(400ms);
  F.Feed->leave();
  std::this_thread::sleep_for(500ms);
  cr_assert_eq(F.Store.Unregistrations, 1);
}

Test(FleetFeed, aRouterThatStaysBehindItsRelayReadsTheLists) {
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

// The number of calls on the store must not grow with the fleet. With a watch
// of every router, 85 routers made 200 calls per second.
Test(FleetFeed, aFollowerReceivesChangesFromItsRelayOnly) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  F.receiveProofsFor(200ms, 10);
  const int Reads = F.Store.ServerReads;
  const int Watches = F.Store.Watches;
  GatewayServer Server;
  Server.Id = "s";
  F.Feed->onRelayMessage(RelayUpdate{10, 20, {StoredServer{Server, 15}}});
  // After a gap: the changes in between were lost and are sent again.
  F.Feed->onRelayMessage(RelayUpdate{25, 30, {RemovedServer{"s", 28}}});
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 20; }));
  cr_expect(F.view()->Servers->contains("s"));
  F.receiveProofsFor(1500ms, 20);
  cr_expect_eq(F.Store.ServerReads, Reads);
  cr_expect_eq(F.Store.Watches, Watches);
}

// Requests must not reach a server more than two seconds after it started to
// drain. If the relay answered but was disconnected from the store, a router
// left it only after two own proofs.
Test(FleetFeed, doesNotRelyOnARelayWithoutANewProof) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  F.receiveProofsFor(200ms, 10);
  const TimePoint DisconnectedAt = Clock::sinceBoot().now();
  const int Watches = F.Store.Watches;
  while (Clock::sinceBoot().now() - DisconnectedAt < 1600ms) {
    F.Feed->onRelayMessage(RelayStatus{DisconnectedAt, 10, 10, 0});
    std::this_thread::sleep_for(50ms);
  }
  cr_expect_gt(F.Store.Watches, Watches);
}

Test(FleetFeed, reloadsIfTheRelaysHistoryIsTooShort) {
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
  // Two threads read the lists and the configuration.
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

// An outage of the store of 8 s must not cost as many calls as the rest of the
// day. Every router retried a quarter of a second after each failure, without
// backoff.
Test(FleetFeed, backsOffFromAnUnreachableStore) {
  FeedFixture F(false);
  // Two threads read the lists and the configuration.
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

// Requests must not reach a server seconds after it started to drain while the
// store is healthy. After the connection to the store had silently lost data,
// the pending watch call kept waiting and looked like a store without changes.
Test(FleetFeed, detectsAWatchThatHangs) {
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

// Requests must not reach a server for 1.7 s after its entry was removed. If
// the relay had just been disconnected from the store and this router had not,
// the relay's grace period for lapsed entries delayed the removal here too.
Test(FleetFeed, appliesARemovalSentByARelayAtOnce) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  GatewayServer Server;
  Server.Id = "s";
  F.Feed->onRelayMessage(RelayUpdate{10, 20, {StoredServer{Server, 15}}});
  F.Feed->onRelayMessage(RelayUpdate{20, 30, {RemovedServer{"s", 25}}});
  cr_expect(F.view()->Servers->empty());
}

// Requests must not reach removed servers long after an outage. A call of a
// follower failed; once the store was back, the follower received everything
// from its relay, but only a call of its own ended the outage.
Test(FleetFeed, anOutageEndsWhenTheRelayReachesTheStore) {
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

// Routers must not refuse keys for up to 5 s after the store has recovered. If
// a configuration was accepted during the recovery, the relay's proof was for
// another configuration, and the router's own retry still used the backoff of
// the outage.
Test(FleetFeed, readsTheStoreAtOnceWhenTheRelayReachesItAgain) {
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

// The routers of a cluster must not refuse keys while the store is healthy. A
// relay that was disconnected from the store but answered was not switched.
Test(FleetFeed, switchesARelayThatIsDisconnectedFromTheStore) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  const TimePoint DisconnectedAt = Clock::sinceBoot().now();
  for (int Round = 0; Round < 50 && F.RelaySwitches == 0; ++Round) {
    F.Feed->onRelayMessage(RelayStatus{DisconnectedAt, 10, 10, 0});
    std::this_thread::sleep_for(100ms);
  }
  cr_expect_geq(F.RelaySwitches, 1);
  cr_expect(age(*F.view()) < 3s);
}

// Requests must not wait for a router that does not know the servers yet. It
// registered, and so became an allocator, before it had read the fleet.
Test(FleetFeed, aRouterRegistersOnceItKnowsTheFleet) {
  FakeStore Store;
  Store.Unreachable = true;
  Metrics Registry;
  FleetFeed::Options Options;
  Options.RouterName = "r";
  FleetFeed Feed(
      Options, [&] { return Store.source(); }, Registry,
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
