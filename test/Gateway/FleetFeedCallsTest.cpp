#include "Gateway/FakeStore.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// A word of a relay that has reached the store at this moment.
RelayStatus wordAt(TimePoint Proven, std::uint64_t Teller,
                   Revision Configuration, Revision Seen) {
  RelayStatus Word;
  Word.ProvenAt = Proven;
  Word.ConfigurationRevision = Configuration;
  Word.SeenRevision = Seen;
  Word.ReadsStore = true;
  Word.SenderHash = Teller;
  Word.IsOwnRelay = Teller == 1;
  return Word;
}

TimePoint now() { return Clock::sinceBoot().now(); }

} // namespace

// Symptom: a start of 195 routers costs 1,900 calls on the store. Sequence:
// each reads the configuration and both lists, though its relay proves the one
// and tells what lacks in the others. Cause: all reads were of the newest
// state. Fails with `ReadAge::Newest` in `listAge`.
Test(FleetFeedCalls, aRouterThatStartsMakesNoPlainRead) {
  FeedFixture F(false);
  F.receiveProofsFor(1500ms, 10);
  cr_expect_eq(F.Store.LinearizableReads, 0);
  cr_expect_eq(F.Store.Watches, 0);
  cr_expect_eq(F.view()->ConfigurationRevision, 10);
  cr_expect(age(*F.view()) < 500ms);
}

// Symptom: keys are refused, or an old configuration counts as the newest.
// Sequence: the copy from which a router reads a new configuration is behind.
// Cause: a stale read was taken for the newest state.
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
  const TimePoint Told = now();
  F.Feed->onRelayMessage(wordAt(Told, 1, 11, 10));
  cr_expect(F.view()->ProvenAt < Told);
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.Configuration->Version == 2; }));
  cr_expect(F.view()->ProvenAt >= Told);
  cr_expect_eq(F.Store.LinearizableReads, 1);
  // A fifth of the bound on a configuration, and the read.
  cr_expect(now() - Told < 900ms);
}

// Symptom: an outage of the store of 6 s costs 1,600 calls of 195 routers, each
// in vain. Sequence: several relays answer and have no new proof. Cause: each
// router tried for itself, its watch and its proof both.
// Fails where `RelayTrust::storeSeemsAway` says no: four calls.
Test(FleetFeedCalls, anOutageThatTheRelaysTellOfCostsOneTry) {
  FeedFixture F(false);
  F.receiveProofsFor(700ms, 10);
  const TimePoint Lost = now();
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  const int Before = F.Store.ConfigurationReads + F.Store.ServerReads;
  const int Watches = F.Store.Watches;
  while (now() - Lost < 5s) {
    for (const std::uint64_t Teller : {1U, 2U, 3U, 4U})
      F.Feed->onRelayMessage(wordAt(Lost, Teller, 10, 10));
    std::this_thread::sleep_for(100ms);
  }
  const int Calls = F.Store.ConfigurationReads + F.Store.ServerReads - Before;
  cr_expect_leq(Calls, 1, "%d calls", Calls);
  cr_expect_eq(F.Store.Watches, Watches);
}

// Symptom: a router that the store turns away alone calls it with each word of
// its relay. Sequence: a configuration changes while the store refuses this
// router, and serves the relays. Cause: a relay's new proof ended the wait
// behind a failed call, as at the end of an outage.
// Fails without `FailedAlone`: some twenty calls a second.
Test(FleetFeedCalls, aRouterThatIsTurnedAwayAloneWaitsEverLonger) {
  FeedFixture F(false);
  F.receiveProofsFor(700ms, 10);
  {
    const std::lock_guard<std::mutex> Lock(F.Store.Mutex);
    F.Store.Unreachable = true;
  }
  const int Before = F.Store.ConfigurationReads;
  const TimePoint Begin = now();
  while (now() - Begin < 4s) {
    F.Feed->onRelayMessage(wordAt(now(), 1, 11, 10));
    std::this_thread::sleep_for(50ms);
  }
  cr_expect_leq(F.Store.ConfigurationReads - Before, 6);
}

// Symptom: a restart of 195 routers costs two calls each for leases and
// entries. Sequence: the entry of the earlier process still stands. Cause: a
// new lease and a new entry were written in its place.
Test(FleetFeedCalls, theEntryOfTheEarlierProcessIsKept) {
  FeedFixture F(true, [](FakeStore &Store) {
    Store.Routers.push_back({"r", "127.0.0.1:9", 1, 2, 77});
  });
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  std::this_thread::sleep_for(400ms);
  cr_expect_eq(F.Store.Registrations, 0);
  cr_expect_eq(F.Store.RenewedLease, 77);
}

// Symptom: for over 3 s routers that reach the store use an old configuration
// and servers that have left. Sequence: the store turns a third of the fleet
// away, all relays among them; they say that they do not reach it. Cause:
// everybody took their word for it. Fails without FleetFeed::takesRelaysWord.
Test(FleetFeedCalls, aScoutLooksForItselfWhateverTheRelaysSay) {
  FeedFixture F(RelayRole::Verifier);
  F.receiveProofsFor(300ms, 10);
  const TimePoint Lost = now();
  const int Before = F.Store.ConfigurationReads;
  const int Watches = F.Store.Watches;
  while (now() - Lost < 4s) {
    for (const std::uint64_t Teller : {1U, 2U, 3U, 4U})
      F.Feed->onRelayMessage(wordAt(Lost, Teller, 10, 10));
    std::this_thread::sleep_for(100ms);
  }
  cr_expect_gt((F.view()->ProvenAt - Lost).count(), Duration(2800ms).count());
  cr_expect_geq(F.Store.ConfigurationReads - Before, 3);
  // And it reads the changes that nobody tells it.
  cr_expect_gt(F.Store.Watches, Watches);
}

// Symptom: a router stands idle as a relay and allocator, listed nowhere, for
// up to 6 s. Sequence: it takes the lease of its earlier process over; the end
// of that lease, sent by the earlier process, reaches the store only now.
// Cause: the loss was seen at the next renewal.
Test(FleetFeedCalls, anEntryThatVanishesIsWrittenAgainAtOnce) {
  FeedFixture F(true, [](FakeStore &Store) {
    Store.Routers.push_back({"r", "127.0.0.1:9", 1, 2, 77});
  });
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision == 10; }));
  std::this_thread::sleep_for(400ms);
  F.Store.EndedLease = 77;
  F.Feed->onRelayMessage(RelayUpdate{10, 20, {RemovedRouter{"r", 15}}});
  std::this_thread::sleep_for(400ms);
  cr_expect_eq(F.Store.Registrations, 1);
}

// Symptom: 195 routers that start together each take themselves for a relay.
// Cause: the list that each reads first is empty.
Test(FleetFeedCalls, aRouterThatFindsNoOtherListsItselfAndLooksAgain) {
  FeedFixture F(true, [](FakeStore &Store) { Store.Routers.clear(); });
  // The feed registers on its own thread.
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

Test(FleetFeedCalls, callsAreCountedByWhatTheyAreFor) {
  FeedFixture F(false);
  F.receiveProofsFor(700ms, 10);
  const std::string Text = F.MetricsRegistry.render();
  for (const char *Wanted :
       {"parsleywing_fleet_store_calls_total{cause=\"list\"} 3",
        "parsleywing_fleet_store_calls_total{cause=\"configuration\"} 1",
        "parsleywing_fleet_store_calls_total{cause=\"proof\"} 0",
        "parsleywing_fleet_store_calls_total{cause=\"registration\"} 2",
        "parsleywing_fleet_store_cheap_calls_total 4"})
    cr_expect(Text.find(Wanted) != std::string::npos, "%s", Wanted);
}
