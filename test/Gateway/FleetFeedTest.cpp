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

// Guards against counting a failed call or a watch without changes as a proof:
// a revoked key would keep working at a router that cannot reach the store.
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

// Guards against a watch that continues from the newest revision after the
// store has compacted its history: a server that was removed in between would
// get requests forever.
Test(FleetFeed, reloadsTheListsIfTheHistoryIsCompacted) {
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

// Guards against reads of the configuration by each router: the number of calls
// on the store would grow with the fleet.
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

// Guards against leaving the entry of a stopped router to its lease: the entry
// would lapse seconds later, and requests would wait for 0.2 s for an allocator
// that has stopped.
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

// Guards against a watch by each router: the number of calls on the store would
// grow with the fleet.
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

// Guards against a relay of an earlier release that starts anew, and does not
// pass on what its lists have already: a router of this release reads the
// changes from the store first.
Test(FleetFeed, readsWhatARestartedRelayOfAnEarlierReleaseLacks) {
  GatewayServer Server;
  Server.Id = "s";
  FeedFixture F(false, [&Server](FakeStore &Store) {
    Store.Servers = {{Server, 5}};
  });
  cr_assert(F.eventually([](const FleetView &View) {
    return View.SeenRevision == 10 && View.Servers->contains("s");
  }));
  const auto StatusOf = [](Revision Begin) {
    RelayStatus Status{Clock::sinceBoot().now(), 10, 10, Begin, true};
    Status.ListsProvenAt = Status.ProvenAt;
    Status.HistoryIsComplete = false;
    return Status;
  };
  F.Store.StoreRevision = 10;
  F.Feed->onRelayMessage(StatusOf(3));
  cr_assert(waitFor([&F] {
    F.Feed->onRelayMessage(RelayUpdate{10, 11, {}, FleetUpdateSource::Unknown});
    return F.view()->SeenRevision == 11;
  }));
  cr_assert_eq(F.Store.Watches, 1);
  // The relay starts anew, and its lists have the removal of "s".
  F.Store.UnwatchedChanges = {RemovedServer{"s", 12}};
  F.Store.StoreRevision = 12;
  F.Feed->onRelayMessage(StatusOf(9));
  F.Feed->onRelayMessage(RelayUpdate{9, 13, {}, FleetUpdateSource::Unknown});
  cr_expect(F.eventually(
      [](const FleetView &View) { return !View.Servers->contains("s"); }));
  F.Feed->onRelayMessage(StatusOf(9));
  F.Feed->onRelayMessage(RelayUpdate{12, 13, {}, FleetUpdateSource::Unknown});
  cr_expect(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 13; }));
  cr_expect_eq(F.Store.Watches, 2, "one read for each beginning");
}

// Guards against a router that leaves a relay without a new proof only after
// two own proofs: if the relay answers but is disconnected from the store,
// requests would reach a server more than two seconds after it started to
// drain.
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

// Guards against retries at a fixed interval: all routers together would make
// thousands of calls in an outage of the store.
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

// Guards against a watch call that keeps waiting after the connection to the
// store has silently lost data, and looks like a store without changes:
// requests would reach a server seconds after it started to drain.
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

// Guards against delaying a removal that a relay has sent by the grace period
// for lapsed entries, if the relay was disconnected from the store and this
// router was not: requests would reach a server for 1.7 s after its entry was
// removed.
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

// Guards against an outage that ends only with a successful call of the
// router's own: a follower whose call has failed receives everything from its
// relay once the store is back, and would keep sending requests to removed
// servers.
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

// Guards against refusing keys for up to 5 s after the store has recovered: if
// a configuration is accepted during the recovery, the relay's proof is for
// another configuration, and the router's own retry must not wait for the
// backoff of the outage.
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

// Guards against following a relay that answers but is disconnected from the
// store: the routers of its cluster would refuse keys while the store is
// healthy.
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

// Guards against a router that registers, and so becomes an allocator, before
// it has read the fleet: requests would wait for a router that does not know
// the servers yet.
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
