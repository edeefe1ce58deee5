#include "Adapter/FleetRouter.h"
#include "Gateway/FleetState.h"
#include "platform/StoreCalls.h"
#include "platform/WireNames.h"

#include <criterion/criterion.h>
#include <set>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// The bound on a server that leaves.
constexpr std::chrono::milliseconds RemovalBound{2000};

const std::string EvacuatedKey = wire::EvacuationPrefix + std::string("z");
const std::string OtherRouterKey = wire::RouterPrefix + std::string("other");
constexpr const char *OtherRouter =
    R"({"address":"127.0.0.1:9","cores":0.0001})";

/// A change in the store, and how a router's view shows it.
struct NamedChange {
  const char *Name;
  /// The list that has the changed entry.
  const char *List;
  std::function<void(FakePlatformStore &)> Before;
  std::function<void(FakePlatformStore &)> Make;
  std::function<bool(const FleetView &)> IsKnown;
};

std::vector<NamedChange> changesOfAllLists() {
  const auto Nothing = [](FakePlatformStore &) {};
  const auto ListsOther = [](const FleetView &View) {
    return View.RouterEndpoints->contains("other");
  };
  const auto ListOther = [](FakePlatformStore &Store) {
    Store.put(OtherRouterKey, OtherRouter);
  };
  const auto Evacuate = [](FakePlatformStore &Store) {
    Store.put(EvacuatedKey, "{}");
  };
  const auto IsUnused = [](const FleetView &View) {
    return !takesRequests(View, "a");
  };
  return {
      {"a server drains", wire::ServerPrefix, Nothing,
       [](FakePlatformStore &Store) { putServer(Store, "a", "draining"); },
       IsUnused},
      {"a server is removed", wire::ServerPrefix, Nothing,
       [](FakePlatformStore &Store) { removeServer(Store, "a"); }, IsUnused},
      {"a server is listed", wire::ServerPrefix, Nothing,
       [](FakePlatformStore &Store) { putServer(Store, "new"); },
       [](const FleetView &View) { return takesRequests(View, "new"); }},
      {"a zone is evacuated", wire::EvacuationPrefix, Nothing, Evacuate,
       IsUnused},
      {"a zone is restored", wire::EvacuationPrefix, Evacuate,
       [](FakePlatformStore &Store) { Store.remove(EvacuatedKey); },
       [](const FleetView &View) { return takesRequests(View, "a"); }},
      {"a router is listed", wire::RouterPrefix, Nothing, ListOther,
       ListsOther},
      {"a router is removed", wire::RouterPrefix, ListOther,
       [](FakePlatformStore &Store) { Store.remove(OtherRouterKey); },
       [ListsOther](const FleetView &View) { return !ListsOther(View); }},
  };
}

/// Answers stale reads of some lists from the newest copy, and of all others
/// from an older one.
FakePlatformStore::CopyRevision copies(std::set<std::string> Newest,
                                       Revision Older) {
  return [Newest = std::move(Newest), Older](const std::string &Prefix, int) {
    constexpr Revision Unlimited = std::numeric_limits<Revision>::max();
    return Newest.contains(Prefix) ? Unlimited : Older;
  };
}

/// A store with three pages of servers, and one server on each that may change.
struct PagedStore {
  static constexpr int Pages = 3;
  static constexpr std::size_t PageSize = 2;

  PagedStore() {
    this->Store.setPageSize(PageSize);
    for (int Page = 0; Page < Pages; ++Page) {
      putServer(this->Store, nameOn(Page) + "-1");
      putServer(this->Store, nameOn(Page) + "-2");
    }
  }

  static std::string nameOn(int Page) { return "s" + std::to_string(Page); }
  static std::string serverOn(int Page) { return nameOn(Page) + "-1"; }

  /// Answers stale reads of one page of the servers from another copy than all
  /// other reads.
  void setAges(int Page, Revision OfPage, Revision OfOthers) {
    this->Store.setCopies([=](const std::string &Prefix, int Each) {
      const bool IsPage = Prefix == wire::ServerPrefix && Each == Page;
      return IsPage ? OfPage : OfOthers;
    });
  }

  FakePlatformStore Store;
};

} // namespace

// Guards against a router that starts while a server leaves and never hears of
// it: the page with that server comes from an older copy than the first one,
// whose revision counted for the whole list.
Test(ListRevisions, aStartingRouterHearsWhatItsOldestPageLacks,
     .timeout = 120) {
  for (const char *State : {"draining", "removed"})
    for (int Page = 0; Page < PagedStore::Pages; ++Page)
      for (const bool PageIsOlder : {true, false}) {
        PagedStore Paged;
        putConfiguration(Paged.Store, 1);
        const Revision Before = Paged.Store.revision();
        const std::string Server = PagedStore::serverOn(Page);
        if (State == std::string("removed"))
          removeServer(Paged.Store, Server);
        else
          putServer(Paged.Store, Server, State);
        const Revision Now = Paged.Store.revision();
        Paged.setAges(Page, PageIsOlder ? Before : Now,
                      PageIsOlder ? Now : Before);
        RouterFleet Fleet(Paged.Store);
        FleetRouter &Router = Fleet.start("router");
        cr_expect(RouterFleet::eventually(
                      RemovalBound,
                      [&] {
                        const auto View = Router.view();
                        return View != nullptr && !takesRequests(*View, Server);
                      }),
                  "%s on page %d, which is %s", State, Page,
                  PageIsOlder ? "older" : "newer");
      }
}

// Guards against a comparison of the lists that removes a server which was just
// listed: the page on which it should be comes from an older copy than the
// first one.
Test(ListRevisions, anOlderPageRemovesNoNewServer) {
  for (int Page = 0; Page < PagedStore::Pages; ++Page)
    for (const bool PageIsOlder : {true, false}) {
      PagedStore Paged;
      FleetSource Source = platformFleetSource(Paged.Store.address())();
      const Revision Before = Paged.Store.revision();
      const std::string New = PagedStore::nameOn(Page) + "-0";
      putServer(Paged.Store, New);
      const Revision Now = Paged.Store.revision();
      FleetState State;
      State.applyLists({*Source.Servers(ReadConsistency::Linearizable),
                        *Source.Routers(ReadConsistency::Linearizable),
                        *Source.Evacuations(ReadConsistency::Linearizable)},
                       {});
      cr_assert(takesRequests(State.view(), New));
      Paged.setAges(Page, PageIsOlder ? Before : Now,
                    PageIsOlder ? Now : Before);
      const auto Compared = Source.Servers(ReadConsistency::AllowStale);
      cr_assert(Compared.has_value());
      cr_expect_eq(Compared->ReadRevision, Before);
      State.applyServers(*Compared, {});
      cr_expect(takesRequests(State.view(), New), "on page %d, which is %s",
                Page, PageIsOlder ? "older" : "newer");
    }
}

// Guards against a relay that starts anew while the fleet changes, and hides
// the change from its followers: one of its lists has the change already, and
// another one, from an older copy, tells where the relay's history begins.
Test(ListRevisions, aRestartedRelayPassesOnWhatItsListsHaveAlready,
     .timeout = 120) {
  for (const NamedChange &Each : changesOfAllLists())
    for (const bool ListIsNewer : {true, false}) {
      FakePlatformStore Store;
      RouterFleet Fleet(Store);
      Each.Before(Store);
      Fleet.start("relay");
      FleetRouter &Follower = Fleet.start("follower");
      cr_assert(Fleet.becomesCurrent());
      cr_assert(Fleet.at("relay").isRelay());
      cr_assert_not(Follower.isRelay());
      const Revision Before = Store.revision();
      const std::uint64_t ListReads = Follower.listReads();
      Fleet.kill("relay");
      Each.Make(Store);
      std::set<std::string> Newest{wire::ServerPrefix, wire::RouterPrefix,
                                   wire::EvacuationPrefix};
      if (ListIsNewer)
        Newest = {Each.List};
      else
        Newest.erase(Each.List);
      Store.setCopies(copies(Newest, Before));
      Fleet.start("relay");
      cr_expect(
          RouterFleet::eventually(
              RemovalBound, [&] { return Each.IsKnown(*Follower.view()); }),
          "%s, its list is %s", Each.Name, ListIsNewer ? "newer" : "older");
      cr_expect_eq(Follower.listReads(), ListReads, "%s, its list is %s",
                   Each.Name, ListIsNewer ? "newer" : "older");
    }
}

// Guards against a relay that starts anew and makes all its followers read the
// lists, as they lack what has changed since it ended.
Test(ListRevisions, aRestartedRelayMakesNoFollowerReadTheLists) {
  FakePlatformStore Store;
  RouterFleet Fleet(Store);
  Fleet.start("relay");
  std::vector<FleetRouter *> Followers;
  for (const char *Name : {"one", "two", "three"})
    Followers.push_back(&Fleet.start(Name));
  cr_assert(Fleet.becomesCurrent());
  std::uint64_t ListReads = 0;
  for (const FleetRouter *Each : Followers)
    ListReads += Each->listReads();
  Fleet.kill("relay");
  putServer(Store, "b");
  putServer(Store, "a", "draining");
  Fleet.start("relay");
  for (FleetRouter *Each : Followers) {
    cr_expect(RouterFleet::eventually(RemovalBound, [&] {
      return takesRequests(*Each->view(), "b") &&
             !takesRequests(*Each->view(), "a");
    }));
    ListReads -= Each->listReads();
  }
  cr_expect_eq(ListReads, 0U, "the lists were read anew");
}

// Guards against routers that start together and read the lists twice: the
// relay reads its lists again since it has found no other router, and the
// follower's are of a revision in between.
Test(ListRevisions, aFollowerThatStartsWithItsRelayReadsTheListsOnce) {
  FakePlatformStore Store;
  RouterFleet Fleet(Store);
  FleetRouter &Relay = Fleet.start("relay");
  std::this_thread::sleep_for(100ms);
  putServer(Store, "b");
  FleetRouter &Follower = Fleet.start("follower");
  std::this_thread::sleep_for(100ms);
  putServer(Store, "c");
  cr_assert(Fleet.becomesCurrent());
  cr_assert(Relay.isRelay());
  cr_expect(takesRequests(*Follower.view(), "c"));
  cr_expect_eq(Follower.listReads(), 1U);
}

// Guards against calls of all routers when a fleet starts anew: only relays
// read the changes from before their lists.
Test(ListRevisions, aRestartedFollowerReadsNoEarlierChanges) {
  FakePlatformStore Store;
  RouterFleet Fleet(Store);
  Fleet.start("relay");
  Fleet.start("follower");
  cr_assert(Fleet.becomesCurrent());
  cr_assert_not(Fleet.at("follower").isRelay());
  const int Watches = Store.watches();
  Fleet.kill("follower");
  FleetRouter &Follower = Fleet.start("follower");
  cr_assert(RouterFleet::eventually(
      RemovalBound, [&] { return Follower.isCurrent(Store.revision()); }));
  // One of the relay may have begun anew.
  cr_expect_leq(Store.watches(), Watches + 1);
}

// Guards against followers that all read the lists since their relay has to:
// the store has dropped its history before the relay's watch came back.
Test(ListRevisions, aGapInTheRelaysWatchMakesNoFollowerReadTheLists) {
  FakePlatformStore Store;
  RouterFleet Fleet(Store);
  FleetRouter &Relay = Fleet.start("relay");
  std::vector<FleetRouter *> Followers;
  for (const char *Name : {"one", "two", "three"})
    Followers.push_back(&Fleet.start(Name));
  cr_assert(Fleet.becomesCurrent());
  std::uint64_t ListReads = 0;
  for (const FleetRouter *Each : Followers)
    ListReads += Each->listReads();
  const std::uint64_t OfRelay = Relay.listReads();
  // The relay pauses between a watch that brings changes and the next one.
  putServer(Store, "b");
  cr_assert(RouterFleet::eventually(
      RemovalBound, [&] { return takesRequests(*Relay.view(), "b"); }));
  putServer(Store, "b", "draining");
  removeServer(Store, "a");
  Store.dropHistory();
  for (FleetRouter *Each : Followers) {
    cr_expect(RouterFleet::eventually(RemovalBound, [&] {
      return !takesRequests(*Each->view(), "b") &&
             !takesRequests(*Each->view(), "a");
    }));
    ListReads -= Each->listReads();
  }
  cr_expect_eq(Relay.listReads(), OfRelay + 1);
  cr_expect_eq(ListReads, 0U, "the lists were read anew");
}

// Guards against followers that lack changes for good if the store no longer
// has those from before the restart of their relay.
Test(ListRevisions, followersReadTheListsIfTheStoreHasForgottenTheChanges) {
  FakePlatformStore Store;
  RouterFleet Fleet(Store);
  Fleet.start("relay");
  FleetRouter &Follower = Fleet.start("follower");
  cr_assert(Fleet.becomesCurrent());
  Fleet.kill("relay");
  putServer(Store, "a", "draining");
  Store.dropHistory();
  Fleet.start("relay");
  cr_expect(RouterFleet::eventually(
      RemovalBound, [&] { return !takesRequests(*Follower.view(), "a"); }));
}
