#include "lab/ScenarioReader.h"
#include "lab/Simulation.h"

#include <criterion/criterion.h>
#include <fstream>

using namespace parsleywing;
using namespace parsleywing::lab;

namespace {

constexpr std::uint64_t Seeds = 4;

Scenario scenario(const std::string &Name) {
  const auto Loaded = readScenario(std::string(SOURCE_FOLDER) +
                                   "/lab/scenarios/" + Name + ".ini");
  cr_assert(Loaded.has_value(), "%s",
            Loaded ? "" : Loaded.error().Message.c_str());
  return *Loaded;
}

/// Results over all seeds: means of the payoff shares, sums of the counts.
struct Series {
  double PayoffShare = 0;
  double WorstAccounts = 0;
  std::uint64_t PrefilledTokens = 0;
  std::uint32_t OnTime = 0;
};

Series simulateSeeds(const Scenario &TheScenario,
                     const Policy &SelectedPolicy) {
  Series Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SimulationResult Result = simulate(TheScenario, Seed, SelectedPolicy);
    Sum.PayoffShare += Result.Total.payoffShare() / Seeds;
    Sum.WorstAccounts += Result.worstAccountsPayoffShare() / Seeds;
    Sum.PrefilledTokens += Result.Engines.PrefilledTokens;
    Sum.OnTime += Result.Total.OnTime;
  }
  return Sum;
}

} // namespace

// With a load slightly above capacity, more callers than necessary are refused
// or late if an account's queue is in order of arrival: a few long prompts wait
// for engines with free capacity, and the short prompts after them time out.
Test(AllocationLoad, smallestFirstServesMoreCallers) {
  AllocatorOptions InOrder;
  InOrder.SmallestFirst = false;
  for (const char *Name : {"overloaded-reviews", "flood"}) {
    const Scenario TheScenario = scenario(Name);
    const Series With = simulateSeeds(TheScenario, AllocatorPolicy{});
    const Series Without = simulateSeeds(TheScenario, AllocatorPolicy{InOrder});
    cr_expect_gt(With.PayoffShare, Without.PayoffShare + 0.02, "%s: %f, %f",
                 Name, With.PayoffShare, Without.PayoffShare);
    cr_expect_gt(With.OnTime, Without.OnTime);
    cr_expect_gt(With.WorstAccounts, Without.WorstAccounts + 0.05);
  }
}

// The cost of serving the smallest requests first: the largest requests are
// served less often, but at least half as often as their class as a whole.
Test(AllocationLoad, largestOfAClassAreNotStarved) {
  const Scenario TheScenario = scenario("overloaded-reviews");
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SimulationResult Result =
        simulate(TheScenario, Seed, AllocatorPolicy{});
    for (const auto &[Name, Class] : Result.ByClass) {
      const OutcomeTotals &Largest = Result.LargestByClass.at(Name);
      const auto Served = [](const OutcomeTotals &Totals) {
        return static_cast<double>(Totals.OnTime + Totals.Late) / Totals.Calls;
      };
      cr_expect_gt(Served(Largest), Served(Class) / 2, "%s, seed %lu: %f, %f",
                   Name.c_str(), Seed, Served(Largest), Served(Class));
    }
  }
}

// Without fetching, engines prefill parts that other engines have cached, and
// callers are refused in the meantime.
Test(AllocationLoad, fetchingCachedPartsServesMoreCallers) {
  AllocatorOptions NoFetch;
  NoFetch.FetchCached = false;
  const Scenario TheScenario = scenario("overloaded-reviews");
  const Series With = simulateSeeds(TheScenario, AllocatorPolicy{});
  const Series Without = simulateSeeds(TheScenario, AllocatorPolicy{NoFetch});
  cr_expect_gt(With.PayoffShare, Without.PayoffShare + 0.03, "%f, %f",
               With.PayoffShare, Without.PayoffShare);
  cr_expect_gt(With.OnTime, Without.OnTime);
}

// Prompts wait while engines with free slots have nothing to prefill, if
// placement ignores the slots that streams occupy.
Test(AllocationLoad, promptsGoToEnginesWithFreeSlots) {
  AllocatorOptions Without;
  Without.Weights.OccupiedSlots = 0;
  for (const char *Name : {"overloaded-reviews", "flood"}) {
    const Scenario TheScenario = scenario(Name);
    cr_expect_gt(
        simulateSeeds(TheScenario, AllocatorPolicy{}).PayoffShare,
        simulateSeeds(TheScenario, AllocatorPolicy{Without}).PayoffShare +
            0.02);
  }
}

// When one account sends sixty times its usual rate, half of its refused
// callers are refused only after 0.5 s, after their objective, and retry too
// late, because their requests wait until they can no longer be on time.
// Refused on arrival, most learn of it within milliseconds, and callers as a
// whole lose nothing.
Test(AllocationLoad, likelyTimeoutsAreRefusedOnArrival) {
  AllocatorOptions Without;
  Without.RefuseLikelyTimeouts = false;
  const Scenario TheScenario = scenario("flood");
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SimulationResult Refusing =
        simulate(TheScenario, Seed, AllocatorPolicy{});
    const SimulationResult Waiting =
        simulate(TheScenario, Seed, AllocatorPolicy{Without});
    cr_expect_lt(Refusing.refusalTimeQuantile(0.5), 20);
    cr_expect_gt(Waiting.refusalTimeQuantile(0.5), 300);
  }
  // Smaller differences are within the noise of the simulation.
  constexpr double Noise = 0.007;
  cr_expect_gt(
      simulateSeeds(TheScenario, AllocatorPolicy{}).PayoffShare,
      simulateSeeds(TheScenario, AllocatorPolicy{Without}).PayoffShare - Noise);
  const Scenario OverloadedScenario = scenario("overloaded-reviews");
  cr_expect_gt(
      simulateSeeds(OverloadedScenario, AllocatorPolicy{}).PayoffShare,
      simulateSeeds(OverloadedScenario, AllocatorPolicy{Without}).PayoffShare -
          Noise);
}

// A deployment that differs from all known ones: slow engines, little memory,
// and links over which fetching gains nothing. Nothing is fetched, and nearly
// all calls are served.
Test(AllocationLoad, nothingIsFetchedOverSlowLinks) {
  const Scenario TheScenario = scenario("slow-links");
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SimulationResult Result =
        simulate(TheScenario, Seed, AllocatorPolicy{});
    cr_expect_eq(Result.Engines.FetchedTokens, 0U);
    cr_expect_gt(Result.Total.payoffShare(), 0.95);
  }
}

Test(AllocationLoad, simulationIsDeterministic) {
  const Scenario TheScenario = scenario("flood");
  const SimulationResult First = simulate(TheScenario, 3, AllocatorPolicy{});
  const SimulationResult Second = simulate(TheScenario, 3, AllocatorPolicy{});
  cr_expect_eq(First.Total.OnTime, Second.Total.OnTime);
  cr_expect_eq(First.Engines.PrefilledTokens, Second.Engines.PrefilledTokens);
  cr_expect_eq(First.FirstTokens, Second.FirstTokens);
}

Test(ScenarioReader, errorsContainTheInvalidKey) {
  const std::string Path = "/tmp/parsleywing-scenario-test.ini";
  const std::string ValidText = "[scenario]\nengines = 1\nlength-s = 1\n"
                                "stated-tokens-per-second = 1\n[class-a]\n"
                                "per-second = 1\nown-tokens = 1\n"
                                "output-tokens = 1\nobjective-ms = 1\n"
                                "time-limit-ms = 1\n";
  const auto ErrorMessage = [&Path](const std::string &Text) {
    std::ofstream(Path) << Text;
    const auto Loaded = readScenario(Path);
    return Loaded ? std::string() : Loaded.error().Message;
  };
  cr_expect_str_empty(ErrorMessage(ValidText).c_str());
  const auto ExpectMention = [&](const std::string &Text,
                                 const char *Expected) {
    cr_expect_neq(ErrorMessage(Text).find(Expected), std::string::npos, "%s",
                  ErrorMessage(Text).c_str());
  };
  ExpectMention(ValidText + "shared = 5\n", "TOKENSxVARIANTS");
  ExpectMention(ValidText + "own-tokns = 5\n", "own-tokns");
  ExpectMention(ValidText + "[flood-x]\naccount = 1\n", "from-s");
  ExpectMention(ValidText + "[engine]\nslots = many\n", "engine.slots");
  ExpectMention(ValidText + "[elsewhere]\nx = 1\n", "elsewhere");
  cr_expect_not(readScenario("/tmp/no such file.ini").has_value());
}
