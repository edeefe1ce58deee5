#include "Soak/SoakFleet.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace parsleywing::test;

namespace {

/// A number from the environment, for runs by hand.
std::uint64_t setting(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

void soak(std::uint64_t Seed, std::uint64_t Seconds) {
  SoakFleet Fleet(Seed);
  Fleet.run(std::chrono::seconds(Seconds));
  const auto Broken = Fleet.violations();
  for (const std::string &Each : Broken)
    cr_log_warn("seed %lu: %s", static_cast<unsigned long>(Seed), Each.c_str());
  cr_assert(Broken.empty(), "seed %lu: %zu promises broken, the first: %s",
            static_cast<unsigned long>(Seed), Broken.size(),
            Broken.empty() ? "" : Broken[0].c_str());
  cr_assert_gt(Fleet.served() * 4, Fleet.requested(),
               "seed %lu: %zu of %zu were served%s",
               static_cast<unsigned long>(Seed), Fleet.served(),
               Fleet.requested(), Fleet.summary().c_str());
  cr_log_info("seed %lu: %zu of %zu served", static_cast<unsigned long>(Seed),
              Fleet.served(), Fleet.requested());
}

} // namespace

// Guards against requests that end without an answer, answers that are cut or
// another's, and runs that nobody may have. Callers use their connections again
// for as long as routers keep them. Routers are killed, frozen and stopped, the
// store is away, silent, slow and forgetful, ways to servers and to the store
// are reset, silent in one direction and slow, servers break off, refuse and
// answer twice, and a key is taken away, in series that overlap. By hand:
//   SOAK_SEED=7 SOAK_SECONDS=20 SOAK_RUNS=50 build/SoakFaultsTest
Test(Faults, everyPromiseHoldsWhileTheyGoOn, .timeout = 3600) {
  const std::uint64_t First = setting("SOAK_SEED", 1);
  const std::uint64_t Runs = setting("SOAK_RUNS", 1);
  for (std::uint64_t Seed = First; Seed < First + Runs; ++Seed)
    soak(Seed, setting("SOAK_SECONDS", 14));
}

// Symptom: a quarter of all requests is served, none in the calm at the end.
// Sequence: by the end of the faults each router has been restarted by them.
// Cause: a child process ends with the thread that has started it.
Test(Faults, routersThatFaultsRestartedServeInTheCalmBehindThem,
     .timeout = 120) {
  constexpr std::uint64_t SeedThatFailed = 30;
  soak(SeedThatFailed, 14);
}
