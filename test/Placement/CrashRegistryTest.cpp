#include "Placement/CrashRegistry.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{};

RequestIdentity request(std::uint64_t Number) { return {Number, 0, 7}; }

CrashFact fact(std::uint64_t Request, std::uint64_t Server,
               std::int64_t StartedMs = 0) {
  return {request(Request), {Server, StartedMs}, false, 0};
}

/// A book with the request in hand at each of the servers.
void crash(CrashRegistry &Book, std::uint64_t Request,
           std::initializer_list<std::uint64_t> Servers) {
  for (const std::uint64_t Server : Servers)
    Book.record(fact(Request, Server), Start);
}

/// What a book refuses of the first requests.
std::vector<bool> verdicts(const CrashRegistry &Book, std::uint64_t Requests) {
  std::vector<bool> Refused;
  for (std::uint64_t I = 0; I < Requests; ++I)
    Refused.push_back(Book.isRefused(request(I)));
  return Refused;
}

} // namespace

// Guards against a request that crashes one server after the other.
Test(CrashBook, refusesWhatThreeServersHadInHandAsTheyCrashed) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2});
  cr_assert_not(Book.isRefused(request(1)));
  crash(Book, 1, {3});
  cr_assert(Book.isRefused(request(1)));
  cr_assert_not(Book.isRefused(request(2)));
}

// Guards against one crash that several routers saw counted several times.
Test(CrashBook, countsEachProcessOfAServerOnce) {
  CrashRegistry Book;
  cr_assert(Book.record(fact(1, 1, 10), Start));
  for (int I = 0; I < 5; ++I)
    cr_assert_not(Book.record(fact(1, 1, 10), Start));
  cr_assert_eq(Book.crashCount(request(1)), 1U);
  crash(Book, 1, {2});
  cr_assert(Book.record(fact(1, 1, 20), Start));
  cr_assert(Book.isRefused(request(1)));
}

// Guards against an innocent request refused for the company of a guilty one.
Test(CrashBook, holdsACrashAgainstTheRequestThatExplainsTheMost) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3, 4});
  crash(Book, 2, {2, 3, 4});
  cr_assert(Book.isRefused(request(1)));
  cr_assert_not(Book.isRefused(request(2)));
}

// Guards against a request refused for good for what another turns out to do.
Test(CrashBook, returnsARequestOnceAnotherExplainsItsCrashes) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3});
  crash(Book, 2, {1, 2, 3});
  cr_assert(Book.isRefused(request(1)));
  cr_assert(Book.isRefused(request(2)));
  crash(Book, 2, {4});
  cr_assert_not(Book.isRefused(request(1)));
  cr_assert(Book.isRefused(request(2)));
}

// Guards against a request that hides behind another one that crashes servers.
Test(CrashBook, refusesAfterFiveCrashesWhateverElseExplainsThem) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3, 4, 5, 6});
  crash(Book, 2, {1, 2, 3, 4});
  cr_assert_not(Book.isRefused(request(2)));
  crash(Book, 2, {5});
  cr_assert(Book.isRefused(request(2)));
}

// Guards against routers that judge differently for the order of the news.
Test(CrashBook, judgesAlikeWhateverTheOrderOfTheFacts) {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<CrashFact> Facts;
    Facts.reserve(40);
    for (int I = 0; I < 40; ++I)
      Facts.push_back(fact(Random() % 8, Random() % 10));
    for (CrashFact &Each : Facts)
      Each.Cleared = Random() % 8 == 0;
    CrashRegistry One;
    for (const CrashFact &Each : Facts)
      One.record(Each, Start);
    std::shuffle(Facts.begin(), Facts.end(), Random);
    CrashRegistry Other;
    for (const CrashFact &Each : Facts)
      Other.record(Each, Start);
    for (const CrashFact &Each : Facts)
      cr_assert_not(Other.record(Each, Start));
    cr_assert(verdicts(One, 8) == verdicts(Other, 8), "seed %lu", Seed);
  }
}

// Guards against a request refused for crashes that it has survived since.
Test(CrashBook, beginsAnewBehindAWholeAnswer) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2});
  cr_assert_eq(Book.clear(request(1), Start).size(), 2U);
  cr_assert(Book.clear(request(1), Start).empty());
  // Told once more by a router that has not heard of the answer.
  crash(Book, 1, {1, 2});
  crash(Book, 1, {3, 4});
  cr_assert_not(Book.isRefused(request(1)));
  crash(Book, 1, {5});
  cr_assert(Book.isRefused(request(1)));
}

// Guards against a router that does not hear of the answer.
Test(CrashBook, takesOverWhatAnotherHasCleared) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3});
  CrashFact Cleared = fact(1, 2);
  Cleared.Cleared = true;
  cr_assert(Book.record(Cleared, Start));
  cr_assert_not(Book.isRefused(request(1)));
}

// Guards against records that routers return to each other for ever.
Test(CrashBook, forgetsWhatNobodyHasSeenForADay) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3});
  CrashRegistry Later;
  for (const CrashFact &Each : Book.allFacts(Start + 23h))
    Later.record(Each, Start + 23h);
  cr_assert(Later.isRefused(request(1)));
  Later.removeExpired(Start + 25h);
  cr_assert_eq(Later.size(), 0U);
  cr_assert_not(Later.mayContain(7));
  for (const CrashFact &Each : Book.allFacts(Start + 25h))
    cr_assert_not(Later.record(Each, Start + 25h));
}

// Guards against a refused request that is forgotten while it still comes.
Test(CrashBook, remembersARefusedRequestFromWhenItCameLast) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3});
  Book.recordRefused(request(1), Start + 20h);
  Book.removeExpired(Start + 40h);
  cr_assert(Book.isRefused(request(1)));
}

// Guards against a flood of crashes that fills the memory, or empties it.
Test(CrashBook, dropsTheLeastSuspiciousFirst) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3});
  for (std::uint64_t I = 2; I < 10'000; ++I)
    Book.record(fact(I, I), Start + 1s);
  cr_assert_leq(Book.size(), 4096U);
  cr_assert(Book.isRefused(request(1)));
}

// Guards against facts that are never told a second time.
Test(CrashBook, tellsEachFactRoundAfterRound) {
  CrashRegistry Book;
  for (std::uint64_t I = 0; I < 100; ++I)
    crash(Book, I, {I, I + 1, I + 200});
  std::set<RequestIdentity> Told;
  for (int Round = 0; Round < 12; ++Round)
    for (const CrashFact &Each : Book.nextFacts(30, Start))
      Told.insert(Each.Request);
  cr_assert_eq(Told.size(), 100U);
}

Test(CrashBook, tellsOnlyRefusedRequestsForLong) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3});
  crash(Book, 2, {1});
  cr_assert_eq(Book.allFacts(Start + 10s).size(), 4U);
  cr_assert_eq(Book.allFacts(Start + 1h).size(), 3U);
}

// Guards against requests refused for ever, and tries that go on for ever.
Test(CrashBook, letsARefusedRequestBeTriedTwiceInItsLife) {
  CrashRegistry Book;
  crash(Book, 1, {1, 2, 3});
  cr_assert_not(Book.mayProbe(request(1), Start + 9min));
  cr_assert(Book.mayProbe(request(1), Start + 10min));
  Book.recordProbe(request(1), Start + 10min);
  cr_assert_not(Book.mayProbe(request(1), Start + 19min));
  Book.record(fact(1, 4), Start + 11min);
  cr_assert_not(Book.mayProbe(request(1), Start + 60min));
  cr_assert(Book.mayProbe(request(1), Start + 71min));
  Book.record(fact(1, 5), Start + 72min);
  cr_assert_not(Book.mayProbe(request(1), Start + 20h));
}
