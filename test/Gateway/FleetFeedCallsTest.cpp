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
  return Status;
}

TimePoint now() { return Clock::sinceBoot().now(); }

} // namespace

// The start of 195 routers cost 1,900 calls on the store: each used
// linearizable reads for the configuration and both lists, although its relay
// proves the former and sends what the latter lack. Fails with
// `ReadConsistency::Linearizable` in `nextListConsistency`.
Test(FleetFeedCalls, aStartingFollowerMakesNoLinearizableRead) {
  FeedFixture F(false);
  F.receiveProofsFor(1500ms, 10);
  cr_expect_eq(F.Store.LinearizableReads, 0);
  cr_expect_eq(F.Store.Watches, 0);
  cr_expect_eq(F.view()->ConfigurationRevision, 10);
  cr_expect(age(*F.view()) < 500ms);
}

// A stale read must not count as the newest configuration. Otherwise keys are
// refused, or an old configuration counts as proven, if the replica that a
// router reads a new configuration from lags behind.
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

// An outage of the store of 6 s cost 195 routers 1,600 failed calls. Several
// relays answered without a new proof, but the watcher and the prover of each
// router tried the store themselves. Fails with four calls if
// `RelayTrust::storeSeemsUnreachable` returns false.
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

// If the store rejects one router and serves the relays, that router must not
// call the store with each status of its relay. When a configuration changed in
// the meantime, each new proof of a relay ended the backoff as at the end of an
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

// A restart of 195 routers cost two calls each for leases and entries: a new
// lease and a new entry were written although the entry of the earlier process
// still existed.
Test(FleetFeedCalls, adoptsTheEntryOfTheEarlierProcess) {
  FeedFixture F(true, [](FakeStore &Store) {
    Store.Routers.push_back({"r", "127.0.0.1:9", 1, 2, 77});
  });
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  std::this_thread::sleep_for(400ms);
  cr_expect_eq(F.Store.Registrations, 0);
  cr_expect_eq(F.Store.RenewedLease, 77);
}

// Routers that reach the store must not use an old configuration and removed
// servers for over 3 s. The store rejected a third of the fleet including all
// relays, and every router accepted the relays' report of an outage. Fails
// without the check of the role in `FleetFeed::acceptsOutageReport`.
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

// A router must not be unlisted, and idle as a relay and allocator, for up to
// 6 s. It adopted the lease of its earlier process, whose request to end that
// lease reached the store late, and noticed the loss at the next renewal only.
Test(FleetFeedCalls, rewritesItsRemovedEntryAtOnce) {
  FeedFixture F(true, [](FakeStore &Store) {
    Store.Routers.push_back({"r", "127.0.0.1:9", 1, 2, 77});
  });
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  std::this_thread::sleep_for(400ms);
  F.Store.ExpiredLease = 77;
  F.Feed->onRelayMessage(RelayUpdate{10, 20, {RemovedRouter{"r", 15}}});
  std::this_thread::sleep_for(400ms);
  cr_expect_eq(F.Store.Registrations, 1);
}

// If 195 routers start together, each reads an empty list first and would
// consider itself a relay.
Test(FleetFeedCalls, aRouterThatFindsNoOtherRegistersAndRetriesTheLists) {
  FeedFixture F(true, [](FakeStore &Store) { Store.Routers.clear(); });
  // The feed registers on its prover thread.
  for (int Try = 0; Try < 1000 && F.Store.Registrations == 0; ++Try)
    std::this_thread::sleep_for(10ms);
  cr_expect_eq(F.Store.Registrations, 1);
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Routers = {{"other", "127.0.0.1:1", 1, 9}};
  }
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  cr_expect(F.view()->RouterEndpoints->contains("other"));
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
