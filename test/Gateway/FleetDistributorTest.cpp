#include "Gateway/FleetDistributor.h"
#include "Gateway/FleetState.h"
#include "Gateway/LoopbackRouters.h"

#include <criterion/criterion.h>
#include <optional>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

StoredServer server(const std::string &Id, Revision ModRevision) {
  GatewayServer Server;
  Server.Id = Id;
  Server.Service = "service";
  Server.Address = Poco::Net::SocketAddress("127.0.0.1:80");
  Server.Zone = "zone";
  Server.Slots = 7;
  Server.Version = "version-of-" + Id;
  return {Server, ModRevision};
}

/// Lists without entries.
FleetLists emptyLists(Revision ReadRevision) {
  return {{{}, ReadRevision}, {{}, ReadRevision}, {{}, ReadRevision}};
}

/// A relay and a router that follows it.
struct RelayAndFollower {
  RelayAndFollower()
      : Fleet(Clock::steady()), Small(Fleet.add("small", 0.01)),
        Large(Fleet.add("large", 10)),
        Follower(Fleet.Loop, Small, 1, RelayTimes::of({})),
        Relay(Fleet.Loop, Large, 2, RelayTimes::of({})) {
    cr_assert(Small.open([this](const RouterMessage &Message,
                                const Poco::Net::SocketAddress &From) {
      if (const auto *Status = std::get_if<FleetStatus>(&Message))
        this->Follower.onStatus(*Status, From);
      else if (!this->dropsUpdate())
        this->Follower.onUpdate(std::get<FleetUpdate>(Message));
    }));
    cr_assert(Large.open([this](const RouterMessage &Message,
                                const Poco::Net::SocketAddress &From) {
      this->Relay.onStatusRequest(std::get<FleetStatusRequest>(Message), From);
    }));
    this->Fleet.publishList();
    this->RelayState.applyLists(emptyLists(1), {});
    this->FollowerState.applyLists(emptyLists(1), {});
  }

  /// Passes the current states to both distributors.
  void updateViews() {
    this->Relay.updateView(
        std::make_shared<FleetView>(this->RelayState.view()));
    this->Follower.updateView(
        std::make_shared<FleetView>(this->FollowerState.view()));
  }

  /// Runs the follower until the condition holds, for at most two seconds.
  /// Returns whether it held.
  template <typename Condition> bool runUntil(Condition Holds) {
    bool HasHeld = false;
    this->Follower.start([&](const RelayMessage &Message) {
      this->receive(Message);
      HasHeld = HasHeld || Holds();
      if (HasHeld)
        this->Fleet.Loop.stop();
    });
    this->Fleet.Loop.after(2s, [this] { this->Fleet.Loop.stop(); });
    this->Fleet.Loop.run();
    return HasHeld;
  }

  void receive(const RelayMessage &Message) {
    if (const auto *Status = std::get_if<RelayStatus>(&Message)) {
      this->LastStatus = *Status;
      return;
    }
    const auto &Update = std::get<RelayUpdate>(Message);
    ++this->UpdatesReceived;
    if (Update.AfterRevision > this->FollowerState.seenRevision())
      return;
    for (const FleetChange &Each : Update.Changes)
      this->FollowerState.applyChange(Each, {});
    this->FollowerState.recordSeenRevision(Update.ToRevision);
    this->Follower.updateView(
        std::make_shared<FleetView>(this->FollowerState.view()));
  }

  bool dropsUpdate() {
    if (this->UpdatesToDrop == 0)
      return false;
    --this->UpdatesToDrop;
    return true;
  }

  LoopbackRouters Fleet;
  RouterMessenger &Small;
  RouterMessenger &Large;
  FleetDistributor Follower;
  FleetDistributor Relay;
  FleetState RelayState;
  FleetState FollowerState;
  std::optional<RelayStatus> LastStatus;
  int UpdatesReceived = 0;
  /// Number of update messages to drop.
  int UpdatesToDrop = 0;
};

} // namespace

// Guards against dating a relay's proof by the arrival of its status: a revoked
// key would keep working for too long at a follower.
Test(FleetDistributor, aProofIsNeverNewerThanTheRelaysOwn) {
  for (const Duration Age : {Duration(400ms), Duration(3s)}) {
    RelayAndFollower P;
    const TimePoint Before = Clock::sinceBoot().now();
    P.RelayState.recordProof(Before - Age);
    P.updateViews();
    cr_assert(P.runUntil([&P] { return P.LastStatus.has_value(); }));
    const Duration ProofAge = Before - P.LastStatus->ProvenAt;
    cr_expect_geq(ProofAge.count(), (Age - 5ms).count());
  }
}

// Guards against the entry of a router that names no address, which a relay of
// an earlier release passes on: the follower would look up a host name on its
// loop, or drop all changes beside it.
Test(FleetDistributor, anOddRouterDoesNotHideOtherChanges) {
  for (const char *Address : {"example.invalid:80", "127.0.0.1:65536", ""}) {
    RelayAndFollower P;
    P.RelayState.applyChange(FleetChange(StoredRouter{"odd", Address, 1, 2}),
                             {});
    P.RelayState.applyChange(FleetChange(server("s3", 3)), {});
    P.RelayState.recordSeenRevision(3);
    P.updateViews();
    cr_assert(P.runUntil([&P] { return P.FollowerState.seenRevision() >= 3; }),
              "%s", Address);
    const FleetView View = P.FollowerState.view();
    cr_expect(View.Servers->contains("s3"), "%s", Address);
    cr_expect_not(View.RouterEndpoints->contains("odd"), "%s", Address);
  }
}

Test(FleetDistributor, sendsAllChangesAfterTheFollowersRevision) {
  RelayAndFollower P;
  constexpr Revision ServerCount = 25;
  for (Revision ModRevision = 2; ModRevision < 2 + ServerCount; ++ModRevision)
    P.RelayState.applyChange(
        FleetChange(server("s" + std::to_string(ModRevision), ModRevision)),
        {});
  P.RelayState.applyChange(FleetChange(RemovedServer{"s2", 40}), {});
  P.RelayState.applyChange(
      FleetChange(StoredRouter{"r", "127.0.0.1:1", 0.5, 41}), {});
  P.RelayState.recordSeenRevision(50);
  P.updateViews();
  cr_assert(P.runUntil([&P] { return P.FollowerState.seenRevision() == 50; }));
  const FleetView Expected = P.RelayState.view();
  const FleetView Received = P.FollowerState.view();
  cr_assert_eq(Received.Servers->size(), ServerCount - 1);
  for (const auto &[Id, Listed] : *Expected.Servers) {
    const GatewayServer &Copy = Received.Servers->at(Id);
    cr_expect_eq(Copy.Service, Listed.Service);
    cr_expect_eq(Copy.Address, Listed.Address);
    cr_expect_eq(Copy.Zone, Listed.Zone);
    cr_expect_eq(Copy.Slots, Listed.Slots);
    cr_expect_eq(Copy.Version, Listed.Version);
  }
  cr_expect_eq(Received.RouterEndpoints->at("r").Cores, 0.5);
  cr_expect(Received.RouterEndpoints->at("r").Format == NewestMessageFormat);
}

// Guards against a router of the release before that cannot read what its relay
// sends, and one of this release that cannot follow the older one.
Test(FleetDistributor, routersOfTwoReleasesFollowEachOther) {
  RelayAndFollower P;
  for (auto &[Name, Endpoint] : P.Fleet.Endpoints)
    Endpoint.Format = MessageFormat::WithoutStreams;
  P.Fleet.publishList();
  P.RelayState.applyChange(FleetChange(server("s2", 2)), {});
  P.RelayState.recordSeenRevision(5);
  P.updateViews();
  cr_assert(P.runUntil([&P] { return P.FollowerState.seenRevision() == 5; }));
  const GatewayServer Copy = P.FollowerState.view().Servers->at("s2");
  cr_expect_eq(Copy.Slots, 7U);
  cr_expect_eq(Copy.Version, "", "the older format has no version");
}

// Guards against counting all sent changes as known if a datagram with changes
// is lost and the next one arrives: the router would send requests to a removed
// server.
Test(FleetDistributor, resendsLostChanges) {
  RelayAndFollower P;
  for (Revision ModRevision = 2; ModRevision < 40; ++ModRevision)
    P.RelayState.applyChange(
        FleetChange(server("s" + std::to_string(ModRevision), ModRevision)),
        {});
  P.RelayState.recordSeenRevision(40);
  P.UpdatesToDrop = 2;
  P.updateViews();
  cr_assert(P.runUntil([&P] { return P.FollowerState.seenRevision() == 40; }));
  cr_expect_eq(P.FollowerState.view().Servers->size(), 38);
}

// Guards against marking a revision as seen with only a part of its changes:
// the servers of a lost zone would keep getting requests. Their entries are
// deleted in one revision with more changes than fit into a message, and the
// second message is lost.
Test(FleetDistributor, aRevisionIsSeenOnlyWithAllOfItsChanges) {
  RelayAndFollower P;
  for (Revision ModRevision = 2; ModRevision < 27; ++ModRevision) {
    P.RelayState.applyChange(
        FleetChange(server("s" + std::to_string(ModRevision), ModRevision)),
        {});
    P.FollowerState.applyChange(
        FleetChange(server("s" + std::to_string(ModRevision), ModRevision)),
        {});
  }
  P.FollowerState.recordSeenRevision(30);
  for (Revision ModRevision = 2; ModRevision < 27; ++ModRevision)
    P.RelayState.applyChange(
        FleetChange(RemovedServer{"s" + std::to_string(ModRevision), 35}), {});
  P.RelayState.recordSeenRevision(36);
  P.updateViews();
  P.UpdatesToDrop = 0;
  cr_assert(P.runUntil([&P] {
    if (P.UpdatesReceived == 1)
      P.UpdatesToDrop = 1;
    return P.FollowerState.seenRevision() == 36;
  }));
  cr_expect(P.FollowerState.view().Servers->empty());
}

// Guards against sending changes only in reply to requests: followers would
// apply them half a second late.
Test(FleetDistributor, pushesChangesToRecentFollowers) {
  RelayAndFollower P;
  P.updateViews();
  TimePoint ChangedAt{};
  P.Fleet.Loop.after(100ms, [&] {
    P.RelayState.applyChange(FleetChange(server("s", 5)), {});
    P.RelayState.recordSeenRevision(5);
    ChangedAt = P.Fleet.Loop.clock().now();
    P.Relay.updateView(std::make_shared<FleetView>(P.RelayState.view()));
  });
  cr_assert(P.runUntil([&P] { return P.FollowerState.seenRevision() == 5; }));
  const Duration Delay = P.Fleet.Loop.clock().now() - ChangedAt;
  cr_expect_lt(Delay.count(), Duration(200ms).count());
}

// Guards against resending lost changes only with the next regular request, up
// to 2 s later: requests would reach a server too long after it started to
// drain. The datagram with that change is lost.
Test(FleetDistributor, requestsLostChangesAfterTheNextStatus) {
  RelayAndFollower P;
  P.updateViews();
  TimePoint ChangedAt{};
  P.Fleet.Loop.after(100ms, [&] {
    P.UpdatesToDrop = 1;
    P.RelayState.applyChange(FleetChange(server("s", 5)), {});
    P.RelayState.recordSeenRevision(5);
    ChangedAt = P.Fleet.Loop.clock().now();
    P.Relay.updateView(std::make_shared<FleetView>(P.RelayState.view()));
  });
  P.Fleet.Loop.after(300ms, [&] {
    P.RelayState.recordProof(Clock::sinceBoot().now());
    P.Relay.updateView(std::make_shared<FleetView>(P.RelayState.view()));
  });
  cr_assert(P.runUntil([&P] { return P.FollowerState.seenRevision() == 5; }));
  const Duration Delay = P.Fleet.Loop.clock().now() - ChangedAt;
  cr_expect_lt(Delay.count(), Duration(450ms).count());
}

// Guards against a router that lacks servers permanently: it was unreachable
// for longer than its relay's history, and would apply the relay's latest
// changes as if nothing were missing before them.
Test(FleetDistributor, aRelayReportsTheStartOfItsHistory) {
  RelayAndFollower P;
  FleetState Restarted;
  Restarted.applyLists(emptyLists(100), {});
  P.RelayState = Restarted;
  P.RelayState.applyChange(FleetChange(server("s", 105)), {});
  P.RelayState.recordSeenRevision(105);
  P.updateViews();
  cr_assert(P.runUntil([&P] { return P.LastStatus.has_value(); }));
  cr_expect_eq(P.UpdatesReceived, 0);
  cr_expect_eq(P.LastStatus->CompactRevision, 100);
  cr_expect_eq(P.LastStatus->SeenRevision, 105);
}

Test(FleetDistributor, switchesToAnotherRelay) {
  RelayAndFollower P;
  P.updateViews();
  cr_assert(P.runUntil([&P] { return P.LastStatus.has_value(); }));
  cr_assert(P.Follower.role() == RelayRole::Follower);
  P.Follower.switchRelay();
  P.Fleet.Loop.after(700ms, [&P] { P.Fleet.Loop.stop(); });
  P.LastStatus.reset();
  P.runUntil([] { return false; });
  cr_expect(P.Follower.role() == RelayRole::Relay);
}

namespace {

/// A small router and the relays of two clusters.
struct TwoClusters {
  TwoClusters()
      : Fleet(Clock::steady()), Small(Fleet.add("small", 0.01)),
        Follower(Fleet.Loop, Small, 1, RelayTimes::of({})) {
    // Five large routers, so that two of them are the relays of the clusters.
    for (const std::string Name :
         {"large1", "large2", "large3", "large4", "large5"})
      this->Relays.push_back(std::make_unique<FleetDistributor>(
          Fleet.Loop, Fleet.add(Name, 100), this->Relays.size() + 2,
          RelayTimes::of({})));
    // More than 48 routers form two clusters; these are listed but do not run.
    for (int Number = 0; Number < 50; ++Number)
      Fleet.Endpoints["idle" + std::to_string(Number)] = {"127.0.0.1:9", 0.001};
    cr_assert(Small.open([this](const RouterMessage &Message,
                                const Poco::Net::SocketAddress &From) {
      if (const auto *Status = std::get_if<FleetStatus>(&Message))
        this->Follower.onStatus(*Status, From);
    }));
    for (std::size_t Each = 0; Each < this->Relays.size(); ++Each)
      cr_assert(Fleet.Messengers[Each + 1]->open(
          [this, Each](const RouterMessage &Message,
                       const Poco::Net::SocketAddress &From) {
            if (const auto *Request = std::get_if<FleetStatusRequest>(&Message))
              this->Relays[Each]->onStatusRequest(*Request, From);
          }));
    Fleet.publishList();
    setView(this->Follower, {});
  }

  void setView(FleetDistributor &To, TimePoint ProvenAt) const {
    auto View = std::make_shared<FleetView>();
    View->RouterEndpoints = std::make_shared<RouterList>(this->Fleet.Endpoints);
    View->ProvenAt = ProvenAt;
    To.updateView(View);
  }

  /// Lets all relays but the disconnected one prove five times a second.
  void prove() {
    for (std::size_t Each = 0; Each < this->Relays.size(); ++Each) {
      const std::string Name = "large" + std::to_string(Each + 1);
      if (this->senderHash(Name) != this->DisconnectedRelay)
        setView(*this->Relays[Each], Clock::sinceBoot().now());
    }
    this->Fleet.Loop.after(200ms, [this] { this->prove(); });
  }

  std::uint64_t senderHash(const std::string &Name) const {
    return hashName(this->Fleet.Endpoints.at(Name).Address);
  }

  LoopbackRouters Fleet;
  RouterMessenger &Small;
  FleetDistributor Follower;
  std::vector<std::unique_ptr<FleetDistributor>> Relays;
  /// The sender hash of the relay without new proofs; 0 for none.
  std::uint64_t DisconnectedRelay = 0;
};

} // namespace

// Guards against routers of a cluster that read the store themselves for
// seconds: the store rejects their relay and serves the relays of the other
// clusters, so one of these must substitute. Fails without
// `FleetDistributor::requestOtherStatuses`.
Test(FleetDistributor, aRelayOfAnotherClusterSubstitutesForADisconnectedOne) {
  TwoClusters T;
  T.prove();
  std::optional<TimePoint> LastProofBefore;
  std::optional<Duration> Gap;
  T.Follower.start([&](const RelayMessage &Message) {
    const auto *Status = std::get_if<RelayStatus>(&Message);
    if (Status == nullptr || !Status->IsCurrentRelay)
      return;
    if (T.DisconnectedRelay == 0) {
      T.DisconnectedRelay = Status->SenderHash;
      LastProofBefore = Status->ProvenAt;
    } else if (Status->SenderHash != T.DisconnectedRelay) {
      Gap = Status->ProvenAt - *LastProofBefore;
      T.Fleet.Loop.stop();
    }
  });
  T.Fleet.Loop.after(4s, [&] { T.Fleet.Loop.stop(); });
  T.Fleet.Loop.run();
  cr_assert(Gap.has_value());
  // Before the router would read the store itself.
  cr_expect(*Gap < RelayTimes::of({}).MaxProofAge);
  cr_expect(T.Follower.role() == RelayRole::Follower);
}

// Guards against resending all changes with each request of a follower that
// lacks hundreds of changes, as after the loss of a zone, and repeats its
// request while they arrive: a relay would send megabytes per second. Fails
// without `ResendInterval`, with 36 messages.
Test(FleetDistributor, doesNotResendPendingChangesWithEachRequest) {
  RelayAndFollower P;
  for (Revision ModRevision = 2; ModRevision < 32; ++ModRevision)
    P.RelayState.applyChange(
        FleetChange(server("s" + std::to_string(ModRevision), ModRevision)),
        {});
  P.RelayState.recordSeenRevision(32);
  P.updateViews();
  const Poco::Net::SocketAddress Small(P.Fleet.Endpoints.at("small").Address);
  for (std::uint64_t Number = 100; Number < 110; ++Number)
    P.Relay.onStatusRequest({{1, Number}, 1}, Small);
  cr_assert_not(P.runUntil([] { return false; }));
  cr_expect_eq(P.FollowerState.seenRevision(), 32);
  cr_expect_leq(P.UpdatesReceived, 9, "%d messages", P.UpdatesReceived);
}

// Guards against sending all changes of a lost zone at once: the socket buffer
// holds about a hundred datagrams, and a follower would stay behind for seconds
// while the relay resends the others.
Test(FleetDistributor, sendsManyChangesInPartsThatFitTheBuffer) {
  RelayAndFollower P;
  for (Revision ModRevision = 2; ModRevision < 6002; ++ModRevision)
    P.RelayState.applyChange(
        FleetChange(server("s" + std::to_string(ModRevision), ModRevision)),
        {});
  P.RelayState.recordSeenRevision(6002);
  P.updateViews();
  cr_assert(
      P.runUntil([&P] { return P.FollowerState.seenRevision() == 6002; }));
  cr_expect_eq(P.FollowerState.view().Servers->size(), 6000U);
  // 600 messages of ten changes, each at most twice: a late event loop repeats
  // its request.
  cr_expect_leq(P.UpdatesReceived, 1200, "%d messages", P.UpdatesReceived);
}

// Guards against a draining relay that follows one of its own followers, so
// that neither of them reads the store's changes.
Test(FleetDistributor, aDrainingRelayFollowsNoneOfItsFollowers) {
  RelayAndFollower P;
  P.updateViews();
  P.Relay.start([](const RelayMessage &) {});
  cr_assert(P.Relay.role() == RelayRole::Relay);
  P.Fleet.Loop.after(100ms, [&P] { P.Large.leave(); });
  P.runUntil([] { return false; });
  cr_assert(P.Relay.role() == RelayRole::Relay);
  cr_assert(followsRelay(P.Follower.role()));
}
