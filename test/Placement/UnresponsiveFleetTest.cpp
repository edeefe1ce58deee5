#include "Placement/SilenceModel.h"

#include <array>
#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>

// Symptom: all servers of a zone pause for a second. Each router asks for other
// servers for all requests there at once, and gives up those that get none.
// Sequence: 302 routers with 19,000 requests a second; one server in three or
// in nine, or all, pause. Cause: the same pause is seen by all routers at the
// same time, so what one router does for a silent request counts once for each
// of them. With `SilencePolicy::GiveUp`, `nothingIsLostToAPause` fails.

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

struct Way {
  const char *Name;
  SilencePolicy Policy;
  Duration StreamLimit;
  Duration HeadLimit;
};

constexpr std::array Ways{
    Way{"give up", SilencePolicy::GiveUp, 1s, 800ms},
    Way{"give up, 3 s", SilencePolicy::GiveUp, 3s, 3s},
    Way{"hedge", SilencePolicy::Hedge, 1s, 800ms},
};

SilenceResult play(const SilenceScenario &Scenario) {
  return SilenceModel(Scenario).run();
}

/// The bounds of the target, whatever share of the servers is silent.
void assertBounds(const SilenceScenario &Scenario,
                  const SilenceResult &Result) {
  cr_assert(!Result.Violation, "%s",
            Result.Violation ? Result.Violation->c_str() : "");
  const double Budget =
      Scenario.Bounds.Ratio * static_cast<double>(Scenario.RequestsPerSecond) *
          std::chrono::duration<double>(Scenario.Bounds.Window).count() +
      Scenario.Bounds.Slack;
  cr_assert_leq(static_cast<double>(Result.MostRetries), Budget);
  cr_assert_eq(Result.AskedTooOften, 0U);
  cr_assert_eq(Result.Whole + Result.Refused + Result.lost(), Result.Requests);
}

void print(const char *Name, const SilenceScenario &Scenario,
           const SilenceResult &Result) {
  const std::string Silence =
      Scenario.Pause ? std::to_string(*Scenario.Pause / 1ms) + " ms" : "dead";
  std::printf("| %s | %s | 1/%zu | %.0f %% | %zu | %zu | %zu | %zu | %zu | "
              "%zu | %zu | %zu | %zu | %zu | %zu | %.0f |\n",
              Name, Silence.c_str(), Scenario.SilentOneIn, 100 * Scenario.Load,
              Result.Requests, Result.Whole, Result.Refused, Result.CutOff,
              Result.Failed, Result.Left, Result.Silent,
              Result.FurtherAllocations, Result.FurtherAttempts, Result.Denied,
              Result.MostRetries,
              std::chrono::duration<double>(Result.WorkTwice).count());
  std::fflush(stdout);
}

} // namespace

Test(UnresponsiveFleet, nothingIsLostToAPause, .timeout = 300) {
  for (const std::size_t SilentOneIn : {9, 3, 1}) {
    SilenceScenario Scenario;
    Scenario.SilentOneIn = SilentOneIn;
    const SilenceResult Result = play(Scenario);
    assertBounds(Scenario, Result);
    cr_assert_gt(Result.Silent, 0U);
    cr_assert_eq(Result.lost(), 0U, "%zu of %zu silent requests", Result.lost(),
                 Result.Silent);
  }
}

Test(UnresponsiveFleet, deadServersCostNoMoreThanTheBudget, .timeout = 300) {
  SilenceScenario Scenario;
  Scenario.Pause.reset();
  const SilenceResult Result = play(Scenario);
  assertBounds(Scenario, Result);
  cr_assert_gt(Result.Silent, 0U);
}

// Guards against messages for each router, which the zone's pause would
// multiply.
Test(UnresponsiveFleet, costDoesNotGrowWithTheNumberOfRouters, .timeout = 300) {
  for (const std::size_t Routers : {38, 604}) {
    SilenceScenario Scenario;
    Scenario.Routers = Routers;
    Scenario.Pause = 1500ms;
    const SilenceResult Result = play(Scenario);
    assertBounds(Scenario, Result);
    // The longest silence is the pause and the time between two events, which
    // contains one limit of a stream and one before the head.
    cr_assert_leq(Result.FurtherAllocations, Result.Silent);
    // At most all requests that run or arrive at silent servers meet it: those
    // of the longest answer's time and of the pause.
    cr_assert_leq(Result.Silent,
                  Scenario.RequestsPerSecond * 6 / Scenario.SilentOneIn);
  }
}

// `SILENCE_TABLE=MS` prints what the ways cost beside a pause of so many
// milliseconds, and beside dead servers if it is 0.
Test(UnresponsiveFleet, table, .timeout = 3000) {
  const char *Length = std::getenv("SILENCE_TABLE");
  if (Length == nullptr)
    return;
  const Duration Pause = std::chrono::milliseconds(std::atoi(Length));
  std::printf("| way | silence | servers | load | requests | whole | refused | "
              "cut off | failed | left | silent | further allocations | "
              "further attempts | denied | most in 10 s | server s twice |\n");
  for (const auto &[SilentOneIn, Load] :
       {std::pair{3, 0.6}, {3, 0.9}, {3, 1.0}, {9, 0.9}, {1, 0.9}})
    for (const Way &Each : Ways) {
      SilenceScenario Scenario;
      Scenario.Policy = Each.Policy;
      Scenario.StreamLimit = Each.StreamLimit;
      Scenario.HeadLimit = Each.HeadLimit;
      Scenario.Load = Load;
      Scenario.SilentOneIn = static_cast<std::size_t>(SilentOneIn);
      Scenario.Pause = Pause > Duration::zero() ? std::optional(Pause)
                                                : std::optional<Duration>();
      const SilenceResult Result = play(Scenario);
      print(Each.Name, Scenario, Result);
      assertBounds(Scenario, Result);
    }
}
