#include "Decision/MembershipNetwork.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Views agree within this time after all faults have been repaired: the sum of
/// the maximum time that a flapping router is excluded, a suspicion timeout,
/// and two State requests.
constexpr Duration AgreementBound = 60s;

MembershipNetwork formNetwork(std::size_t Size, std::uint64_t Seed) {
  MembershipNetwork Network(Seed);
  Network.addMany(Size);
  cr_assert_lt(Network.runUntil([&] { return Network.agreed(); }, 30s).count(),
               Duration(30s).count());
  Network.run(10s);
  return Network;
}

bool becomesTrue(MembershipNetwork &Network,
                 const std::function<bool()> &Condition, Duration Limit) {
  return Network.runUntil(Condition, Limit) < Limit;
}

} // namespace

// Guards against requests that are handed over to a crashed router: no message
// reports the crash of one of eight routers, so that only pings and suspicions
// remove it from the views. Fails without `expireSuspects`; see docs/PEERS.md,
// mutation 1.
Test(Membership, CrashIsKnownToAllWithinSeconds) {
  MembershipNetwork Network = formNetwork(8, 1);
  Network.crash(3);
  cr_assert(becomesTrue(
      Network, [&] { return Network.knownByAll(3, false); }, 8s));
}

// Guards against a healthy router that is declared dead, which moves its
// servers: one in ten datagrams is lost for two minutes, and a single lost ping
// would count as a failure without indirect pings and refutation. Fails without
// `refute`; see docs/PEERS.md, mutation 2.
Test(Membership, PacketLossDoesNotChangeViews) {
  MembershipNetwork Network = formNetwork(8, 2);
  std::uint64_t Before = 0;
  std::uint64_t After = 0;
  for (std::size_t Index = 0; Index < 8; ++Index)
    Before += Network.at(Index).ViewChanges;
  Network.LossPercent = 10;
  Network.run(120s);
  for (std::size_t Index = 0; Index < 8; ++Index)
    After += Network.at(Index).ViewChanges;
  cr_assert_eq(After, Before);
}

// Guards against a healthy router that is suspected repeatedly because the path
// between two routers is broken: one router must not take the state of a path
// for the state of the other router. Fails without `probeIndirectly`; see
// docs/PEERS.md, mutation 8.
Test(Membership, BrokenPathBetweenTwoRaisesNoSuspicion) {
  MembershipNetwork Network = formNetwork(8, 13);
  Network.BrokenPath = {Network.at(2).Address, Network.at(6).Address};
  Network.run(60s);
  for (std::size_t Index = 0; Index < 8; ++Index)
    cr_assert_eq(Network.at(Index).Table->dump()->getValue<int>("suspicions"),
                 0);
  cr_assert(Network.agreed());
}

// Guards against two halves of a fleet that do not rejoin after a partition
// that outlasts all suspicions: each half believes the other one dead and does
// not ping it, and the seeds are all in one half and know only that half. Fails
// without `probeDead`; see docs/PEERS.md, mutation 3.
Test(Membership, PartitionedHalvesRejoin) {
  MembershipNetwork Network(3);
  Network.Adjust = [](MembershipSettings &Settings) {
    Settings.SeedInterval = std::chrono::hours(1);
  };
  Network.addMany(8);
  Network.run(20s);
  cr_assert(Network.agreed());
  for (std::size_t Index = 0; Index < 4; ++Index)
    Network.at(Index).Side = 1;
  Network.run(60s);
  cr_assert(Network.knownByAll(0, false) || !Network.agreed());
  for (std::size_t Index = 0; Index < 4; ++Index)
    Network.at(Index).Side = 0;
  cr_assert(becomesTrue(
      Network, [&] { return Network.agreed(); }, AgreementBound));
}

// Guards against routers that disappear from the views of their own half when a
// partition ends, because a State message of the other half declares them dead
// although they are healthy. Fails if `applyRumour` accepts the status dead
// from a State message; see docs/PEERS.md, mutation 4.
Test(Membership, StateOfTheOtherHalfRemovesNobody) {
  MembershipNetwork Network = formNetwork(8, 4);
  MembershipMessage State;
  State.Kind = MembershipKind::State;
  for (std::size_t Index = 2; Index < 8; ++Index)
    State.Rumours.push_back({Network.at(Index).id(),
                             Network.at(Index).IncarnationNumber, 0,
                             MemberStatus::Dead, false});
  Network.handle(0, MembershipMessageReceived{Network.at(1).id(),
                                              Network.at(1).IncarnationNumber,
                                              State, ""});
  for (int Step = 0; Step < 300; ++Step) {
    cr_assert_eq(Network.at(0).Table->view().Members.size(), 8);
    Network.run(50ms);
  }
  cr_assert(Network.agreed());
}

// After a partition of 40 s, no router disappears from the views of its own
// half.
Test(Membership, EndOfAPartitionRemovesNobody) {
  MembershipNetwork Network = formNetwork(16, 4);
  for (std::size_t Index = 0; Index < 8; ++Index)
    Network.at(Index).Side = 1;
  Network.run(40s);
  for (std::size_t Index = 0; Index < 8; ++Index)
    Network.at(Index).Side = 0;
  for (int Step = 0; Step < 600; ++Step) {
    Network.run(50ms);
    for (std::size_t Viewer = 0; Viewer < 16; ++Viewer)
      for (std::size_t Seen = 0; Seen < 16; ++Seen)
        cr_assert(Viewer / 8 != Seen / 8 || Viewer == Seen ||
                  Network.sees(Viewer, Seen));
  }
  cr_assert(Network.agreed());
}

// Guards against a resumed process that continues to act under a name that
// another process has taken: the first one is paused, the second one starts
// under its name at another address, and nobody notifies the first one, because
// its name now resolves to the other address. Fails without the response to an
// older incarnation in `acceptSender`; see docs/PEERS.md, mutation 5.
Test(Membership, ResumedProcessLearnsOfItsSuccessor) {
  MembershipNetwork Network = formNetwork(6, 5);
  Network.at(4).Paused = true;
  Network.run(1s);
  const std::size_t Successor =
      Network.add(Network.at(4).Name, "10.2.0.1:7400");
  cr_assert(becomesTrue(
      Network, [&] { return Network.knownByAll(Successor, true); }, 15s));
  Network.at(4).Paused = false;
  cr_assert(becomesTrue(
      Network, [&] { return Network.at(4).Superseded; }, 5s));
  cr_assert(Network.agreed());
}

// Guards against a resumed process that declares the complete fleet dead: it is
// paused for 30 s, its own timers expire, and it counts the acks that it missed
// against the other routers. Fails without the check of the gap between ticks;
// see docs/PEERS.md, mutation 6.
Test(Membership, ResumedProcessDoesNotSuspectOthers) {
  MembershipNetwork Network = formNetwork(8, 6);
  const RouterId PausedRouter = Network.at(2).id();
  MembershipTable &Table = *Network.at(2).Table;
  // A suspicion is pending when the process is paused.
  const MemberRumour Suspicion{Network.at(5).id(),
                               Network.at(5).IncarnationNumber, 0,
                               MemberStatus::Suspect, false};
  MembershipMessage Message;
  Message.Rumours = {Suspicion};
  Network.handle(2, MembershipMessageReceived{Network.at(1).id(),
                                              Network.at(1).IncarnationNumber,
                                              Message, ""});
  Network.at(2).Paused = true;
  Network.run(30s);
  Network.at(2).Paused = false;
  Network.run(100ms);
  cr_assert_eq(Table.view().Members.size(), 8);
  cr_assert(becomesTrue(
      Network, [&] { return Network.agreed(); }, AgreementBound));
  cr_assert_eq(Table.view().Self.Value, PausedRouter.Value);
}

// Guards against a router that is still considered alive although another one
// has replaced it at the same address: a VM is replaced by one with another
// name and the same address, and pings to the old name are answered.
Test(Membership, AddressBelongsToItsLatestIncarnation) {
  MembershipNetwork Network = formNetwork(6, 7);
  const std::string Address = Network.at(5).Address;
  Network.crash(5);
  const std::size_t Next = Network.add("successor", Address);
  cr_assert(becomesTrue(
      Network,
      [&] {
        return Network.knownByAll(Next, true) && Network.knownByAll(5, false);
      },
      10s));
}

// Guards against a router that is unknown, or known by its previous
// incarnation, after it crashes and starts again within 2 s under the same name
// and address, while the other routers still believe the previous incarnation
// alive.
Test(Membership, RestartIsKnownByItsNewIncarnation) {
  MembershipNetwork Network = formNetwork(8, 8);
  Network.crash(6);
  Network.run(2s);
  Network.start(6);
  cr_assert(becomesTrue(
      Network, [&] { return Network.agreed(); }, 10s));
}

// Guards against ownership of servers that moves every second: one router
// restarts every 6 s for two minutes, and each return would change all views
// immediately. Fails without `recordReturn`; see docs/PEERS.md, mutation 7.
Test(Membership, FlappingRouterIsExcludedFromTheView) {
  MembershipNetwork Network = formNetwork(6, 9);
  const std::uint64_t Before = Network.at(0).ViewChanges;
  for (int Flap = 0; Flap < 20; ++Flap) {
    Network.crash(5);
    Network.run(5s);
    Network.start(5);
    Network.run(1s);
  }
  cr_assert_leq(Network.at(0).ViewChanges - Before, 14);
  cr_assert(becomesTrue(
      Network, [&] { return Network.agreed(); }, AgreementBound));
}

// Guards against requests that are sent to a draining router: a rumour that
// waits for the next ping reaches the others too late.
Test(Membership, DrainIsAnnouncedImmediately) {
  MembershipNetwork Network = formNetwork(8, 10);
  Network.handle(1, DrainRequested{});
  const auto DrainKnown = [&](std::size_t Viewer) {
    for (const Member &Known : Network.at(Viewer).Table->view().Members)
      if (Known.Router == Network.at(1).id())
        return Known.Draining;
    return false;
  };
  cr_assert(becomesTrue(
      Network,
      [&] {
        for (std::size_t Viewer = 0; Viewer < 8; ++Viewer)
          if (!DrainKnown(Viewer))
            return false;
        return true;
      },
      500ms));
}

// Guards against a healthy router that is removed because the platform's list,
// which lags behind, names it as leaving. The list must not override what the
// routers know themselves.
Test(Membership, ListOfVmsNeverOverridesDirectKnowledge) {
  MembershipNetwork Network = formNetwork(8, 11);
  const MembershipNetwork::Router &Named = Network.at(3);
  for (std::size_t Index = 0; Index < 8; ++Index)
    if (Index != 3)
      Network.handle(Index, VmListChanged{{},
                                          {{Named.id(), Named.IncarnationNumber,
                                            Named.Address}}});
  for (int Step = 0; Step < 100; ++Step) {
    Network.run(100ms);
    cr_assert(Network.knownByAll(3, true));
  }
}

// A router whose seeds no longer exist joins through a lease in the store.
Test(Membership, RouterWithoutSeedsJoinsThroughALease) {
  MembershipNetwork Network = formNetwork(6, 12);
  Network.Adjust = [](MembershipSettings &Settings) { Settings.Seeds.clear(); };
  const std::size_t Late = Network.add("late", "10.3.0.1:7400");
  Network.run(5s);
  cr_assert_not(Network.knownByAll(Late, true));
  Network.handle(
      Late, LeaseListed{{{Network.at(4).id(), Network.at(4).IncarnationNumber,
                          Network.at(4).Address}}});
  cr_assert(becomesTrue(
      Network, [&] { return Network.agreed(); }, 10s));
}

// Guards against views that differ permanently after faults, because of a
// precedence rule for rumours that is not the same on all routers. Runs random
// crashes, restarts, pauses, partitions and message loss, and repairs all
// faults at the end. The invariants inside the tables are checked throughout.
// Fails without `refute` and without `probeDead`; see docs/PEERS.md, mutations
// 2 and 3.
Test(Membership, ViewsAgreeAfterAnyFaults) {
  // RC_PARAMS in the environment selects other seeds and longer runs.
  setenv("RC_PARAMS", "seed=20 max_success=100", 0);
  const bool Passed = rc::check("views agree after any faults", [] {
    const auto Seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    const auto Size = *rc::gen::inRange<std::size_t>(3, 11);
    const auto Faults = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::inRange(0U, 7U * 16U));
    MembershipNetwork Network(Seed);
    Network.addMany(Size);
    Network.run(5s);
    for (const unsigned Fault : Faults) {
      const std::size_t Index = (Fault / 7) % Size;
      MembershipNetwork::Router &Router = Network.at(Index);
      switch (Fault % 7) {
      case 0:
        Network.crash(Index);
        break;
      case 1:
        Network.start(Index);
        break;
      case 2:
        Router.Side = 1 - Router.Side;
        break;
      case 3:
        Router.Paused = !Router.Paused;
        break;
      case 4:
        Network.LossPercent = Fault % 30;
        break;
      case 5:
        Network.run(8s);
        break;
      default:
        Network.run(1s);
      }
      Network.run(300ms);
    }
    Network.LossPercent = 0;
    for (std::size_t Index = 0; Index < Size; ++Index) {
      MembershipNetwork::Router &Router = Network.at(Index);
      Router.Side = 0;
      Router.Paused = false;
      if (!Router.Table)
        Network.start(Index);
    }
    const Duration Elapsed =
        Network.runUntil([&] { return Network.agreed(); }, AgreementBound);
    RC_ASSERT(Elapsed < AgreementBound);
  });
  cr_assert(Passed);
}
