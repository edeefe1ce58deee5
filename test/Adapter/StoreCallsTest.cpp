#include "platform/StoreCalls.h"
#include "Adapter/FakePlatformStore.h"
#include "platform/WireNames.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

const std::string ValidServer =
    R"({"service":"s","address":"127.0.0.1:1","state":"ready","zone":"z",)"
    R"("version":"v1","slots":8,"seqNo":1,"coldLeftMs":0})";

std::string serverKey(const std::string &Id) { return wire::ServerPrefix + Id; }

} // namespace

// A malformed entry must not fail the whole list or the watch after it: routers
// would see no servers and no changes until somebody deletes the key.
Test(StoreCalls, malformedEntryDoesNotHideOthers) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  Store.put(serverKey("a"), ValidServer);
  Store.put(serverKey("b"), "{\"service\":");
  Store.put(serverKey("c"), R"({"service":"s","address":"no address"})");
  Store.put(serverKey("d"), ValidServer);
  Store.put(wire::RouterPrefix + std::string("r1"), "[]");
  Store.put(wire::RouterPrefix + std::string("r2"),
            R"({"address":"127.0.0.1:2","cores":0.5})");
  const auto Servers = Source.Servers(ReadConsistency::Linearizable);
  cr_assert(Servers.has_value());
  cr_assert_eq(Servers->Servers.size(), 2);
  cr_expect_eq(Servers->Servers[1].Server.Id, "d");
  cr_assert_eq(Servers->Invalid.size(), 2);
  cr_expect_eq(Servers->Invalid[0].Id, "b");
  const auto Routers = Source.Routers(ReadConsistency::Linearizable);
  cr_assert(Routers.has_value());
  cr_assert_eq(Routers->Routers.size(), 1);
  const auto Changes = Source.Changes(0, 100ms, {});
  cr_assert(Changes.has_value());
  // Invalid entries are reported too, because the earlier entries of their
  // keys are no longer valid.
  cr_assert_eq(Changes->Changes.size(), 5);
  const auto Count = [&Changes](auto Predicate) {
    return std::count_if(Changes->Changes.begin(), Changes->Changes.end(),
                         Predicate);
  };
  cr_expect_eq(Count([](const FleetChange &Each) {
                 return std::holds_alternative<InvalidServerEntry>(Each);
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
  const auto Routers = Source.Routers(ReadConsistency::Linearizable);
  cr_assert(Routers.has_value());
  cr_assert_eq(Routers->Routers.size(), 1);
  cr_expect_eq(Routers->Routers[0].Cores, 0.5);
  cr_assert(Source.Unregister(*Lease).has_value());
  cr_expect(Source.Routers(ReadConsistency::Linearizable)->Routers.empty());
  const auto Renewed = Source.Renew(*Lease);
  cr_assert_not(Renewed.has_value());
  cr_expect_eq(Renewed.error().Code, ErrorCode::NotFound);
}

// A router that was disconnected for longer than the store keeps its history
// would keep removed servers if a compacted history looked like no changes.
Test(StoreCalls, compactedHistoryIsAnError) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  Store.put(serverKey("a"), ValidServer);
  const auto InitialServers = Source.Servers(ReadConsistency::Linearizable);
  Store.remove(serverKey("a"));
  Store.dropHistory();
  const auto Changes = Source.Changes(InitialServers->ReadRevision, 100ms, {});
  cr_assert_not(Changes.has_value());
  cr_expect_eq(Changes.error().Code, ErrorCode::NotFound);
}

Test(StoreCalls, onlyStaleReadsAllowStaleData) {
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

// A restarted router renews this lease to keep the entry of its earlier
// process.
Test(StoreCalls, listedRouterHasItsLease) {
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

Test(StoreCalls, reportsEvacuatedAndRestoredZones) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  Store.put("op/evacuate/north", "{}");
  Store.put("op/evacuate/south", "not an object");
  const auto Evacuations = Source.Evacuations(ReadConsistency::Linearizable);
  cr_assert(Evacuations.has_value());
  cr_assert_eq(Evacuations->Zones.size(), 2U);
  cr_assert_eq(Evacuations->Zones[0].Zone, "north");
  Store.remove("op/evacuate/north");
  const auto Changes = Source.Changes(Evacuations->ReadRevision, 0ms, {});
  cr_assert(Changes.has_value());
  cr_assert_eq(Changes->Changes.size(), 1U);
  const auto *Restored = std::get_if<RestoredZone>(&Changes->Changes[0]);
  cr_assert(Restored != nullptr && Restored->Zone == "north");
}

// A restarted router reads some hundred earlier changes. Configurations among
// them would make that many megabytes.
Test(StoreCalls, changesOfListsHaveNoConfigurations) {
  FakePlatformStore Store;
  FleetSource Source = platformFleetSource(Store.address())();
  Store.put("op/evacuate/north", "{}");
  Store.put(serverKey("a"), ValidServer);
  Store.put(wire::ConfigurationKey, R"({"version":1})");
  Store.put(wire::RouterPrefix + std::string("r1"),
            R"({"address":"127.0.0.1:2","cores":0.5})");
  Store.remove(serverKey("a"));
  const auto Read = Source.ListChanges(0);
  cr_assert(Read.has_value());
  cr_assert_eq(Read->LastRevision, Store.revision());
  cr_assert_eq(Read->Changes.size(), 4U);
  cr_expect(std::holds_alternative<EvacuatedZone>(Read->Changes[0]));
  cr_expect(std::holds_alternative<StoredServer>(Read->Changes[1]));
  cr_expect(std::holds_alternative<StoredRouter>(Read->Changes[2]));
  cr_expect(std::holds_alternative<RemovedServer>(Read->Changes[3]));
  Store.dropHistory();
  cr_expect_eq(Source.ListChanges(0).error().Code, ErrorCode::NotFound);
}
