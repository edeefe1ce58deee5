#include "Placement/ServerTable.h"
#include "Runtime/Id.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

const std::uint64_t Service = hashName("engines");

std::shared_ptr<const ServerList> engines(int Count) {
  auto Listed = std::make_shared<ServerList>();
  for (int I = 0; I < Count; ++I) {
    GatewayServer Server;
    Server.Id = "e" + std::to_string(I);
    Server.Service = "engines";
    Server.Zone = "a";
    Server.Slots = 8;
    Listed->emplace(Server.Id, Server);
  }
  return Listed;
}

PlacementQuery makeQuery(const std::vector<PromptPart> &Parts) {
  PlacementQuery Query;
  Query.Group = Service;
  Query.Zone = hashName("a");
  Query.Parts = &Parts;
  for (const PromptPart &Part : Parts)
    Query.PromptTokens += Part.Tokens;
  Query.Now = TimePoint(1s);
  return Query;
}

} // namespace

namespace {

/// Engines of two versions; the even ones have the first.
std::shared_ptr<const ServerList> enginesOfTwoVersions(int Count) {
  auto Listed = std::make_shared<ServerList>(*engines(Count));
  int Number = 0;
  for (auto &[Id, Server] : *Listed)
    Server.Version = Number++ % 2 == 0 ? "v1" : "v2";
  return Listed;
}

} // namespace

// Guards against a stream that is placed at another version than its own, or
// nowhere although its own has servers.
Test(ServerTable, placesABoundStreamAtItsVersionOnly) {
  const auto Listed = enginesOfTwoVersions(4);
  ServerTable Table;
  Table.setServers(Listed, nullptr);
  const std::vector<PromptPart> Parts{{1, 100}, {2, 10}};
  PlacementQuery Query = makeQuery(Parts);
  Query.Software = softwareOf(Listed->at("e1"));
  std::set<std::uint64_t> Tried;
  Query.ExcludedServers = &Tried;
  for (const char *Expected : {"e1", "e3"}) {
    cr_assert(Table.anyOfSoftware(Service, *Query.Software, Tried));
    const auto Choice = Table.place(Query);
    cr_assert(Choice.has_value());
    cr_expect_eq(Choice->Server, hashName(Expected));
    Tried.insert(Choice->Server);
  }
  cr_assert_not(Table.place(Query).has_value());
  cr_assert_not(Table.anyOfSoftware(Service, *Query.Software, Tried));
  cr_expect_eq(Table.serversOfOtherSoftware(Service, *Query.Software).size(),
               2U);
}

// Guards against a server that restarts with another version under its identity
// and counts as the earlier one until the list shows it.
Test(ServerTable, theVersionOfARestartedServerIsUnknown) {
  const auto Listed = enginesOfTwoVersions(2);
  ServerTable Table;
  Table.setServers(Listed, nullptr);
  const std::uint64_t Server = hashName("e0");
  cr_assert(Table.softwareAt(Server) == softwareOf(Listed->at("e0")));
  Table.recordStart(Server, 7);
  cr_assert(Table.softwareAt(Server) != softwareOf(Listed->at("e0")));
  Table.setServers(Listed, nullptr);
  cr_assert(Table.softwareAt(Server) != softwareOf(Listed->at("e0")));
}

// Guards against two servers without a version that count as the same software,
// and two services whose versions have one name.
Test(SoftwareId, isOfOneServiceAndNeverGuessed) {
  ServerList Listed = *engines(2);
  cr_assert(softwareOf(Listed.at("e0")) != softwareOf(Listed.at("e1")));
  for (auto &[Id, Server] : Listed)
    Server.Version = "v1";
  cr_assert(softwareOf(Listed.at("e0")) == softwareOf(Listed.at("e1")));
  Listed.at("e1").Service = "others";
  cr_assert(softwareOf(Listed.at("e0")) != softwareOf(Listed.at("e1")));
}

Test(CacheModel, keepsTheMostRecentlyUsedPartsAndCountsOnlyCompletePrefixes) {
  CacheModel Cache;
  Cache.setCapacity(250);
  Cache.insert({{1, 100}, {2, 50}});
  cr_assert_eq(Cache.expectedTokens({{1, 100}, {2, 50}, {3, 10}}), 150U);
  cr_assert_eq(Cache.expectedTokens({{9, 10}, {2, 50}}), 0U);
  Cache.insert({{1, 100}, {4, 90}});
  // 240 tokens are cached; 50 more evict the least recently used part.
  Cache.insert({{1, 100}, {5, 50}});
  cr_assert_not(Cache.contains(2));
  cr_assert(Cache.contains(1));
}

Test(ServerTable, twoTablesChooseTheSameHomeServer) {
  ServerTable One;
  ServerTable Other;
  One.setServers(engines(12), nullptr);
  Other.setServers(engines(12), nullptr);
  for (std::uint64_t Id = 1; Id < 50; ++Id) {
    const std::vector<PromptPart> Parts{{Id, 4000}, {1000 + Id, 500}};
    cr_assert_eq(One.place(makeQuery(Parts))->Server,
                 Other.place(makeQuery(Parts))->Server);
  }
}

Test(ServerTable, prefillsAPartOnceUntilItsServerIsTooBusy) {
  ServerTable Table;
  Table.setServers(engines(4), nullptr);
  const std::vector<PromptPart> FirstParts{{1, 4000}, {101, 500}};
  const auto FirstChoice = Table.place(makeQuery(FirstParts));
  Table.recordSent(FirstChoice->Server, {FirstChoice->PrefillTokens, 10},
                   FirstParts, TimePoint(1s));
  Table.recordPrefilled(FirstChoice->Server, {FirstChoice->PrefillTokens, 10},
                        FirstParts);
  const std::vector<PromptPart> SecondParts{{1, 4000}, {102, 500}};
  const auto SecondChoice = Table.place(makeQuery(SecondParts));
  cr_assert_eq(SecondChoice->Server, FirstChoice->Server);
  cr_assert_eq(SecondChoice->PrefillTokens, 500U);
  Table.recordSent(FirstChoice->Server, {40'000, 10}, {{7, 40'000}},
                   TimePoint(1s));
  cr_assert_neq(Table.place(makeQuery(SecondParts))->Server,
                FirstChoice->Server);
}

// Guards against sending requests to a server that has stopped responding while
// its connections stay open, which happens if only errors count as failures.
Test(ServerTable, avoidsASilentServerUntilItSendsAgain) {
  ServerTable Table;
  Table.setServers(engines(1), nullptr);
  const std::uint64_t Server = hashName("e0");
  Table.recordSent(Server, {10, 0}, {}, TimePoint(1s));
  cr_assert(Table.usable(Server, TimePoint(1s + 600ms)));
  cr_assert_not(Table.usable(Server, TimePoint(1s + 800ms)));
  Table.recordReceived(Server, TimePoint(1s + 900ms));
  cr_assert(Table.usable(Server, TimePoint(1s + 950ms)));
}

// Guards against a server that gets no requests for seconds after a pause,
// since each request that was in progress there counted as a failure of its
// own.
Test(ServerTable, aSilenceCountsOnceForAllRequestsThatNoticeIt) {
  ServerTable Table;
  Table.setServers(engines(1), nullptr);
  const std::uint64_t Server = hashName("e0");
  constexpr int Requests = 8;
  const TimePoint SentAt(1s);
  const TimePoint EndedAt(2s);
  for (int I = 0; I < Requests; ++I)
    Table.recordSent(Server, {0, 0}, {}, SentAt);
  for (int I = 0; I < Requests; ++I)
    Table.recordEnded(Server, {0, 0}, {}, ServerVerdict::Silent, EndedAt);
  cr_assert_not(Table.usable(Server, EndedAt + 400ms));
  cr_assert(Table.usable(Server, EndedAt + 600ms));
  Table.recordSent(Server, {0, 0}, {}, EndedAt + 600ms);
  Table.recordEnded(Server, {0, 0}, {}, ServerVerdict::Silent, EndedAt + 2s);
  cr_assert_not(Table.usable(Server, EndedAt + 2s + 900ms));
}

Test(ServerTable, backsOffLongerWithEachFailure) {
  ServerTable Table;
  Table.setServers(engines(1), nullptr);
  const std::uint64_t Server = hashName("e0");
  TimePoint Now(1s);
  Table.recordSent(Server, {0, 0}, {}, Now);
  Table.recordEnded(Server, {0, 0}, {}, ServerVerdict::Unreachable, Now);
  cr_assert_not(Table.usable(Server, Now + 400ms));
  cr_assert(Table.usable(Server, Now + 600ms));
  Table.recordSent(Server, {0, 0}, {}, Now);
  Table.recordEnded(Server, {0, 0}, {}, ServerVerdict::Unreachable, Now);
  cr_assert_not(Table.usable(Server, Now + 900ms));
  Table.recordSent(Server, {0, 0}, {}, Now);
  Table.recordEnded(Server, {0, 0}, {}, ServerVerdict::Healthy, Now);
  cr_assert(Table.usable(Server, Now));
}

// Guards against an engine that gets no requests for seconds after its restart,
// or requests for prompts that it no longer has cached. It crashes with
// requests in progress and restarts with the same identity; the state of the
// earlier process must be reset, and the ends of its requests must not count
// against the new process.
Test(ServerTable, resetsTheStateOfARestartedServer) {
  ServerTable Table;
  auto Listed = std::make_shared<ServerList>(*engines(1));
  Listed->at("e0").StartedMs = 100;
  Table.setServers(Listed, nullptr);
  const std::uint64_t Server = hashName("e0");
  const std::vector<PromptPart> Parts{{1, 4000}, {2, 500}};
  const AttemptLoad EarlierLoad{4500, 50, 100};
  Table.recordSent(Server, EarlierLoad, Parts, TimePoint(1s));
  Table.recordSent(Server, EarlierLoad, Parts, TimePoint(1s));
  Table.recordEnded(Server, EarlierLoad, {}, ServerVerdict::Unreachable,
                    TimePoint(1s));
  cr_assert_not(Table.usable(Server, TimePoint(1s)));
  auto Relisted = std::make_shared<ServerList>(*Listed);
  Relisted->at("e0").StartedMs = 200;
  Table.setServers(Relisted, nullptr);
  cr_assert(Table.usable(Server, TimePoint(1s)));
  cr_assert_eq(Table.running(Server), 0U);
  cr_assert_eq(Table.pendingPrefillTokens(Server), 0U);
  cr_assert_eq(Table.place(makeQuery(Parts))->PrefillTokens, 4500U);
  // Late reports of the earlier process change nothing.
  const AttemptLoad NewLoad{100, 10, 200};
  Table.recordSent(Server, NewLoad, {}, TimePoint(1s));
  Table.recordEnded(Server, EarlierLoad, {}, ServerVerdict::Silent,
                    TimePoint(1s));
  Table.recordSent(Server, EarlierLoad, Parts, TimePoint(1s));
  cr_assert_eq(Table.running(Server), 1U);
  cr_assert_eq(Table.pendingPrefillTokens(Server), 100U);
  cr_assert(Table.usable(Server, TimePoint(1s)));
  Table.recordStart(Server, 100);
  cr_assert_eq(Table.startOf(Server), 200);
  cr_assert_eq(Table.running(Server), 1U);
}

namespace {

/// Engines that prefill 24 tokens per millisecond and fetch 1,900.
FetchCost fastLinkCost() {
  GatewayService Service;
  Service.KvBytesPerToken = 18'432;
  Service.LinkBytesPerMs = 35e6;
  return fetchCostOf(Service, 24);
}

/// A table of two engines, of which the first has a shared part cached and a
/// long queue.
struct BusyCacheHolder {
  BusyCacheHolder() {
    this->Table.setServers(engines(2), nullptr);
    this->Holder = hashName("e0");
    this->Table.recordSent(this->Holder, {0, 10}, this->Parts, TimePoint(1s));
    this->Table.recordPrefilled(this->Holder, {0, 10}, this->Parts);
    this->Table.recordSent(this->Holder, {60'000, 10}, {}, TimePoint(1s));
  }

  ServerTable Table;
  std::vector<PromptPart> Parts{{1, 500}, {2, 4000}, {3, 700}};
  std::vector<PromptPart> NextParts{{1, 500}, {2, 4000}, {4, 700}};
  std::uint64_t Holder = 0;
};

} // namespace

// Guards against engines that spend a sixth of their time on prefilling parts
// that another engine has cached: if that engine is busy, the next request with
// the part goes to another engine, which has to fetch the part. Fetching takes
// a thirtieth of the time of prefilling.
Test(ServerTable, fetchesACachedPartFromABusyServer) {
  BusyCacheHolder F;
  PlacementQuery Query = makeQuery(F.NextParts);
  const auto WithoutFetch = F.Table.place(Query);
  cr_assert_neq(WithoutFetch->Server, F.Holder);
  cr_assert_eq(WithoutFetch->FetchSource, 0U);
  cr_assert_eq(WithoutFetch->PrefillTokens, 5200U);
  Query.Fetch = fastLinkCost();
  const auto WithFetch = F.Table.place(Query);
  cr_assert_neq(WithFetch->Server, F.Holder);
  cr_assert_eq(WithFetch->FetchSource, F.Holder);
  cr_assert_eq(WithFetch->PrefillTokens, 700U);
  // The part is now cached there, and is not fetched a second time.
  F.Table.recordSent(WithFetch->Server, {700, 10}, F.NextParts, TimePoint(1s));
  cr_assert_eq(F.Table.place(Query)->FetchSource, 0U);
}

// Guards against prefilling a part at several engines at once: a new part is
// sent to one engine, and the next request with it to another, which cannot
// fetch it before the first engine has prefilled it. A part that was only sent
// must not be fetched.
Test(ServerTable, doesNotFetchAPartThatIsNotPrefilledYet) {
  ServerTable Table;
  Table.setServers(engines(2), nullptr);
  const std::vector<PromptPart> FirstParts{{1, 4000}, {2, 700}};
  const std::vector<PromptPart> NextParts{{1, 4000}, {3, 700}};
  const AttemptLoad Load{4700, 10};
  PlacementQuery Query = makeQuery(NextParts);
  Query.Fetch = fastLinkCost();
  const std::uint64_t Prefilling = Table.place(makeQuery(FirstParts))->Server;
  Table.recordSent(Prefilling, Load, FirstParts, TimePoint(1s));
  // At the same engine, the part will be cached after the first request.
  const auto SameServer = Table.place(Query);
  cr_assert_eq(SameServer->Server, Prefilling);
  cr_assert_eq(SameServer->PrefillTokens, 700U);
  const std::set<std::uint64_t> Excluded{Prefilling};
  Query.ExcludedServers = &Excluded;
  cr_assert_eq(Table.place(Query)->FetchSource, 0U);
  cr_assert_eq(Table.place(Query)->PrefillTokens, 4700U);
  Table.recordPrefilled(Prefilling, Load, FirstParts);
  cr_assert_eq(Table.place(Query)->FetchSource, Prefilling);
  // A prompt that was never prefilled leaves no cached parts.
  const std::vector<PromptPart> LostParts{{8, 4000}, {9, 700}};
  Table.recordSent(Prefilling, Load, LostParts, TimePoint(1s));
  Table.recordEnded(Prefilling, Load, LostParts, ServerVerdict::Healthy,
                    TimePoint(1s));
  PlacementQuery LostQuery = makeQuery(LostParts);
  cr_assert_eq(Table.place(LostQuery)->PrefillTokens, 4700U);
}

// Guards against prefilling cached parts again after an allocator has restarted
// with empty cache models.
Test(ServerTable, recordsReportedCachedParts) {
  ServerTable Table;
  Table.setServers(engines(2), nullptr);
  const std::vector<PromptPart> Parts{{1, 4000}, {3, 700}};
  const std::uint64_t Holder = hashName("e1");
  Table.recordCached(Holder, {0, {{1, 4000}, {2, 500}}});
  const auto Choice = Table.place(makeQuery(Parts));
  cr_assert_eq(Choice->Server, Holder);
  cr_assert_eq(Choice->PrefillTokens, 700U);
  // A late report of an earlier process changes nothing.
  Table.recordStart(Holder, 200);
  Table.recordCached(Holder, {100, {{1, 4000}}});
  cr_assert_eq(Table.place(makeQuery(Parts))->PrefillTokens, 4700U);
}

Test(CacheModel, evictsReportedPartsBeforeSentOnes) {
  CacheModel Cache;
  Cache.setCapacity(250);
  Cache.insert({{1, 100}});
  Cache.addReported({{1, 100}, {2, 100}, {3, 100}, {4, 50}});
  cr_assert_eq(Cache.prefilledTokens({{1, 100}, {2, 100}}), 200U);
  cr_assert_not(Cache.contains(3));
  cr_assert(Cache.contains(4));
  Cache.insert({{5, 100}});
  cr_assert(Cache.contains(1));
  cr_assert_not(Cache.contains(4));
}

// Guards against requests that wait for a transfer from a server that does not
// respond, because only its cache was considered when it was chosen as source.
Test(ServerTable, doesNotFetchFromAnUnhealthyOrRestartedServer) {
  BusyCacheHolder F;
  PlacementQuery Query = makeQuery(F.NextParts);
  Query.Fetch = fastLinkCost();
  F.Table.recordEnded(F.Holder, {0, 10}, {}, ServerVerdict::Unreachable,
                      TimePoint(1s));
  cr_assert_eq(F.Table.place(Query)->FetchSource, 0U);
  BusyCacheHolder Restarted;
  Restarted.Table.recordStart(Restarted.Holder, 5000);
  cr_assert_eq(Restarted.Table.place(Query)->FetchSource, 0U);
}

Test(ServerTable, doesNotFetchOverASlowLink) {
  GatewayService SlowLink;
  SlowLink.KvBytesPerToken = 18'432;
  SlowLink.LinkBytesPerMs = 1'250'000; // 10 Gbit/s: 68 tokens per millisecond.
  cr_assert_not(fetchCostOf(SlowLink, 24).PerToken.has_value());
  cr_assert_not(fetchCostOf(GatewayService{}, 24).PerToken.has_value());
  // Fetching a short part costs more than prefilling it, due to the setup.
  ServerTable Table;
  Table.setServers(engines(2), nullptr);
  Table.recordSent(hashName("e0"), {0, 10}, {{1, 60}, {2, 40}}, TimePoint(1s));
  Table.recordSent(hashName("e0"), {60'000, 10}, {}, TimePoint(1s));
  const std::vector<PromptPart> Parts{{1, 60}, {3, 40}};
  PlacementQuery Query = makeQuery(Parts);
  Query.Fetch = fastLinkCost();
  cr_assert_eq(Table.place(Query)->FetchSource, 0U);
}

Test(ServerGroups, areBoundedAndDeterministic) {
  const auto Listed = engines(90);
  const ServerGroups One(*Listed);
  const ServerGroups Other(*Listed);
  std::map<std::uint64_t, int> Sizes;
  for (const auto &[Id, Server] : *Listed) {
    cr_assert_eq(One.groupOfServer(Id, "engines"),
                 Other.groupOfServer(Id, "engines"));
    ++Sizes[One.groupOfServer(Id, "engines")];
  }
  cr_assert_eq(Sizes.size(), 4U);
  std::map<std::uint64_t, int> Requests;
  for (std::uint64_t Id = 1; Id <= 2000; ++Id)
    ++Requests[One.groupForRequest(Service, {{Id * 7919, 100}, {1, 1}}, 0)];
  for (const auto &[Group, Count] : Requests) {
    cr_assert(Sizes.contains(Group));
    const double Expected = 2000.0 * Sizes[Group] / 90;
    cr_assert_gt(Count, Expected * 0.75);
    cr_assert_lt(Count, Expected * 1.25);
  }
}

namespace {

constexpr std::int64_t Started = 5;
const std::uint64_t FirstEngine = hashName("e0");

/// A table of two engines; the first has run a request of this router.
class SignalledTable {
public:
  SignalledTable() {
    auto Listed = std::make_shared<ServerList>(*engines(2));
    Listed->at("e0").StartedMs = Started;
    this->List = Listed;
    this->Table.setServers(this->List, nullptr);
  }

  void publish(const std::shared_ptr<const ServerList> &Listed, TimePoint Now) {
    this->Table.setServers(Listed, nullptr, nullptr, {Now, Now});
  }

  bool isUsed(TimePoint Now) {
    PlacementQuery Query = makeQuery({});
    Query.Parts = nullptr;
    Query.Now = Now;
    const std::set<std::uint64_t> Excluded{hashName("e1")};
    Query.ExcludedServers = &Excluded;
    return this->Table.place(Query).has_value();
  }

  ServerTable Table;
  std::shared_ptr<const ServerList> List;
};

} // namespace

// Guards against a server that is used again although it leaves: its entry
// lapses and is written anew.
Test(ServerTable, remembersThatAServerLeavesWhileItIsNotListed) {
  SignalledTable T;
  cr_assert(T.Table.recordLeaving(FirstEngine, Started, TimePoint(1s)));
  cr_assert_not(T.Table.recordLeaving(FirstEngine, Started, TimePoint(2s)));
  cr_assert_not(T.isUsed(TimePoint(2s)));
  T.publish(engines(0), TimePoint(3s));
  T.publish(T.List, TimePoint(5s));
  cr_assert_not(T.isUsed(TimePoint(5s)));
  cr_assert_eq(T.Table.leavingCount(), 1U);
  cr_assert(T.Table.isUnavailable(Service, {hashName("e1")}, TimePoint(5s)));
  cr_assert_not(T.Table.isUnavailable(Service, {}, TimePoint(5s)));
}

// Guards against a notice of an earlier process that arrives late, and against
// one that outlives its process.
Test(ServerTable, noticesHoldForOneProcessOnly) {
  SignalledTable T;
  cr_assert_not(T.Table.recordLeaving(FirstEngine, Started - 1, TimePoint(1s)));
  cr_assert_not(T.Table.recordPause(FirstEngine, Started - 1, TimePoint(9s)));
  cr_assert(T.isUsed(TimePoint(1s)));
  T.Table.recordLeaving(FirstEngine, Started, TimePoint(1s));
  T.Table.recordPause(FirstEngine, Started, TimePoint(9s));
  T.Table.recordStart(FirstEngine, Started + 1);
  cr_assert_not(T.Table.isAvoided(FirstEngine, TimePoint(2s)));
}

// Guards against memory that grows with each server that has left.
Test(ServerTable, forgetsServersThatHaveLeftLongAgo) {
  SignalledTable T;
  T.Table.recordLeaving(FirstEngine, Started, TimePoint(1s));
  T.publish(engines(0), TimePoint(3s));
  cr_assert(T.Table.isLeaving(FirstEngine));
  T.publish(engines(0), TimePoint(3s) + std::chrono::hours(1));
  cr_assert_not(T.Table.isLeaving(FirstEngine));
}

// Guards against a pause that ends early, since a request succeeds or a shorter
// pause is asked for.
Test(ServerTable, aPauseLastsUntilItsEnd) {
  SignalledTable T;
  const AttemptLoad Load{0, 0, Started};
  T.Table.recordSent(FirstEngine, Load, {}, TimePoint(1s));
  cr_assert(T.Table.recordPause(FirstEngine, Started, TimePoint(4s)));
  cr_assert_not(T.Table.recordPause(FirstEngine, Started, TimePoint(3s)));
  T.Table.recordReceived(FirstEngine, TimePoint(2s));
  T.Table.recordEnded(FirstEngine, Load, {}, ServerVerdict::Healthy,
                      TimePoint(2s));
  cr_assert_not(T.isUsed(TimePoint(3900ms)));
  cr_assert_not(T.Table.usableIfGranted(FirstEngine, TimePoint(3900ms)));
  cr_assert(T.Table.firstPauseEnd(Service, TimePoint(3s)) == TimePoint(4s));
  cr_assert(T.isUsed(TimePoint(4s)));
  cr_assert_not(T.Table.firstPauseEnd(Service, TimePoint(4s)));
}

// Guards against excluding servers of other services.
Test(ServerTable, avoidedServersAreThoseOfTheService) {
  SignalledTable T;
  T.Table.recordPause(FirstEngine, Started, TimePoint(4s));
  cr_assert_eq(T.Table.avoidedServers(Service, TimePoint(1s)).size(), 1U);
  cr_assert(T.Table.avoidedServers(hashName("other"), TimePoint(1s)).empty());
  cr_assert(T.Table.avoidedServers(Service, TimePoint(4s)).empty());
}
