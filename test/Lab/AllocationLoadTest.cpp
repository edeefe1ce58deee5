#include "lab/Play.h"
#include "lab/ScenarioReader.h"

#include <criterion/criterion.h>
#include <fstream>

using namespace parsleywing;
using namespace parsleywing::lab;

namespace {

constexpr std::uint64_t Seeds = 4;

Scenario scenario(const std::string &Name) {
  const auto Read = readScenario(std::string(SOURCE_FOLDER) +
                                 "/lab/scenarios/" + Name + ".ini");
  cr_assert(Read.has_value(), "%s", Read ? "" : Read.error().Message.c_str());
  return *Read;
}

/// What callers got over some seeds.
struct Series {
  double Worth = 0;
  double WorstAccounts = 0;
  std::uint64_t Read = 0;
  std::uint32_t OnTime = 0;
};

Series playAll(const Scenario &Played, const Policy &By) {
  Series Whole;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SimulationResult Result = simulate(Played, Seed, By);
    Whole.Worth += Result.Total.worth() / Seeds;
    Whole.WorstAccounts += Result.worstAccountsWorth() / Seeds;
    Whole.Read += Result.Engines.PrefilledTokens;
    Whole.OnTime += Result.Total.OnTime;
  }
  return Whole;
}

} // namespace

// Symptom: of a deployment a little above its capacity more callers are refused
// or late than need be. Sequence: a few long prompts of an account wait for
// engines with room, its short ones behind them until their time is over.
// Cause: an account's queue was in order of arrival.
Test(AllocationLoad, theSmallestOfAnAccountFirstServesMoreCallers) {
  AllocatorOptions InOrder;
  InOrder.SmallestFirst = false;
  for (const char *Name : {"overloaded-reviews", "flood"}) {
    const Scenario Played = scenario(Name);
    const Series With = playAll(Played, AllocatorPolicy{});
    const Series Without = playAll(Played, AllocatorPolicy{InOrder});
    cr_expect_gt(With.Worth, Without.Worth + 0.02, "%s: %f, %f", Name,
                 With.Worth, Without.Worth);
    cr_expect_gt(With.OnTime, Without.OnTime);
    cr_expect_gt(With.WorstAccounts, Without.WorstAccounts + 0.05);
  }
}

// The price of the order: the largest are served less often, and no kind's
// largest less than half as often as the kind.
Test(AllocationLoad, theLargestOfAKindAreNotStarved) {
  const Scenario Played = scenario("overloaded-reviews");
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SimulationResult Result = simulate(Played, Seed, AllocatorPolicy{});
    for (const auto &[Name, Kind] : Result.ByClass) {
      const Outcomes &Large = Result.LargestByClass.at(Name);
      const auto Served = [](const Outcomes &Had) {
        return static_cast<double>(Had.OnTime + Had.Late) / Had.Calls;
      };
      cr_expect_gt(Served(Large), Served(Kind) / 2, "%s, seed %lu: %f, %f",
                   Name.c_str(), Seed, Served(Large), Served(Kind));
    }
  }
}

// Symptom: engines read what other engines keep, and callers are refused
// meanwhile. Cause: kept parts were not moved.
Test(AllocationLoad, fetchingKeptPartsServesMoreCallers) {
  AllocatorOptions NoFetch;
  NoFetch.FetchCached = false;
  const Scenario Played = scenario("overloaded-reviews");
  const Series With = playAll(Played, AllocatorPolicy{});
  const Series Without = playAll(Played, AllocatorPolicy{NoFetch});
  cr_expect_gt(With.Worth, Without.Worth + 0.03, "%f, %f", With.Worth,
               Without.Worth);
  cr_expect_gt(With.OnTime, Without.OnTime);
}

// Symptom: prompts wait while engines with free slots read nothing. Cause: the
// slots that streams take at an engine did not count where prompts go.
Test(AllocationLoad, promptsGoWhereSlotsAreLeft) {
  AllocatorOptions Without;
  Without.Weights.OccupiedSlots = 0;
  for (const char *Name : {"overloaded-reviews", "flood"}) {
    const Scenario Played = scenario(Name);
    cr_expect_gt(playAll(Played, AllocatorPolicy{}).Worth,
                 playAll(Played, AllocatorPolicy{Without}).Worth + 0.02);
  }
}

// Symptom: half of the refused callers of a flood hear so only after 0.5 s,
// when their objective is over, and come back too late. Sequence: one account
// asks for sixty times its usual. Cause: its requests waited until they could
// not be on time. Told on arrival, most hear within milliseconds, and callers
// as a whole get no less: worth 0.655 to 0.663 and the worst accounts 0.269 to
// 0.290 over six seeds.
Test(AllocationLoad, whatIsInVainIsToldOnArrival) {
  AllocatorOptions Without;
  Without.RefuseLikelyTimeouts = false;
  const Scenario Played = scenario("flood");
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SimulationResult Told = simulate(Played, Seed, AllocatorPolicy{});
    const SimulationResult Held =
        simulate(Played, Seed, AllocatorPolicy{Without});
    cr_expect_lt(Told.refusalTimeQuantile(0.5), 20);
    cr_expect_gt(Held.refusalTimeQuantile(0.5), 300);
  }
  // The interval of the difference over twelve seeds.
  constexpr double Noise = 0.007;
  cr_expect_gt(playAll(Played, AllocatorPolicy{}).Worth,
               playAll(Played, AllocatorPolicy{Without}).Worth - Noise);
  const Scenario Heavy = scenario("overloaded-reviews");
  cr_expect_gt(playAll(Heavy, AllocatorPolicy{}).Worth,
               playAll(Heavy, AllocatorPolicy{Without}).Worth - Noise);
}

// Nobody's deployment, with slow engines, little memory and links over which
// fetching gains nothing: nothing is fetched, and nearly all are served.
Test(AllocationLoad, slowLinksAreLeftAlone) {
  const Scenario Played = scenario("slow-links");
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SimulationResult Result = simulate(Played, Seed, AllocatorPolicy{});
    cr_expect_eq(Result.Engines.FetchedTokens, 0U);
    cr_expect_gt(Result.Total.worth(), 0.95);
  }
}

Test(AllocationLoad, aSeedPlaysTheSameEveryTime) {
  const Scenario Played = scenario("flood");
  const SimulationResult One = simulate(Played, 3, AllocatorPolicy{});
  const SimulationResult Other = simulate(Played, 3, AllocatorPolicy{});
  cr_expect_eq(One.Total.OnTime, Other.Total.OnTime);
  cr_expect_eq(One.Engines.PrefilledTokens, Other.Engines.PrefilledTokens);
  cr_expect_eq(One.FirstTokens, Other.FirstTokens);
}

Test(ScenarioReader, namesWhatIsWrong) {
  const std::string Path = "/tmp/parsleywing-scenario-test.ini";
  const std::string Good = "[scenario]\nengines = 1\nlength-s = 1\n"
                           "stated-tokens-per-second = 1\n[class-a]\n"
                           "per-second = 1\nown-tokens = 1\n"
                           "output-tokens = 1\nobjective-ms = 1\n"
                           "time-limit-ms = 1\n";
  const auto Problem = [&Path](const std::string &Text) {
    std::ofstream(Path) << Text;
    const auto Read = readScenario(Path);
    return Read ? std::string() : Read.error().Message;
  };
  cr_expect_str_empty(Problem(Good).c_str());
  const auto Names = [&](const std::string &Text, const char *What) {
    cr_expect_neq(Problem(Text).find(What), std::string::npos, "%s",
                  Problem(Text).c_str());
  };
  Names(Good + "shared = 5\n", "TOKENSxTHINGS");
  Names(Good + "own-tokns = 5\n", "own-tokns");
  Names(Good + "[flood-x]\naccount = 1\n", "from-s");
  Names(Good + "[engine]\nslots = many\n", "engine.slots");
  Names(Good + "[elsewhere]\nx = 1\n", "elsewhere");
  cr_expect_not(readScenario("/tmp/no such file.ini").has_value());
}
