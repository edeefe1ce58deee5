#include "platform/StoreCalls.h"
#include "Adapter/FakePlatformStore.h"
#include "platform/WireNames.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

const std::string GoodServer =
    R"({"service":"s","address":"127.0.0.1:1","state":"ready","zone":"z",)"
    R"("version":"v1","slots":8,"seqNo":1,"coldLeftMs":0})";

std::string serverKey(const std::string &Id) { return wire::ServerPrefix + Id; }

} // namespace

// Symptom: routers see no servers, or no change of any, until somebody deletes
// a key. Sequence: an entry that is not in the form is written. Cause: the
// whole list, or the watch behind it, failed with the entry, over and over.
Test(StoreCalls, anUnreadableEntryHidesNoOther) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  Store.put(serverKey("a"), GoodServer);
  Store.put(serverKey("b"), "{\"service\":");
  Store.put(serverKey("c"), R"({"service":"s","address":"no address"})");
  Store.put(serverKey("d"), GoodServer);
  Store.put(wire::RouterPrefix + std::string("r1"), "[]");
  Store.put(wire::RouterPrefix + std::string("r2"),
            R"({"address":"127.0.0.1:2","cores":0.5})");
  const auto Servers = Source.Servers(ReadConsistency::Linearizable);
  cr_assert(Servers.has_value());
  cr_assert_eq(Servers->Servers.size(), 2);
  cr_expect_eq(Servers->Servers[1].Server.Id, "d");
  cr_assert_eq(Servers->Unusable.size(), 2);
  cr_expect_eq(Servers->Unusable[0].Id, "b");
  const auto Routers = Source.Routers(ReadConsistency::Linearizable);
  cr_assert(Routers.has_value());
  cr_assert_eq(Routers->Routers.size(), 1);
  const auto Changes = Source.Changes(0, 100ms);
  cr_assert(Changes.has_value());
  // The unusable entries are told too: what was known under their keys before
  // names no server any more.
  cr_assert_eq(Changes->Changes.size(), 5);
  const auto Count = [&Changes](auto Is) {
    return std::count_if(Changes->Changes.begin(), Changes->Changes.end(), Is);
  };
  cr_expect_eq(Count([](const FleetChange &Each) {
                 return std::holds_alternative<UnusableServer>(Each);
               }),
               2);
  cr_expect_eq(Count([](const FleetChange &Each) {
                 return std::holds_alternative<StoredServer>(Each);
               }),
               2);
  cr_expect_geq(Changes->LastRevision, Servers->ReadRevision);
}

Test(StoreCalls, registersUnderALeaseAndRenewsIt) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  const auto Lease = Source.Register({"r1", "127.0.0.1:2", 0.5, 0}, 5s);
  cr_assert(Lease.has_value());
  cr_expect(Source.Renew(*Lease).has_value());
  const auto Listed = Source.Routers(ReadConsistency::Linearizable);
  cr_assert(Listed.has_value());
  cr_assert_eq(Listed->Routers.size(), 1);
  cr_expect_eq(Listed->Routers[0].Cores, 0.5);
  cr_assert(Source.Unregister(*Lease).has_value());
  cr_expect(Source.Routers(ReadConsistency::Linearizable)->Routers.empty());
  const auto Late = Source.Renew(*Lease);
  cr_assert_not(Late.has_value());
  cr_expect_eq(Late.error().Code, ErrorCode::NotFound);
}

// Symptom: a router that was away longer than the store remembers keeps
// servers that have gone. Cause: a dropped history looked like no change.
Test(StoreCalls, aDroppedHistoryIsToldApart) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  Store.put(serverKey("a"), GoodServer);
  const auto Before = Source.Servers(ReadConsistency::Linearizable);
  Store.remove(serverKey("a"));
  Store.dropHistory();
  const auto Changes = Source.Changes(Before->ReadRevision, 100ms);
  cr_assert_not(Changes.has_value());
  cr_expect_eq(Changes.error().Code, ErrorCode::NotFound);
}

Test(StoreCalls, aReadThatMayBeStaleSaysSo) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  cr_assert(Source.Servers(ReadConsistency::Linearizable).has_value());
  cr_assert(Source.Configuration(0, ReadConsistency::Linearizable).has_value());
  cr_expect_eq(Store.staleReads(), 0);
  cr_assert(Source.Servers(ReadConsistency::AllowStale).has_value());
  cr_assert(Source.Routers(ReadConsistency::AllowStale).has_value());
  cr_assert(Source.Configuration(0, ReadConsistency::AllowStale).has_value());
  cr_expect_eq(Store.staleReads(), 3);
}

// A router that starts again keeps the entry of its earlier process by it.
Test(StoreCalls, aListedRouterTellsItsLease) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  StoredRouter Self;
  Self.Name = "r1";
  Self.Address = "127.0.0.1:2";
  const auto Lease = Source.Register(Self, 5s);
  cr_assert(Lease.has_value());
  cr_expect_eq(
      Source.Routers(ReadConsistency::Linearizable)->Routers.at(0).Lease,
      *Lease);
}

Test(StoreCalls, tellsOfZonesThatAreEvacuatedAndTakenBack) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  Store.put("op/evacuate/north", "{}");
  Store.put("op/evacuate/south", "not an object");
  const auto Read = Source.Evacuations(ReadConsistency::Linearizable);
  cr_assert(Read.has_value());
  cr_assert_eq(Read->Zones.size(), 2U);
  cr_assert_eq(Read->Zones[0].Zone, "north");
  Store.remove("op/evacuate/north");
  const auto Changes = Source.Changes(Read->ReadRevision, 0ms);
  cr_assert(Changes.has_value());
  cr_assert_eq(Changes->Changes.size(), 1U);
  const auto *Back = std::get_if<RestoredZone>(&Changes->Changes[0]);
  cr_assert(Back != nullptr && Back->Zone == "north");
}
