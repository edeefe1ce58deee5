#include "Decision/RequestSimulation.h"

#include <criterion/criterion.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>

using namespace parsleywing::test;

namespace {

/// The current run, reported if an invariant is violated.
volatile std::uint64_t CurrentSeed = 0;
volatile std::uint64_t CurrentSteps = 0;

void reportSeed(int) {
  std::cerr << "violated in the run with seed " << CurrentSeed << " and "
            << CurrentSteps << " steps\n";
}

} // namespace

// Non-repeatable requests never run twice, no request that ran is reported as
// not run, every caller gets one final response, and no response is combined
// from two runs. With its default seed, the test fails
// - without the claim of the run record before a request is queued: "two calls
//   with the same idempotency key ran",
// - if a request is restarted after part of its response was forwarded: "a
//   response was combined from two runs",
// - if an attempt that was ordered but not reported as sent counts as not sent:
//   "a request that ran was reported as not run".
Test(RequestRandom, KeepsEveryGuaranteeUnderRandomFailures) {
  setenv("RC_PARAMS", "seed=1 max_success=1000", 0);
  std::signal(SIGABRT, reportSeed);
  const bool Passed = rc::check("all guarantees are kept", [] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto Steps = *rc::gen::inRange<std::uint64_t>(100, 3000);
    CurrentSeed = Seed;
    CurrentSteps = Steps;
    RequestSimulation Simulation(Seed);
    for (std::uint64_t N = 0; N < Steps && Simulation.violation().empty(); ++N)
      Simulation.step();
    if (Simulation.violation().empty())
      Simulation.settle();
    if (!Simulation.violation().empty())
      RC_FAIL(Simulation.violation());
  });
  cr_assert(Passed);
}
