#include "Gateway/FakeStore.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

TimePoint at(Duration Time) { return TimePoint(Time); }

StoredServer server(const std::string &Id, Revision ModRevision) {
  GatewayServer Server;
  Server.Id = Id;
  return {Server, ModRevision};
}

/// A state that lists a server "a" and has seen an outage that ended at 12 s.
FleetState stateAfterAnOutage() {
  FleetState State;
  State.recordStoreReachable(true, at(0s));
  State.applyChange(FleetChange(server("a", 10)), at(0s));
  State.recordStoreReachable(false, at(6s));
  State.recordStoreReachable(true, at(12s));
  return State;
}

/// The time from the acceptance of a removal until the server gets no more
/// requests.
constexpr Duration RemovalBound = FleetBounds{}.Removal;

/// A feed with a server "s" that the store removes in a test.
struct RemovalFixture : FeedFixture {
  explicit RemovalFixture(RelayRole Role)
      : FeedFixture(
            Role, [](FakeStore &Store) { Store.Servers = {server("s", 5)}; }) {
    cr_assert(this->eventually([](const FleetView &View) {
      return View.Servers != nullptr && View.Servers->contains("s");
    }));
  }

  ~RemovalFixture() { this->Store.WatchHangs = false; }

  /// Keeps all watch calls hanging until the fixture ends.
  void hangWatch() {
    this->Store.WatchHangs = true;
    std::this_thread::sleep_for(100ms);
  }

  void removeServer() {
    const std::lock_guard<std::mutex> Lock(this->Store.Mutex);
    this->Store.Servers.clear();
    this->Store.UnwatchedChanges = {RemovedServer{"s", 35}};
    this->Store.StoreRevision = 40;
  }

  /// Lets complete lists include the removal.
  void includeInLists() {
    const std::lock_guard<std::mutex> Lock(this->Store.Mutex);
    this->Store.CurrentRevision = 40;
  }

  void setUnreachable(bool Unreachable) {
    const std::lock_guard<std::mutex> Lock(this->Store.Mutex);
    this->Store.Unreachable = Unreachable;
  }

  /// Whether the server leaves the view within the time.
  bool isGoneWithin(Duration Time) {
    const TimePoint Until = Clock::sinceBoot().now() + Time;
    while (Clock::sinceBoot().now() < Until) {
      if (!this->view()->Servers->contains("s"))
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }
};

/// The status of a relay whose configuration is that of the store, and whose
/// lists were proven at another time.
RelayStatus statusWithLists(Revision Seen, TimePoint ListsProvenAt) {
  RelayStatus Status;
  Status.ProvenAt = Clock::sinceBoot().now();
  Status.ConfigurationRevision = 10;
  Status.SeenRevision = Seen;
  Status.ReadsStore = true;
  Status.SenderHash = 1;
  Status.ListsProvenAt = ListsProvenAt;
  return Status;
}

} // namespace

// Guards against keeping a server as if its entry had lapsed in an outage,
// though it was removed after such entries are back.
Test(RemovedServer, isNotKeptIfItsEntryVanishesTwoSecondsAfterTheOutage) {
  FleetState State = stateAfterAnOutage();
  State.applyChange(FleetChange(RemovedServer{"a", 20}), at(14100ms));
  cr_expect(State.view().Servers->empty());
}

// Guards against counting the grace of a lapsed entry from the moment at which
// a router hears of it.
Test(RemovedServer, isDroppedTwoSecondsAfterTheOutage) {
  FleetState State = stateAfterAnOutage();
  State.applyChange(FleetChange(RemovedServer{"a", 20}), at(13500ms));
  cr_assert_eq(State.view().Servers->size(), 1U);
  State.expire(at(14100ms));
  cr_expect(State.view().Servers->empty());
}

// Guards against taking the timeout of a lost watch for an outage of the store
// that answers all other calls.
Test(RemovedServer, isNotKeptAfterTheTimeoutOfALostWatch) {
  RemovalFixture F(RelayRole::Relay);
  F.hangWatch();
  F.Store.HungWatchTimesOut = true;
  std::this_thread::sleep_for(1500ms);
  F.removeServer();
  F.Store.WatchHangs = false;
  cr_assert(F.eventually(
      [](const FleetView &View) { return View.SeenRevision >= 40; }));
  cr_expect_not(F.view()->Servers->contains("s"));
}

// Guards against a follower whose relay is silent, and whose own watch hangs,
// that learns of a removal from the second of its proofs.
Test(RemovedServer, isHeardOfInTimeIfRelayAndWatchAreSilent) {
  RemovalFixture F(RelayRole::Follower);
  // Without a relay's status the router watches by itself.
  std::this_thread::sleep_for(1500ms);
  F.hangWatch();
  F.receiveProofsFor(500ms, 10);
  F.removeServer();
  cr_expect(F.isGoneWithin(RemovalBound));
}

// Guards against a thread that hangs in a watch and is the only one that can
// read the lists again.
Test(RemovedServer, isHeardOfInTimeIfTheListsMustBeReadWhileAWatchHangs) {
  RemovalFixture F(RelayRole::Follower);
  std::this_thread::sleep_for(1500ms);
  F.hangWatch();
  F.receiveProofsFor(500ms, 10);
  F.removeServer();
  F.includeInLists();
  const TimePoint Until = Clock::sinceBoot().now() + RemovalBound;
  while (Clock::sinceBoot().now() < Until) {
    RelayStatus Status = statusWithLists(40, Clock::sinceBoot().now());
    Status.CompactRevision = 38;
    F.Feed->onRelayMessage(Status);
    std::this_thread::sleep_for(50ms);
  }
  cr_expect_not(F.view()->Servers->contains("s"));
}

// Guards against taking a proof of the relay's configuration for one of its
// lists, which are old if its watch hangs.
Test(RemovedServer, isHeardOfInTimeIfTheRelaysListsAreOld) {
  RemovalFixture F(RelayRole::Follower);
  F.receiveProofsFor(500ms, 10);
  const TimePoint ListsProvenAt = Clock::sinceBoot().now();
  F.removeServer();
  const TimePoint Until = ListsProvenAt + RemovalBound;
  while (Clock::sinceBoot().now() < Until) {
    F.Feed->onRelayMessage(statusWithLists(10, ListsProvenAt));
    std::this_thread::sleep_for(50ms);
  }
  cr_expect_not(F.view()->Servers->contains("s"));
}

// Guards against a watcher that sleeps through the store's return, since only
// the prover's delay is ended by a relay's word.
Test(RemovedServer, isHeardOfInTimeIfTheOutageEndsWithARelaysWord) {
  RemovalFixture F(RelayRole::Follower);
  F.setUnreachable(true);
  std::this_thread::sleep_for(6s);
  F.setUnreachable(false);
  F.removeServer();
  F.Feed->onRelayMessage(statusWithLists(10, TimePoint{}));
  cr_expect(F.isGoneWithin(RemovalBound));
}
