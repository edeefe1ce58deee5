#include "Placement/StreamFleet.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <utility>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

enum class Operation {
  Begin,
  BreakOff,
  AddServer,
  RemoveServer,
  Kill,
  Restart,
  CutOff,
  Reconnect,
  LoseStreams,
  Wait,
};

using Step = std::tuple<Operation, std::size_t, std::size_t>;

rc::Gen<Step> steps() {
  return rc::gen::tuple(
      rc::gen::weightedElement<Operation>({{12, Operation::Begin},
                                           {4, Operation::BreakOff},
                                           {3, Operation::AddServer},
                                           {3, Operation::RemoveServer},
                                           {2, Operation::Kill},
                                           {2, Operation::Restart},
                                           {1, Operation::CutOff},
                                           {2, Operation::Reconnect},
                                           {2, Operation::LoseStreams},
                                           {6, Operation::Wait}}),
      rc::gen::inRange<std::size_t>(0, 1000),
      rc::gen::inRange<std::size_t>(0, 1000));
}

void apply(StreamFleet &Fleet, const Step &Each, std::size_t Routers) {
  const auto &[What, Which, Amount] = Each;
  const std::size_t Router = Which % Routers;
  switch (What) {
  case Operation::Begin:
    for (std::size_t I = 0; I <= Amount % 8; ++I)
      Fleet.begin(Router);
    break;
  case Operation::BreakOff:
    Fleet.breakOff(Which);
    break;
  case Operation::AddServer:
    Fleet.addServer("v" + std::to_string(Amount % 3));
    break;
  case Operation::RemoveServer:
    Fleet.removeServer(Which);
    break;
  case Operation::Kill:
    Fleet.killRouter(Router);
    break;
  case Operation::Restart:
    Fleet.restartRouter(Router);
    break;
  case Operation::CutOff:
    Fleet.setCutOff(Router, true);
    break;
  case Operation::Reconnect:
    Fleet.setCutOff(Router, false);
    break;
  case Operation::LoseStreams:
    Fleet.loseStreamsOf(Router);
    break;
  case Operation::Wait:
    Fleet.advance(std::chrono::milliseconds(Amount));
    break;
  }
}

void addTwoOfEachVersion(StreamFleet &Fleet) {
  for (const char *Version : {"v1", "v2", "v1", "v2"})
    Fleet.addServer(Version);
}

} // namespace

// Guards against a caller that gets events of two versions after any history
// of crashes, restarts, cuts, lost datagrams and lists that lag.
Test(StreamDirectory, noHistoryMixesVersions, .timeout = 280) {
  setenv("RC_PARAMS", "seed=1 max_success=300 max_size=80", 0);
  cr_assert(rc::check("versions", [] {
    const auto Routers = *rc::gen::inRange<std::size_t>(1, 9);
    StreamFleet::Options Options;
    Options.Routers = Routers;
    Options.Zones = *rc::gen::inRange<std::size_t>(1, 4);
    Options.LostPercent = *rc::gen::element(0U, 5U, 40U);
    Options.Seed = *rc::gen::arbitrary<std::uint64_t>();
    // A part of the fleet may be of the release before.
    if (*rc::gen::inRange(0, 4) == 0)
      Options.FirstOldRouter = (Routers + 1) / 2;
    const auto History = *rc::gen::container<std::vector<Step>>(steps());
    StreamFleet Fleet(Options);
    addTwoOfEachVersion(Fleet);
    for (const Step &Each : History)
      apply(Fleet, Each, Routers);
    Fleet.advance(1s);
    RC_ASSERT(Fleet.mixedStreams() == 0U);
  }));
}

// Guards against streams that are lost with the router that began them.
Test(StreamDirectory, streamsGoOnAfterACrashOfAnyRouter) {
  for (const std::size_t Routers : {2U, 6U, 302U}) {
    StreamFleet Fleet({Routers, 3});
    addTwoOfEachVersion(Fleet);
    for (std::size_t Router = 0; Router < Routers; ++Router)
      for (int I = 0; I < 4; ++I)
        Fleet.begin(Router);
    Fleet.advance(100ms);
    Fleet.killRouter(1);
    Fleet.advance(500ms);
    cr_assert_eq(Fleet.takenUp(), 4U);
    cr_assert_eq(Fleet.continued(), 4U, "%zu of 4 at %zu routers",
                 Fleet.continued(), Routers);
  }
}

// Guards against versions that are forgotten while all routers restart, each
// before the streams of the one before have ended.
Test(StreamDirectory, streamsGoOnWhileRoutersRestartInTurn) {
  StreamFleet Fleet({6, 2});
  addTwoOfEachVersion(Fleet);
  for (std::size_t Router = 0; Router < 6; ++Router)
    for (int I = 0; I < 20; ++I)
      Fleet.begin(Router);
  for (std::size_t Router = 0; Router < 6; ++Router) {
    Fleet.restartRouter(Router);
    Fleet.advance(1300ms);
  }
  Fleet.advance(5s);
  cr_assert_geq(Fleet.takenUp(), 120U);
  cr_assert_eq(Fleet.continued(), Fleet.takenUp());
}

// Guards against versions that are forgotten as router after router crashes and
// starts again under its old entry.
Test(StreamDirectory, streamsGoOnWhileRoutersCrashInTurn) {
  StreamFleet Fleet({6, 2});
  addTwoOfEachVersion(Fleet);
  for (int I = 0; I < 60; ++I)
    Fleet.begin(0);
  for (std::size_t Router = 0; Router < 6; ++Router) {
    Fleet.advance(300ms);
    Fleet.killRouter(Router);
  }
  Fleet.advance(1s);
  cr_assert_geq(Fleet.takenUp(), 60U);
  cr_assert_eq(Fleet.continued(), Fleet.takenUp());
}

// Guards against streams that go on at another version behind one or two kills
// of all routers that could tell, with the servers of their version still there
// or gone, beside a router that was cut off meanwhile: it keeps its records and
// comes back with the list of before the release.
Test(StreamDirectory, mixesNoVersionsBehindKillsOfAllRouters) {
  for (const auto &[Kills, OldLeave] :
       {std::pair{1, false}, {1, true}, {2, false}, {2, true}}) {
    StreamFleet Fleet({6, 2});
    for (const char *Version : {"v1", "v1"})
      Fleet.addServer(Version);
    for (int I = 0; I < 60; ++I)
      Fleet.begin(0);
    Fleet.advance(100ms);
    Fleet.setCutOff(5, true);
    for (const char *Version : {"v2", "v2"})
      Fleet.addServer(Version);
    for (int I = 0; OldLeave && I < 2; ++I)
      Fleet.removeServer(0);
    for (int Kill = 0; Kill < Kills; ++Kill)
      for (std::size_t Router = 0; Router < 5; ++Router)
        Fleet.killRouter(Router);
    Fleet.setCutOff(5, false);
    Fleet.advance(500ms);
    for (std::size_t Router = 0; Router < 6; ++Router)
      Fleet.loseStreamsOf(Router);
    Fleet.advance(500ms);
    cr_assert_eq(Fleet.mixedStreams(), 0U);
    cr_assert_eq(Fleet.streamCount(), 60U);
  }
}

// Guards against streams that are lost where every tenth datagram is.
Test(StreamDirectory, mostStreamsGoOnDespiteLostDatagrams) {
  StreamFleet::Options Options;
  Options.LostPercent = 10;
  StreamFleet Fleet(Options);
  addTwoOfEachVersion(Fleet);
  for (int I = 0; I < 400; ++I)
    Fleet.begin(0);
  Fleet.advance(100ms);
  Fleet.killRouter(0);
  Fleet.advance(1s);
  cr_assert_eq(Fleet.takenUp(), 400U);
  cr_assert_geq(Fleet.continued() * 10, Fleet.takenUp() * 9, "%zu went on",
                Fleet.continued());
}

// Guards against two streams with one id, one of which goes on at the version
// of the other.
Test(StreamDirectory, believesNoneOfTwoVersionsOfOneStream) {
  StreamDirectory Directory("r0");
  const StreamKey Key = streamKeyOf("a", "q");
  Directory.bind(Key, {1}, 10s, TimePoint{});
  StreamsBound Other;
  Other.Bindings.push_back({Key, {2}, 100});
  Directory.onBound(Other, TimePoint{});
  Directory.find({1, 1}, Key, TimePoint{});
  const auto Finished = Directory.takeFinished();
  cr_assert_eq(Finished.size(), 1U);
  cr_assert_eq(Finished[0].Origin.Result, StreamLookupResult::Disputed);
}

// Guards against an account that learns or steers the streams of another one.
Test(StreamDirectory, accountsHaveStreamsOfTheirOwn) {
  cr_assert_neq(streamKeyOf("a", "q").Value, streamKeyOf("b", "q").Value);
  cr_assert_neq(streamKeyOf("a", "bq").Value, streamKeyOf("ab", "q").Value);
}

// Guards against records that grow without bound, and against a flood of long
// ones that pushes out all others.
Test(StreamDirectory, recordsAreBoundedAndExpire) {
  StreamRecords Records;
  TimePoint Now{};
  for (std::uint64_t I = 0; I < StreamRecords::MaxRecords + 100; ++I)
    Records.add({I}, {1}, 10s + std::chrono::milliseconds(I), Now);
  cr_assert_eq(Records.size(), StreamRecords::MaxRecords);
  cr_assert_eq(Records.droppedCount(), 100U);
  cr_assert_eq(Records.find({0}, Now).Result, StreamLookupResult::Unknown);
  cr_assert_eq(Records.find({200}, Now).Result, StreamLookupResult::Known);
  Now += 60s;
  cr_assert_eq(Records.find({200}, Now).Result, StreamLookupResult::Unknown);
  Records.removeExpired(Now);
  cr_assert_eq(Records.size(), 0U);
}
