#include "Decision/Membership/OwnerCache.h"

#include <algorithm>
#include <benchmark/benchmark.h>

using namespace parsleywing;

namespace {

constexpr std::uint64_t Routers = 380;
constexpr std::uint64_t Servers = 12'000;
constexpr std::uint64_t AccountServicePairs = std::uint64_t{24'000} * 5;

View fleet(std::uint64_t Size) {
  View Made{RouterId{1}, {}};
  for (std::uint64_t Router = 1; Router <= Size; ++Router)
    Made.Members.push_back({RouterId{Router * 0x9e3779b97f4a7c15ULL}, 1});
  std::sort(Made.Members.begin(), Made.Members.end(),
            [](const Member &Left, const Member &Right) {
              return Left.Router < Right.Router;
            });
  return Made;
}

void fill(OwnerCache &Cache, std::uint64_t Keys) {
  for (std::uint64_t Key = 0; Key < Keys; ++Key)
    benchmark::DoNotOptimize(Cache.ownerOf(Key * 0x2545f4914f6cdd1dULL));
}

void wholeComputation(benchmark::State &State) {
  const View Current = fleet(Routers);
  std::uint64_t Key = 0;
  while (State.KeepRunning())
    benchmark::DoNotOptimize(ownerOf(Current, ++Key));
}
BENCHMARK(wholeComputation);

void cachedKey(benchmark::State &State) {
  OwnerCache Cache(fleet(Routers));
  fill(Cache, Servers);
  std::uint64_t Key = 0;
  while (State.KeepRunning())
    benchmark::DoNotOptimize(
        Cache.ownerOf((Key++ % Servers) * 0x2545f4914f6cdd1dULL));
}
BENCHMARK(cachedKey);

/// One router leaves and comes back, with this many keys remembered.
void viewChange(benchmark::State &State) {
  const View Whole = fleet(Routers);
  View Less = Whole;
  Less.Members.erase(Less.Members.begin() + 100);
  OwnerCache Cache(Whole);
  fill(Cache, static_cast<std::uint64_t>(State.range(0)));
  while (State.KeepRunning()) {
    benchmark::DoNotOptimize(Cache.update(Less));
    benchmark::DoNotOptimize(Cache.update(Whole));
  }
}
BENCHMARK(viewChange)
    ->Arg(Servers)
    ->Arg(AccountServicePairs)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
