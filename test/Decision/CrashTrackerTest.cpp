#include "Decision/CrashFleet.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Deadly = 1;
constexpr std::uint64_t Innocent = 2;

/// The request crashes servers 1 to 3, each time at the next of two routers.
void crashThree(CrashFleet &Fleet) {
  for (std::uint64_t Server = 1; Server <= 3; ++Server) {
    Fleet.crash(1 + Server % 2, Deadly, Server);
    Fleet.run(100ms);
  }
}

} // namespace

// Guards against a request that crashes one server after another because each
// router counts only the crashes that it observed itself.
Test(CrashTracker, crashesObservedByThreeRoutersCountTogether) {
  CrashFleet Fleet(3, 10);
  for (std::uint64_t Each = 1; Each <= 3; ++Each) {
    cr_assert(Fleet.accepts(1, Deadly));
    cr_assert(Fleet.crash(Each, Deadly, Each));
  }
  cr_assert(Fleet.allRefuse(Deadly));
  cr_assert(Fleet.accepts(1, Innocent));
}

// Guards against taking a reset connection for a crash.
Test(CrashTracker, resetConnectionsAreNoCrashes) {
  CrashFleet Fleet(2, 10);
  for (std::uint64_t Server = 1; Server <= 5; ++Server) {
    cr_assert(
        Fleet.lose(1, Deadly, Server, ConnectOutcome::Listening, Fleet.Now));
    Fleet.run(1s);
  }
  cr_assert_eq(Fleet.crashCount(1, Deadly), 0U);
  cr_assert_eq(Fleet.Checks, 5U);
}

// Guards against taking a crash for a reset because the ending process closed
// the connection of the request before it stopped accepting others.
Test(CrashTracker, aServerThatRefusesTheSecondCheckHasCrashed) {
  CrashFleet Fleet(2, 10);
  Fleet.lose(1, Deadly, 1, ConnectOutcome::Listening, Fleet.Now);
  Fleet.ServerStates[1] = ConnectOutcome::Refused;
  Fleet.run(200ms);
  cr_assert_eq(Fleet.crashCount(1, Deadly), 1U);
  cr_assert_eq(Fleet.crashCount(2, Deadly), 1U);
}

// Guards against a crash that is dismissed by a check of an earlier reset.
Test(CrashTracker, aCheckSaysNothingAboutLaterLosses) {
  CrashFleet Fleet(1, 10);
  Fleet.lose(1, Innocent, 1, ConnectOutcome::Listening, Fleet.Now);
  Fleet.run(95ms);
  Fleet.lose(1, Deadly, 1, ConnectOutcome::Listening, Fleet.Now);
  Fleet.run(60ms);
  cr_assert_eq(Fleet.Checks, 1U);
  Fleet.ServerStates[1] = ConnectOutcome::Refused;
  Fleet.run(1s);
  cr_assert_eq(Fleet.crashCount(1, Deadly), 1U);
  cr_assert_eq(Fleet.crashCount(1, Innocent), 0U);
}

// Guards against a crash that is missed because the server's host does not
// answer at first.
Test(CrashTracker, anUnreachableServerIsCheckedAgain) {
  CrashFleet Fleet(1, 10);
  Fleet.ServerStates[1] = ConnectOutcome::Unknown;
  Fleet.lose(1, Deadly, 1, ConnectOutcome::Unknown, Fleet.Now);
  Fleet.run(3s);
  cr_assert_eq(Fleet.crashCount(1, Deadly), 0U);
  Fleet.ServerStates[1] = ConnectOutcome::Refused;
  Fleet.run(2s);
  cr_assert_eq(Fleet.crashCount(1, Deadly), 1U);
}

// Guards against checking unreachable servers forever.
Test(CrashTracker, anUnreachableServerIsDismissedAfterSomeTime) {
  CrashFleet Fleet(1, 10);
  Fleet.ServerStates[1] = ConnectOutcome::Unknown;
  Fleet.lose(1, Deadly, 1, ConnectOutcome::Unknown, Fleet.Now);
  Fleet.run(7s);
  const std::size_t Before = Fleet.Checks;
  Fleet.ServerStates[1] = ConnectOutcome::Refused;
  Fleet.run(10s);
  cr_assert_eq(Fleet.Checks, Before);
  cr_assert_eq(Fleet.crashCount(1, Deadly), 0U);
}

// Guards against missing a crash whose connection fell silent, so that the
// router cancelled the attempt.
Test(CrashTracker, aSilentAttemptIsChecked) {
  CrashFleet Fleet(1, 10);
  Fleet.ServerStates[1] = ConnectOutcome::Refused;
  Fleet.lose(1, Deadly, 1, std::nullopt, Fleet.Now);
  Fleet.run(100ms);
  cr_assert_eq(Fleet.crashCount(1, Deadly), 1U);
}

// Guards against counting a server's planned end against its requests.
Test(CrashTracker, leavingAndRemovedServersDoNotCrash) {
  CrashFleet Fleet(1, 10);
  Fleet.handle(1,
               ServerConditionChanged{ServerId{1}, ServerCondition::Leaving});
  Fleet.crash(1, Deadly, 1);
  Fleet.lose(1, Deadly, 2, ConnectOutcome::Listening, Fleet.Now);
  Fleet.ServerStates[2] = ConnectOutcome::Refused;
  Fleet.declare(1, 1);
  Fleet.run(1s);
  cr_assert_eq(Fleet.crashCount(1, Deadly), 0U);
}

// Guards against refusing a request for one crash that several routers
// observed.
Test(CrashTracker, oneCrashObservedByAllRoutersCountsOnce) {
  CrashFleet Fleet(4, 10);
  Fleet.Disconnected = {1, 2, 3, 4};
  for (std::uint64_t Router = 1; Router <= 4; ++Router)
    Fleet.crash(Router, Innocent, 1);
  Fleet.Disconnected.clear();
  Fleet.run(5s);
  cr_assert_eq(Fleet.crashCount(1, Innocent), 1U);
  cr_assert(Fleet.accepts(1, Innocent));
}

// Guards against a request that crashes the same restarted server again and
// again.
Test(CrashTracker, eachCrashOfARestartedServerCounts) {
  CrashFleet Fleet(2, 1);
  for (std::uint64_t Crash = 0; Crash < 3; ++Crash) {
    cr_assert(Fleet.crash(1 + Crash % 2, Deadly, 1));
    Fleet.run(1s);
  }
  cr_assert(Fleet.allRefuse(Deadly));
}

// Guards against counting a crash again for requests that were sent on an idle
// connection to the process that had crashed.
Test(CrashTracker, connectionsToACrashedProcessShowNoNewCrash) {
  CrashFleet Fleet(1, 10);
  const TimePoint BeforeCrash = Fleet.Now;
  Fleet.run(1s);
  Fleet.crash(1, Deadly, 1);
  for (int Attempt = 0; Attempt < 5; ++Attempt)
    Fleet.lose(1, Innocent, 1, ConnectOutcome::Refused, BeforeCrash);
  cr_assert_eq(Fleet.crashCount(1, Innocent), 1U);
}

// Guards against refusing a request that was served since its crashes.
Test(CrashTracker, aCompleteResponseClearsAllCrashes) {
  CrashFleet Fleet(2, 10);
  Fleet.crash(1, Innocent, 1);
  Fleet.crash(1, Innocent, 2);
  Fleet.complete(2, Innocent);
  Fleet.crash(1, Innocent, 3);
  cr_assert_eq(Fleet.crashCount(1, Innocent), 1U);
  cr_assert_eq(Fleet.crashCount(2, Innocent), 1U);
}

// Guards against requests that stay at servers or in queues after their content
// has been refused because of another request.
Test(CrashTracker, openRequestsWithTheSameContentAreRefused) {
  CrashFleet Fleet(2, 10);
  CrashTracker Tracker(1);
  const auto Active = std::make_shared<Declarations>();
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    Active->Servers[ServerId{Server}] = {};
  Tracker.handle(Fleet.Now, DeclarationsChanged{Active});
  cr_assert(Tracker.open(Fleet.Now, RequestId{7}, contentOf(Deadly)));
  cr_assert(Tracker.open(Fleet.Now, RequestId{8}, contentOf(Innocent)));
  CrashFacts Facts;
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    Facts.Facts.push_back({contentOf(Deadly), {Server, 1}, false, 0});
  std::vector<RequestId> Refused;
  for (const CrashAction &Emitted : Tracker.handle(
           Fleet.Now, CrashFactsReceived{RouterId{2}, std::move(Facts)}))
    if (const auto *Refusal = std::get_if<RefuseRequest>(&Emitted))
      Refused.push_back(Refusal->Request);
  cr_assert_eq(Refused.size(), 1U);
  cr_assert_eq(Refused.at(0).Value, 7U);
  cr_assert_not(Tracker.acquireStart(RequestId{7}));
  cr_assert(Tracker.acquireStart(RequestId{8}));
}

// Guards against routers that never learn of a crash because datagrams are
// lost.
Test(CrashTracker, lostDatagramsAreMadeUpFor) {
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    CrashFleet Fleet(12, 10, Seed);
    Fleet.LossProbability = 0.5;
    crashThree(Fleet);
    Fleet.run(10s);
    cr_assert(Fleet.allRefuse(Deadly), "seed %u", Seed);
  }
}

// Guards against a router that was disconnected during the crashes.
Test(CrashTracker, aDisconnectedRouterLearnsLater) {
  CrashFleet Fleet(4, 10);
  Fleet.Disconnected = {4};
  crashThree(Fleet);
  cr_assert(Fleet.accepts(4, Deadly));
  Fleet.run(60s);
  Fleet.Disconnected.clear();
  Fleet.run(5s);
  cr_assert(Fleet.allRefuse(Deadly));
}

// Guards against a router that starts after the crashes.
Test(CrashTracker, aRestartedRouterAsksForFacts) {
  CrashFleet Fleet(4, 10);
  crashThree(Fleet);
  Fleet.run(120s);
  Fleet.restart(4);
  cr_assert(Fleet.allRefuse(Deadly));
}

// Guards against reports that do not fit into a datagram, and against traffic
// that grows with the fleet.
Test(CrashTracker, trafficOfACrashIsBounded) {
  constexpr std::size_t FactsPerDatagram = 25;
  constexpr std::size_t MessagesPerRouterAndReport = 4;
  constexpr std::size_t Routers = 60;
  CrashFleet Fleet(Routers, 10);
  Fleet.SentFacts.clear();
  for (std::uint64_t Content = 1; Content <= 30; ++Content)
    Fleet.lose(1, Content, 1, ConnectOutcome::Listening, Fleet.Now);
  Fleet.ServerStates[1] = ConnectOutcome::Refused;
  Fleet.run(200ms);
  cr_assert_leq(std::ranges::max(Fleet.SentFacts), FactsPerDatagram);
  constexpr std::size_t Reports = 2 * Routers;
  constexpr std::size_t Gossip = Routers;
  cr_assert_leq(Fleet.SentFacts.size(),
                Reports * MessagesPerRouterAndReport + Gossip);
  Fleet.run(5s);
  for (std::uint64_t Router = 1; Router <= Routers; ++Router)
    cr_assert_eq(Fleet.crashCount(Router, 30), 1U);
}

// Guards against a request that is refused forever, and against probes by
// several routers.
Test(CrashTracker, oneRouterProbesARefusedRequestOnce) {
  CrashFleet Fleet(4, 10);
  crashThree(Fleet);
  Fleet.run(1s);
  Fleet.Now += 11min;
  Fleet.run(2s);
  std::size_t Accepted = 0;
  for (std::uint64_t Router = 1; Router <= 4; ++Router)
    for (int Attempt = 0; Attempt < 2; ++Attempt)
      Accepted += Fleet.accepts(Router, Deadly) ? 1 : 0;
  cr_assert_eq(Accepted, 1U);
}
