#include "Decision/CrashFleet.h"

#include <criterion/criterion.h>

using namespace parsleywing::test;
using namespace std::chrono_literals;

// Guards against counting one crash twice if two routers had equal requests at
// the server and one of them had missed an earlier crash of it.
Test(CrashKnowledge, oneCrashCountsOnceDespiteAMissedEarlierOne) {
  constexpr std::uint64_t Earlier = 1;
  constexpr std::uint64_t Innocent = 2;
  CrashFleet Fleet(3, 10);
  Fleet.Disconnected = {3};
  Fleet.crash(1, Earlier, 1);
  Fleet.run(1s);
  Fleet.crash(1, Innocent, 1);
  Fleet.crash(3, Innocent, 1);
  Fleet.Disconnected.clear();
  Fleet.run(10s);
  cr_assert_eq(Fleet.crashCount(1, Innocent), 1U);
}
