// Long randomised runs of several schedulers that exchange messages over a
// lossy network.
#include "Decision/FairnessFleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr std::uint64_t SeedsInCi = 24;
/// The bound for a `ReturnSlack` of 2. The bound for the default of 16 is twice
/// as wide, which is too wide to detect that no slot is moved back for seconds.
constexpr double NarrowBound = 12480;
constexpr std::chrono::seconds RecoveryTime{30};
constexpr std::chrono::seconds MeasurementTime{60};

/// FAIRNESS_SEEDS and FAIRNESS_FIRST_SEED select the seeds of a longer run; see
/// tools/fairness-run.sh.
std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : std::strtoull(Value, nullptr, 10);
}

FleetSetup setupOf(std::uint64_t Seed) {
  FleetSetup Setup;
  Setup.Seed = Seed;
  return Setup;
}

/// Runs for 20 s in which about one fault is injected per second.
void injectFaults(FairnessFleet &Fleet, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  for (int Second = 0; Second < 20; ++Second) {
    const std::size_t Router = Random() % Fleet.routers();
    switch (Random() % 6) {
    case 0:
      Fleet.setDisconnected(Router, true);
      break;
    case 1:
      Fleet.restart(Router);
      break;
    case 2:
      Fleet.setCondition(Random() % 16, ServerCondition::Leaving);
      break;
    case 3:
      Fleet.setQueueLength(Random() % 16, 200);
      break;
    case 4:
      Fleet.setQueueLength(Random() % 16, 0);
      break;
    default:
      break;
    }
    Fleet.run(std::chrono::seconds(1));
  }
}

void repairFaults(FairnessFleet &Fleet) {
  for (std::size_t I = 0; I < Fleet.routers(); ++I)
    Fleet.setDisconnected(I, false);
  for (std::size_t I = 0; I < 16; ++I) {
    Fleet.setCondition(I, ServerCondition::Usable);
    Fleet.setQueueLength(I, I % 4 == 0 ? 24 : 6);
  }
}

} // namespace

// Guards against an account that remains behind, or a server that idles while
// requests are queued, after partitions, restarts without state, floods and
// leaving servers, because the faults left virtual times or slots wrong
// permanently. Messages are lost, duplicated and reordered throughout; 20 s of
// faults are followed by 30 s to recover and 60 s of measurement. Fails if
// differing slot counters are not reported and the debts of waiting accounts
// are not limited, and with `LocalOnlyPolicy` (see below).
Test(FairnessRandom, gapAndUtilisationHoldAfterFaults) {
  const std::uint64_t First = fromEnvironment("FAIRNESS_FIRST_SEED", 1);
  const std::uint64_t Count = fromEnvironment("FAIRNESS_SEEDS", SeedsInCi);
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    FairnessFleet Fleet(setupOf(Seed));
    Fleet.run(std::chrono::seconds(10));
    injectFaults(Fleet, Seed);
    repairFaults(Fleet);
    Fleet.run(RecoveryTime);
    Fleet.startMeasurement();
    Fleet.run(MeasurementTime);
    const std::vector<double> Served = Fleet.served();
    std::fprintf(stderr,
                 "seed %llu: gap %.0f of %.0f, utilisation %.3f, above %u\n",
                 static_cast<unsigned long long>(Seed), Fleet.gap(),
                 Fleet.bound(), Fleet.utilisation(), Fleet.maxAboveDeclared());
    cr_expect_leq(Fleet.gap(), Fleet.bound(), "gap, seed %llu",
                  static_cast<unsigned long long>(Seed));
    cr_expect_leq(Fleet.gap(), NarrowBound, "narrow gap, seed %llu",
                  static_cast<unsigned long long>(Seed));
    cr_expect_geq(Fleet.utilisation(), 0.97, "utilisation, seed %llu",
                  static_cast<unsigned long long>(Seed));
    cr_expect_eq(Fleet.maxAboveDeclared(), 0U, "slots, seed %llu",
                 static_cast<unsigned long long>(Seed));
    cr_expect_gt(std::ranges::min(Served), 0.0, "starved, seed %llu",
                 static_cast<unsigned long long>(Seed));
  }
}

// Guards against servers of other owners that idle while all requests are
// queued at one router, because slots stay at routers without requests: all
// accounts enter at one of eight routers. It has not been shown that the test
// fails if idle slots are not returned.
Test(FairnessRandom, workAtOneRouterUsesAllServers) {
  FairnessFleet Fleet(setupOf(7));
  Fleet.enterOnlyAt(3);
  Fleet.run(std::chrono::seconds(15));
  Fleet.startMeasurement();
  Fleet.run(std::chrono::seconds(30));
  cr_expect_geq(Fleet.utilisation(), 0.97, "utilisation %f",
                Fleet.utilisation());
}

// Without sharing, the gap grows with time. This run shows that the bound above
// does not hold without the mechanism.
Test(FairnessRandom, localQueuesExceedTheBound) {
  double Gaps[2];
  for (int Shared = 0; Shared < 2; ++Shared) {
    FleetSetup Setup = setupOf(1);
    if (Shared == 0)
      Setup.Fairness.Policy = LocalOnlyPolicy{};
    FairnessFleet Fleet(Setup);
    Fleet.run(std::chrono::seconds(15));
    Fleet.startMeasurement();
    Fleet.run(std::chrono::seconds(200));
    Gaps[Shared] = Fleet.gap();
    cr_expect_eq(Fleet.gap() > Fleet.bound(), Shared == 0, "gap %f of %f",
                 Fleet.gap(), Fleet.bound());
  }
  cr_expect_leq(Gaps[1], NarrowBound);
  cr_expect_gt(Gaps[0], 10 * Gaps[1], "%f against %f", Gaps[0], Gaps[1]);
}
