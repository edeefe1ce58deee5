#include "Adapter/FleetRouter.h"
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

} // namespace

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
