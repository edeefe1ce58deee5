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

PlacementQuery question(const std::vector<PromptPart> &Parts) {
  PlacementQuery Asked;
  Asked.Service = Service;
  Asked.Zone = hashName("a");
  Asked.Parts = &Parts;
  for (const PromptPart &Part : Parts)
    Asked.PromptTokens += Part.Tokens;
  Asked.Now = TimePoint(1s);
  return Asked;
}

} // namespace

Test(CacheModel, keepsTheNewestPartsAndOnlyWholeStarts) {
  CacheModel Cache;
  Cache.setCapacity(250);
  Cache.insert({{1, 100}, {2, 50}});
  cr_assert_eq(Cache.expectedTokens({{1, 100}, {2, 50}, {3, 10}}), 150U);
  cr_assert_eq(Cache.expectedTokens({{9, 10}, {2, 50}}), 0U);
  Cache.insert({{1, 100}, {4, 90}});
  // 240 are held; 50 more drop the one that was used longest ago.
  Cache.insert({{1, 100}, {5, 50}});
  cr_assert_not(Cache.contains(2));
  cr_assert(Cache.contains(1));
}

Test(ServerBook, twoBooksAgreeOnWhereAPartBegins) {
  ServerTable One;
  ServerTable Other;
  One.setServers(engines(12), nullptr);
  Other.setServers(engines(12), nullptr);
  for (std::uint64_t Id = 1; Id < 50; ++Id) {
    const std::vector<PromptPart> Parts{{Id, 4000}, {1000 + Id, 500}};
    cr_assert_eq(One.place(question(Parts))->Server,
                 Other.place(question(Parts))->Server);
  }
}

Test(ServerBook, aPartIsReadOnceUntilItsServerIsTooBusy) {
  ServerTable Book;
  Book.setServers(engines(4), nullptr);
  const std::vector<PromptPart> First{{1, 4000}, {101, 500}};
  const auto Home = Book.place(question(First));
  Book.recordSent(Home->Server, {Home->PrefillTokens, 10}, First,
                  TimePoint(1s));
  Book.recordPrefilled(Home->Server, {Home->PrefillTokens, 10}, First);
  const std::vector<PromptPart> Second{{1, 4000}, {102, 500}};
  const auto Again = Book.place(question(Second));
  cr_assert_eq(Again->Server, Home->Server);
  cr_assert_eq(Again->PrefillTokens, 500U);
  Book.recordSent(Home->Server, {40'000, 10}, {{7, 40'000}}, TimePoint(1s));
  cr_assert_neq(Book.place(question(Second))->Server, Home->Server);
}

// Symptom: requests go on being sent to a server that has fallen silent.
// Sequence: it holds requests and sends nothing, its connections stay open.
// Cause: only errors counted against a server.
Test(ServerBook, aSilentServerIsPassedOverUntilItIsHeard) {
  ServerTable Book;
  Book.setServers(engines(1), nullptr);
  const std::uint64_t Server = hashName("e0");
  Book.recordSent(Server, {10, 0}, {}, TimePoint(1s));
  cr_assert(Book.usable(Server, TimePoint(1s + 600ms)));
  cr_assert_not(Book.usable(Server, TimePoint(1s + 800ms)));
  Book.recordActivity(Server, TimePoint(1s + 900ms));
  cr_assert(Book.usable(Server, TimePoint(1s + 950ms)));
}

Test(ServerBook, anUnreachableServerIsLeftAloneForLongerEachTime) {
  ServerTable Book;
  Book.setServers(engines(1), nullptr);
  const std::uint64_t Server = hashName("e0");
  TimePoint Now(1s);
  Book.recordSent(Server, {0, 0}, {}, Now);
  Book.recordEnded(Server, {0, 0}, {}, ServerVerdict::Unreachable, Now);
  cr_assert_not(Book.usable(Server, Now + 400ms));
  cr_assert(Book.usable(Server, Now + 600ms));
  Book.recordSent(Server, {0, 0}, {}, Now);
  Book.recordEnded(Server, {0, 0}, {}, ServerVerdict::Unreachable, Now);
  cr_assert_not(Book.usable(Server, Now + 900ms));
  Book.recordSent(Server, {0, 0}, {}, Now);
  Book.recordEnded(Server, {0, 0}, {}, ServerVerdict::Healthy, Now);
  cr_assert(Book.usable(Server, Now));
}

// Symptom: an engine gets no work, or work for prompts that it no longer has,
// for seconds behind its restart. Sequence: it crashes with requests, and
// starts again under its identity. Cause: what was believed of the earlier
// process stood, and the ends of its requests were counted against the new one.
Test(ServerBook, aRestartedServerKnowsNothingOfBefore) {
  ServerTable Book;
  auto Listed = std::make_shared<ServerList>(*engines(1));
  Listed->at("e0").StartedMs = 100;
  Book.setServers(Listed, nullptr);
  const std::uint64_t Server = hashName("e0");
  const std::vector<PromptPart> Parts{{1, 4000}, {2, 500}};
  const AttemptLoad Old{4500, 50, 100};
  Book.recordSent(Server, Old, Parts, TimePoint(1s));
  Book.recordSent(Server, Old, Parts, TimePoint(1s));
  Book.recordEnded(Server, Old, {}, ServerVerdict::Unreachable, TimePoint(1s));
  cr_assert_not(Book.usable(Server, TimePoint(1s)));
  auto Again = std::make_shared<ServerList>(*Listed);
  Again->at("e0").StartedMs = 200;
  Book.setServers(Again, nullptr);
  cr_assert(Book.usable(Server, TimePoint(1s)));
  cr_assert_eq(Book.running(Server), 0U);
  cr_assert_eq(Book.pendingPrefillTokens(Server), 0U);
  cr_assert_eq(Book.place(question(Parts))->PrefillTokens, 4500U);
  // The old process's words come late.
  const AttemptLoad New{100, 10, 200};
  Book.recordSent(Server, New, {}, TimePoint(1s));
  Book.recordEnded(Server, Old, {}, ServerVerdict::Silent, TimePoint(1s));
  Book.recordSent(Server, Old, Parts, TimePoint(1s));
  cr_assert_eq(Book.running(Server), 1U);
  cr_assert_eq(Book.pendingPrefillTokens(Server), 100U);
  cr_assert(Book.usable(Server, TimePoint(1s)));
  Book.recordStart(Server, 100);
  cr_assert_eq(Book.startOf(Server), 200);
  cr_assert_eq(Book.running(Server), 1U);
}

namespace {

/// Engines that read 24 tokens in a millisecond and fetch 1,900.
FetchCost fastLink() {
  GatewayService Service;
  Service.KvBytesPerToken = 18'432;
  Service.LinkBytesPerMs = 35e6;
  return fetchCostOf(Service, 24);
}

/// A book of two engines of which the first has read a shared part and has a
/// long queue since.
struct BusyKeeper {
  BusyKeeper() {
    this->Book.setServers(engines(2), nullptr);
    this->Keeper = hashName("e0");
    this->Book.recordSent(this->Keeper, {0, 10}, this->Parts, TimePoint(1s));
    this->Book.recordPrefilled(this->Keeper, {0, 10}, this->Parts);
    this->Book.recordSent(this->Keeper, {60'000, 10}, {}, TimePoint(1s));
  }

  ServerTable Book;
  std::vector<PromptPart> Parts{{1, 500}, {2, 4000}, {3, 700}};
  std::vector<PromptPart> Next{{1, 500}, {2, 4000}, {4, 700}};
  std::uint64_t Keeper = 0;
};

} // namespace

// Symptom: engines spend a sixth of their time on reading what another engine
// has read. Sequence: the engine that keeps a shared part is busy, and the next
// request about it goes to another. Cause: the kept part was not moved, though
// that takes a thirtieth of the time.
Test(ServerBook, aPartThatABusyServerKeepsIsFetchedFromIt) {
  BusyKeeper K;
  PlacementQuery Asked = question(K.Next);
  const auto Reading = K.Book.place(Asked);
  cr_assert_neq(Reading->Server, K.Keeper);
  cr_assert_eq(Reading->FetchSource, 0U);
  cr_assert_eq(Reading->PrefillTokens, 5200U);
  Asked.Fetch = fastLink();
  const auto Fetching = K.Book.place(Asked);
  cr_assert_neq(Fetching->Server, K.Keeper);
  cr_assert_eq(Fetching->FetchSource, K.Keeper);
  cr_assert_eq(Fetching->PrefillTokens, 700U);
  // It keeps the part from then on, and nothing is fetched a second time.
  K.Book.recordSent(Fetching->Server, {700, 10}, K.Next, TimePoint(1s));
  cr_assert_eq(K.Book.place(Asked)->FetchSource, 0U);
}

// Symptom: parts are read at several engines at once. Sequence: a part that is
// new is sent to an engine, and the next request about it to another, which is
// to fetch what the first has not read yet. Cause: what was sent counted as
// kept.
Test(ServerBook, whatIsStillBeingReadIsNotFetched) {
  ServerTable Book;
  Book.setServers(engines(2), nullptr);
  const std::vector<PromptPart> First{{1, 4000}, {2, 700}};
  const std::vector<PromptPart> Next{{1, 4000}, {3, 700}};
  const AttemptLoad Work{4700, 10};
  PlacementQuery Asked = question(Next);
  Asked.Fetch = fastLink();
  const std::uint64_t Reader = Book.place(question(First))->Server;
  Book.recordSent(Reader, Work, First, TimePoint(1s));
  // Behind the first at its engine the part is there.
  const auto Behind = Book.place(Asked);
  cr_assert_eq(Behind->Server, Reader);
  cr_assert_eq(Behind->PrefillTokens, 700U);
  const std::set<std::uint64_t> NotThere{Reader};
  Asked.ExcludedServers = &NotThere;
  cr_assert_eq(Book.place(Asked)->FetchSource, 0U);
  cr_assert_eq(Book.place(Asked)->PrefillTokens, 4700U);
  Book.recordPrefilled(Reader, Work, First);
  cr_assert_eq(Book.place(Asked)->FetchSource, Reader);
  // A prompt that was never read leaves nothing behind.
  const std::vector<PromptPart> Lost{{8, 4000}, {9, 700}};
  Book.recordSent(Reader, Work, Lost, TimePoint(1s));
  Book.recordEnded(Reader, Work, Lost, ServerVerdict::Healthy, TimePoint(1s));
  PlacementQuery Again = question(Lost);
  cr_assert_eq(Book.place(Again)->PrefillTokens, 4700U);
}

// Symptom: behind the restart of a router that allocates, parts are read again
// that engines keep. Cause: its cache models began empty.
Test(ServerBook, whatAServerSaysThatItKeepsIsKnown) {
  ServerTable Book;
  Book.setServers(engines(2), nullptr);
  const std::vector<PromptPart> Parts{{1, 4000}, {3, 700}};
  const std::uint64_t Keeper = hashName("e1");
  Book.recordCached(Keeper, {0, {{1, 4000}, {2, 500}}});
  const auto Choice = Book.place(question(Parts));
  cr_assert_eq(Choice->Server, Keeper);
  cr_assert_eq(Choice->PrefillTokens, 700U);
  // The word of an earlier process comes late.
  Book.recordStart(Keeper, 200);
  Book.recordCached(Keeper, {100, {{1, 4000}}});
  cr_assert_eq(Book.place(question(Parts))->PrefillTokens, 4700U);
}

Test(CacheModel, whatIsToldYieldsBeforeWhatWasSentSince) {
  CacheModel Cache;
  Cache.setCapacity(250);
  Cache.insert({{1, 100}});
  Cache.addReported({{1, 100}, {2, 100}, {3, 100}, {4, 50}});
  cr_assert_eq(Cache.residentTokens({{1, 100}, {2, 100}}), 200U);
  cr_assert_not(Cache.contains(3));
  cr_assert(Cache.contains(4));
  Cache.insert({{5, 100}});
  cr_assert(Cache.contains(1));
  cr_assert_not(Cache.contains(4));
}

// Symptom: requests wait for a transfer from a server that does not answer.
// Cause: the choice of a source looked only at what it keeps.
Test(ServerBook, nothingIsFetchedFromAServerThatIsGoneOrUnsound) {
  BusyKeeper K;
  PlacementQuery Asked = question(K.Next);
  Asked.Fetch = fastLink();
  K.Book.recordEnded(K.Keeper, {0, 10}, {}, ServerVerdict::Unreachable,
                     TimePoint(1s));
  cr_assert_eq(K.Book.place(Asked)->FetchSource, 0U);
  BusyKeeper Restarted;
  Restarted.Book.recordStart(Restarted.Keeper, 5000);
  cr_assert_eq(Restarted.Book.place(Asked)->FetchSource, 0U);
}

Test(ServerBook, whatIsReadAsFastAsItIsFetchedIsRead) {
  GatewayService Slow;
  Slow.KvBytesPerToken = 18'432;
  Slow.LinkBytesPerMs = 1'250'000; // 10 Gbit/s: 68 tokens in a millisecond.
  cr_assert_not(fetchCostOf(Slow, 24).PerToken.has_value());
  cr_assert_not(fetchCostOf(GatewayService{}, 24).PerToken.has_value());
  // A short part is not worth the setup of a transfer.
  ServerTable Book;
  Book.setServers(engines(2), nullptr);
  Book.recordSent(hashName("e0"), {0, 10}, {{1, 60}, {2, 40}}, TimePoint(1s));
  Book.recordSent(hashName("e0"), {60'000, 10}, {}, TimePoint(1s));
  const std::vector<PromptPart> Parts{{1, 60}, {3, 40}};
  PlacementQuery Asked = question(Parts);
  Asked.Fetch = fastLink();
  cr_assert_eq(Book.place(Asked)->FetchSource, 0U);
}

Test(ServerGroups, areBoundedAndTheSameEverywhere) {
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
