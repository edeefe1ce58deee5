#include "Crash/CrashRegistry.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{};

/// All requests of the tests have the short hash 7.
RequestIdentity request(std::uint64_t Number) { return {Number, 0, 7}; }

CrashFact makeFact(std::uint64_t Request, std::uint64_t Server,
                   std::int64_t StartedMs = 0) {
  return {request(Request), {Server, StartedMs}, false, 0};
}

/// Records that the request was in progress at each of the crashed servers.
void recordCrashes(CrashRegistry &Registry, std::uint64_t Request,
                   std::initializer_list<std::uint64_t> Servers) {
  for (const std::uint64_t Server : Servers)
    Registry.record(makeFact(Request, Server), Start);
}

/// For each of the first requests, whether it is refused.
std::vector<bool> refusals(const CrashRegistry &Registry,
                           std::uint64_t Requests) {
  std::vector<bool> Refused;
  for (std::uint64_t I = 0; I < Requests; ++I)
    Refused.push_back(Registry.isRefused(request(I)));
  return Refused;
}

} // namespace

// Guards against a request that crashes one server after another.
Test(CrashRegistry, refusesARequestInProgressAtThreeCrashes) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2});
  cr_assert_not(Registry.isRefused(request(1)));
  recordCrashes(Registry, 1, {3});
  cr_assert(Registry.isRefused(request(1)));
  cr_assert_not(Registry.isRefused(request(2)));
}

// Guards against counting a crash several times because several routers saw it.
Test(CrashRegistry, countsEachServerProcessOnce) {
  CrashRegistry Registry;
  cr_assert(Registry.record(makeFact(1, 1, 10), Start));
  for (int I = 0; I < 5; ++I)
    cr_assert_not(Registry.record(makeFact(1, 1, 10), Start));
  cr_assert_eq(Registry.crashCount(request(1)), 1U);
  recordCrashes(Registry, 1, {2});
  cr_assert(Registry.record(makeFact(1, 1, 20), Start));
  cr_assert(Registry.isRefused(request(1)));
}

// Guards against refusing a request that caused no crashes, but was at the same
// servers as one that did.
Test(CrashRegistry, attributesACrashToTheRequestWithTheMostCrashes) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3, 4});
  recordCrashes(Registry, 2, {2, 3, 4});
  cr_assert(Registry.isRefused(request(1)));
  cr_assert_not(Registry.isRefused(request(2)));
}

// Guards against a permanent refusal for crashes that turn out to be caused by
// another request.
Test(CrashRegistry, acceptsARequestAgainOnceItsCrashesAreAttributedToAnother) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3});
  recordCrashes(Registry, 2, {1, 2, 3});
  cr_assert(Registry.isRefused(request(1)));
  cr_assert(Registry.isRefused(request(2)));
  recordCrashes(Registry, 2, {4});
  cr_assert_not(Registry.isRefused(request(1)));
  cr_assert(Registry.isRefused(request(2)));
}

// Guards against a request that causes crashes but is never refused, since its
// crashes are attributed to another one.
Test(CrashRegistry, refusesAfterFiveCrashesEvenIfAttributedToAnother) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3, 4, 5, 6});
  recordCrashes(Registry, 2, {1, 2, 3, 4});
  cr_assert_not(Registry.isRefused(request(2)));
  recordCrashes(Registry, 2, {5});
  cr_assert(Registry.isRefused(request(2)));
}

// Guards against routers that decide differently because they received the
// facts in a different order.
Test(CrashRegistry, decidesIndependentlyOfTheOrderOfFacts) {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<CrashFact> Facts;
    Facts.reserve(40);
    for (int I = 0; I < 40; ++I)
      Facts.push_back(makeFact(Random() % 8, Random() % 10));
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
    cr_assert(refusals(One, 8) == refusals(Other, 8), "seed %lu", Seed);
  }
}

// Guards against refusing a request for crashes before its last complete
// response.
Test(CrashRegistry, startsOverAfterACompleteResponse) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2});
  cr_assert_eq(Registry.clear(request(1), Start).size(), 2U);
  cr_assert(Registry.clear(request(1), Start).empty());
  // Received again from a router that does not know of the response.
  recordCrashes(Registry, 1, {1, 2});
  recordCrashes(Registry, 1, {3, 4});
  cr_assert_not(Registry.isRefused(request(1)));
  recordCrashes(Registry, 1, {5});
  cr_assert(Registry.isRefused(request(1)));
}

// Guards against a router that ignores a response received by another router.
Test(CrashRegistry, appliesClearedFactsOfOtherRouters) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3});
  CrashFact Cleared = makeFact(1, 2);
  Cleared.Cleared = true;
  cr_assert(Registry.record(Cleared, Start));
  cr_assert_not(Registry.isRefused(request(1)));
}

// Guards against records that routers send back and forth forever.
Test(CrashRegistry, removesRequestsNotSeenForADay) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3});
  CrashRegistry OtherRegistry;
  for (const CrashFact &Each : Registry.allFacts(Start + 23h))
    OtherRegistry.record(Each, Start + 23h);
  cr_assert(OtherRegistry.isRefused(request(1)));
  OtherRegistry.removeExpired(Start + 25h);
  cr_assert_eq(OtherRegistry.size(), 0U);
  cr_assert_not(OtherRegistry.mayContain(7));
  for (const CrashFact &Each : Registry.allFacts(Start + 25h))
    cr_assert_not(OtherRegistry.record(Each, Start + 25h));
}

// Guards against removing a refused request that is still received.
Test(CrashRegistry, keepsARefusedRequestThatIsStillReceived) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3});
  Registry.recordRefusedAgain(request(1), Start + 20h);
  Registry.removeExpired(Start + 40h);
  cr_assert(Registry.isRefused(request(1)));
}

// Guards against unbounded memory in a flood of crashes, and against eviction
// of the refused requests.
Test(CrashRegistry, evictsTheRequestWithTheFewestCrashesFirst) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3});
  for (std::uint64_t I = 2; I < 10'000; ++I)
    Registry.record(makeFact(I, I), Start + 1s);
  // `MaxSuspects`.
  cr_assert_leq(Registry.size(), 4096U);
  cr_assert(Registry.isRefused(request(1)));
}

// Guards against facts that are never sent again.
Test(CrashRegistry, cyclesThroughAllFacts) {
  CrashRegistry Registry;
  for (std::uint64_t I = 0; I < 100; ++I)
    recordCrashes(Registry, I, {I, I + 1, I + 200});
  std::set<RequestIdentity> Requests;
  for (int Round = 0; Round < 12; ++Round)
    for (const CrashFact &Each : Registry.nextFacts(30, Start))
      Requests.insert(Each.Request);
  cr_assert_eq(Requests.size(), 100U);
}

Test(CrashRegistry, sendsFactsOfOtherRequestsOnlyBriefly) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3});
  recordCrashes(Registry, 2, {1});
  cr_assert_eq(Registry.allFacts(Start + 10s).size(), 4U);
  cr_assert_eq(Registry.allFacts(Start + 1h).size(), 3U);
}

// Guards against requests that are refused forever, and against endless probes.
Test(CrashRegistry, permitsProbesUntilTwoHaveCrashedAServer) {
  CrashRegistry Registry;
  recordCrashes(Registry, 1, {1, 2, 3});
  cr_assert_not(Registry.mayProbe(request(1), Start + 9min));
  cr_assert(Registry.mayProbe(request(1), Start + 10min));
  Registry.recordProbe(request(1), Start + 10min);
  cr_assert_not(Registry.mayProbe(request(1), Start + 19min));
  Registry.record(makeFact(1, 4), Start + 11min);
  cr_assert_not(Registry.mayProbe(request(1), Start + 60min));
  cr_assert(Registry.mayProbe(request(1), Start + 71min));
  Registry.record(makeFact(1, 5), Start + 72min);
  cr_assert_not(Registry.mayProbe(request(1), Start + 20h));
}
