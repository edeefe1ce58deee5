#include "Placement/RetryAllowance.h"

#include <benchmark/benchmark.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

/// An allowance after two windows of steady requests, and its share.
struct LoadedAllowance {
  LoadedAllowance() {
    for (int I = 0; I < 1000; ++I) {
      this->Now += 20ms;
      this->Allowance.recordRequest(this->Now);
    }
  }

  RetryAllowance Allowance{{0.2, 10s, 50}};
  FleetShare Share{"r", 10s};
  TimePoint Now{1h};
};

/// Counting one request.
void recordRequest(benchmark::State &State) {
  LoadedAllowance Loaded;
  for (auto Unused : State) {
    (void)Unused;
    Loaded.Now += 20us;
    Loaded.Allowance.recordRequest(Loaded.Now);
  }
}
BENCHMARK(recordRequest);

/// A retry that is permitted: reserved, confirmed and settled.
void permittedRetry(benchmark::State &State) {
  LoadedAllowance Loaded;
  for (auto Unused : State) {
    (void)Unused;
    Loaded.Now += 1s;
    for (int I = 0; I < 10; ++I)
      Loaded.Allowance.recordRequest(Loaded.Now);
    if (!Loaded.Allowance.tryReserve(Loaded.Now, Loaded.Share))
      continue;
    benchmark::DoNotOptimize(
        Loaded.Allowance.isWithinBound(Loaded.Now, Loaded.Share));
    Loaded.Allowance.settle(Loaded.Now);
  }
}
BENCHMARK(permittedRetry);

/// A decision that examines all windows and reserves nothing.
void decision(benchmark::State &State) {
  LoadedAllowance Loaded;
  for (auto Unused : State) {
    (void)Unused;
    benchmark::DoNotOptimize(
        Loaded.Allowance.hasRetry(Loaded.Now, Loaded.Share));
  }
}
BENCHMARK(decision);

} // namespace

BENCHMARK_MAIN();
