#include "Gateway/FakeStore.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// The status of a relay that reached the store at this time.
RelayStatus statusAt(TimePoint ProvenAt, std::uint64_t Sender,
                     Revision Configuration, Revision Seen) {
  RelayStatus Status;
  Status.ProvenAt = ProvenAt;
  Status.ConfigurationRevision = Configuration;
  Status.SeenRevision = Seen;
  Status.ReadsStore = true;
  Status.SenderHash = Sender;
  Status.IsCurrentRelay = Sender == 1;
  Status.ListsProvenAt = ProvenAt;
  return Status;
}

TimePoint now() { return Clock::sinceBoot().now(); }

} // namespace

// Guards against linearizable reads at the start, for the configuration and the
// lists, although the relay proves the former and sends what the latter lack.
// Fails with `ReadConsistency::Linearizable` in `nextListConsistency`.
Test(FleetFeedCalls, aStartingFollowerMakesNoLinearizableRead) {
  FeedFixture F(false);
  F.receiveProofsFor(1500ms, 10);
  cr_expect_eq(F.Store.LinearizableReads, 0);
  cr_expect_eq(F.Store.Watches, 0);
  cr_expect_eq(F.view()->ConfigurationRevision, 10);
  cr_expect(age(*F.view()) < 500ms);
}

// Guards against taking a stale read for the newest configuration: if the
// replica that a router reads a new configuration from lags behind, keys would
// be refused, or an old configuration would count as proven.
Test(FleetFeedCalls, aStaleConfigurationIsReadAgainAndProvesNothing) {
  FeedFixture F(false);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.ConfigurationRevision == 10; }));
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.ReplicasLag = true;
    F.Store.Version = 2;
    F.Store.CurrentRevision = 11;
  }
  const TimePoint AnnouncedAt = now();
  F.Feed->onRelayMessage(statusAt(AnnouncedAt, 1, 11, 10));
  cr_expect(F.view()->ProvenAt < AnnouncedAt);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration->Version == 2; }));
  cr_expect(F.view()->ProvenAt >= AnnouncedAt);
  cr_expect_eq(F.Store.LinearizableReads, 1);
  // A fifth of the bound on a configuration, plus the read.
  cr_expect(now() - AnnouncedAt < 900ms);
}

// Guards against calls on the store by every router in an outage, although
// several relays report it by answering without a new proof. Fails with four
// calls if `RelayTrust::storeSeemsUnreachable` returns false.
Test(FleetFeedCalls, anOutageReportedByTheRelaysCostsOneCall) {
  FeedFixture F(false);
  F.receiveProofsFor(700ms, 10);
  const TimePoint OutageStart = now();
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  const int Before = F.Store.ConfigurationReads + F.Store.ServerReads;
  const int Watches = F.Store.Watches;
  while (now() - OutageStart < 5s) {
    for (const std::uint64_t Sender : {1U, 2U, 3U, 4U})
      F.Feed->onRelayMessage(statusAt(OutageStart, Sender, 10, 10));
    std::this_thread::sleep_for(100ms);
  }
  const int Calls = F.Store.ConfigurationReads + F.Store.ServerReads - Before;
  cr_expect_leq(Calls, 1, "%d calls", Calls);
  cr_expect_eq(F.Store.Watches, Watches);
}

// Guards against calls on the store with each status of the relay if the store
// rejects one router and serves the relays: if the configuration changes in the
// meantime, a new proof of a relay must not end the backoff as at the end of an
// outage. Fails without `FailedAlone`, with about twenty calls per second.
Test(FleetFeedCalls, aRouterRejectedAloneBacksOff) {
  FeedFixture F(false);
  F.receiveProofsFor(700ms, 10);
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  const int Before = F.Store.ConfigurationReads;
  const TimePoint Start = now();
  while (now() - Start < 4s) {
    F.Feed->onRelayMessage(statusAt(now(), 1, 11, 10));
    std::this_thread::sleep_for(50ms);
  }
  cr_expect_leq(F.Store.ConfigurationReads - Before, 6);
}

// Guards against a router that was rejected alone and reads a configuration
// that its relay announces only after the bound, since its delay has grown.
Test(FleetFeedCalls, aRouterServedAgainReadsTheConfigurationInTime) {
  FeedFixture F(false);
  F.receiveProofsFor(700ms, 10);
  const auto Announce = [&F](Duration Time) {
    const TimePoint Until = now() + Time;
    while (now() < Until && F.view()->ConfigurationRevision < 11) {
      F.Feed->onRelayMessage(statusAt(now(), 1, 11, 10));
      std::this_thread::sleep_for(50ms);
    }
  };
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  Announce(6500ms);
  // Right behind a call that has failed.
  for (const int Before = F.Store.ConfigurationReads;
       F.Store.ConfigurationReads == Before;)
    Announce(10ms);
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = false;
    F.Store.Version = 2;
    F.Store.CurrentRevision = 11;
  }
  Announce(FleetBounds{}.Configuration);
  cr_expect_eq(F.view()->ConfigurationRevision, 11);
}

// Guards against two calls for a new lease and a new entry if the entry of the
// router's earlier process still exists.
Test(FleetFeedCalls, adoptsTheEntryOfTheEarlierProcess) {
  FeedFixture F(true, [](FakeStore &Store) {
    Store.Routers.push_back({"r", "127.0.0.1:9", 1, 2, 77});
  });
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  cr_expect(waitFor([&F] { return F.Store.RenewedLease == 77; }));
  std::this_thread::sleep_for(400ms);
  cr_expect_eq(F.Store.Registrations, 0);
  cr_expect_eq(F.Store.RenewedLease, 77);
}

// Guards against a verifier that accepts the relays' report of an outage: if
// the store rejects all relays and serves other routers, these would use an old
// configuration and removed servers for over 3 s. Fails without the check of
// the role in `FleetFeed::acceptsOutageReport`.
Test(FleetFeedCalls, aVerifierReadsTheStoreWhateverTheRelaysReport) {
  FeedFixture F(RelayRole::Verifier);
  F.receiveProofsFor(300ms, 10);
  const TimePoint OutageStart = now();
  const int Before = F.Store.ConfigurationReads;
  const int Watches = F.Store.Watches;
  while (now() - OutageStart < 4s) {
    for (const std::uint64_t Sender : {1U, 2U, 3U, 4U})
      F.Feed->onRelayMessage(statusAt(OutageStart, Sender, 10, 10));
    std::this_thread::sleep_for(100ms);
  }
  cr_expect_gt((F.view()->ProvenAt - OutageStart).count(),
               Duration(2800ms).count());
  cr_expect_geq(F.Store.ConfigurationReads - Before, 3);
  // It also reads the changes, which no relay sends.
  cr_expect_gt(F.Store.Watches, Watches);
}

// Guards against a router that is unlisted, and idle as a relay and allocator,
// for up to 6 s: it has adopted the lease of its earlier process, whose request
// to end that lease reaches the store late, and would notice the loss at the
// next renewal only.
Test(FleetFeedCalls, rewritesItsRemovedEntryAtOnce) {
  FeedFixture F(true, [](FakeStore &Store) {
    Store.Routers.push_back({"r", "127.0.0.1:9", 1, 2, 77});
  });
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  cr_assert(waitFor([&F] { return F.Store.RenewedLease == 77; }));
  F.Store.ExpiredLease = 77;
  F.Feed->onRelayMessage(RelayUpdate{10, 20, {RemovedRouter{"r", 15}}});
  std::this_thread::sleep_for(400ms);
  cr_expect_eq(F.Store.Registrations, 1);
}

// Guards against routers that start together, each of which reads an empty list
// first and considers itself a relay.
Test(FleetFeedCalls, aRouterThatFindsNoOtherRegistersAndRetriesTheLists) {
  FeedFixture F(true, [](FakeStore &Store) {
    Store.Routers.clear();
    Store.LaterRouters = {{"other", "127.0.0.1:1", 1, 9}};
  });
  // The feed registers on its prover thread.
  cr_expect(waitFor([&F] { return F.Store.Registrations > 0; }));
  cr_expect_eq(F.Store.Registrations, 1);
  // The empty list has the same revision.
  cr_expect(F.eventually([](const FleetView &View) {
    return View.SeenRevision == 10 && View.RouterEndpoints != nullptr &&
           View.RouterEndpoints->contains("other");
  }));
  cr_expect_eq(F.Store.Registrations, 1);
}

Test(FleetFeedCalls, callsAreCountedByPurpose) {
  FeedFixture F(false);
  F.receiveProofsFor(700ms, 10);
  const std::string Text = F.MetricsRegistry.render();
  for (const char *Line :
       {"parsleywing_fleet_store_calls_total{cause=\"list\"} 3",
        "parsleywing_fleet_store_calls_total{cause=\"configuration\"} 1",
        "parsleywing_fleet_store_calls_total{cause=\"proof\"} 0",
        "parsleywing_fleet_store_calls_total{cause=\"registration\"} 2",
        "parsleywing_fleet_store_cheap_calls_total 4"})
    cr_expect(Text.find(Line) != std::string::npos, "%s", Line);
}
