#include "Gateway/FleetDistributor.h"
#include "Gateway/FleetState.h"
#include "Gateway/FleetUpdateItems.h"

#include <criterion/criterion.h>
#include <limits>

using namespace parsleywing;

namespace {

constexpr std::size_t AllMessages = std::numeric_limits<std::size_t>::max();

StoredServer server(const std::string &Id, Revision ModRevision) {
  GatewayServer Server;
  Server.Id = Id;
  Server.Address = Poco::Net::SocketAddress("127.0.0.1:80");
  return {Server, ModRevision};
}

FleetLists lists(Revision ReadRevision, std::vector<StoredServer> Servers) {
  return {{std::move(Servers), ReadRevision},
          {{}, ReadRevision},
          {{}, ReadRevision}};
}

/// A relay that has read the lists at 40 and, behind a gap, at 60.
FleetState stateBehindAGap() {
  FleetState Relay;
  Relay.applyLists(lists(20, {server("gone", 10), server("stays", 11)}), {});
  Relay.applyChange(FleetChange(server("before", 30)), {});
  Relay.recordSeenRevision(40);
  Relay.applyLists(
      lists(60, {server("stays", 11), server("before", 30), server("new", 50)}),
      {});
  Relay.applyChange(FleetChange(server("after", 65)), {});
  Relay.recordSeenRevision(70);
  return Relay;
}

/// Applies what a relay sends to a router that knows all changes up to `Seen`.
/// Returns false if the relay cannot serve it.
bool follow(FleetState &Relay, FleetState &Follower) {
  const FleetView View = Relay.view();
  const Revision Seen = Follower.seenRevision();
  if (View.History->completeFrom(Seen) > Seen)
    return false;
  for (const FleetUpdate &Each :
       updatesAfter(*View.History, Seen, View.SeenRevision, AllMessages)) {
    RelayUpdate Update{Each.AfterRevision, Each.ToRevision, {}, Each.Source};
    cr_assert(Update.appliesTo(Follower.seenRevision()));
    for (const FleetUpdateItem &Item : Each.Items)
      Update.Changes.push_back(changeOf(Item));
    if (Each.Source == FleetUpdateSource::Lists) {
      Follower.applyDifferences(Each.ToRevision, Update.Changes, {});
      continue;
    }
    for (const FleetChange &Change : Update.Changes)
      Follower.applyChange(Change, {});
    Follower.recordSeenRevision(Each.ToRevision);
  }
  return true;
}

void expectEqualLists(FleetState &Left, FleetState &Right) {
  cr_expect_eq(Left.seenRevision(), Right.seenRevision());
  const FleetView One = Left.view();
  const FleetView Other = Right.view();
  cr_expect_eq(One.Servers->size(), Other.Servers->size());
  for (const auto &[Id, Server] : *One.Servers)
    cr_expect(Other.Servers->contains(Id), "%s", Id.c_str());
}

} // namespace

// Guards against followers that all read the lists behind a gap in the watch of
// their relay, though it knows what differs.
Test(FleetHistory, theDifferencesBehindAGapServeThoseWhoKnewTheSame) {
  for (const Revision Seen : {20, 40}) {
    FleetState Relay = stateBehindAGap();
    FleetState Follower;
    Follower.applyLists(lists(20, {server("gone", 10), server("stays", 11)}),
                        {});
    if (Seen == 40)
      Follower.applyChange(FleetChange(server("before", 30)), {});
    Follower.recordSeenRevision(Seen);
    cr_assert(follow(Relay, Follower));
    expectEqualLists(Relay, Follower);
    // The follower may be a relay later.
    FleetState Next;
    Next.applyLists(lists(20, {server("gone", 10), server("stays", 11)}), {});
    cr_assert(follow(Follower, Next));
    expectEqualLists(Relay, Next);
  }
}

// Guards against a server that stays listed for good: it was listed and removed
// inside of the gap, and the follower, but not the relay, knows it.
Test(FleetHistory, aGapServesNoRouterThatKnowsAPartOfIt) {
  FleetState Relay = stateBehindAGap();
  FleetState Follower;
  Follower.applyLists(lists(45, {server("stays", 11), server("before", 30),
                                 server("unknown", 44)}),
                      {});
  cr_expect_not(follow(Relay, Follower));
  cr_expect_eq(Relay.view().History->completeFrom(45), 60);
  const RelayUpdate Update{40, 60, {}, FleetUpdateSource::Lists};
  cr_expect_not(Update.appliesTo(45));
  cr_expect(Update.appliesTo(40));
  // It reads the lists itself, and follows again.
  Follower.applyLists(
      lists(62, {server("stays", 11), server("before", 30), server("new", 50)}),
      {});
  cr_assert(follow(Relay, Follower));
  expectEqualLists(Relay, Follower);
}

// Guards against differences of which a part is lost: they are one message, so
// there may only be as many as it holds.
Test(FleetHistory, beginsAnewBehindAGapWithTooManyDifferences) {
  FleetState Relay;
  Relay.applyLists(lists(20, {}), {});
  std::vector<StoredServer> Servers;
  for (Revision At = 100; At < 400; ++At)
    Servers.push_back(server("s" + std::to_string(At), At));
  Relay.applyLists(lists(400, Servers), {});
  cr_expect_eq(Relay.view().History->completeFrom(20), 400);
}

// Guards against a history that still claims to begin before a gap whose
// differences, or earlier changes, it no longer has.
Test(FleetHistory, forgetsAGapWithTheChangesBeforeIt) {
  FleetState Relay = stateBehindAGap();
  for (Revision At = 101; At < 900; ++At)
    Relay.applyChange(FleetChange(server("s", At)), {});
  Relay.recordSeenRevision(900);
  const FleetView View = Relay.view();
  cr_expect_not(View.History->gap().has_value());
  const Revision Begin = View.History->compactRevision();
  cr_expect_gt(Begin, 60);
  for (const auto &Each : View.History->changes())
    cr_expect_gt(revisionOf(*Each), Begin);
}
