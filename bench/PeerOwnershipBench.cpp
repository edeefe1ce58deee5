#include "Decision/Membership/OwnerCache.h"

#include <algorithm>
#include <benchmark/benchmark.h>

using namespace parsleywing;

namespace {

constexpr std::uint64_t Routers = 380;
constexpr std::uint64_t Servers = 12'000;
constexpr std::uint64_t AccountServicePairs = std::uint64_t{24'000} * 5;

View fleet(std::uint64_t Size) {
  View FleetView{RouterId{1}, {}};
  for (std::uint64_t Router = 1; Router <= Size; ++Router)
    FleetView.Members.push_back({RouterId{Router * 0x9e3779b97f4a7c15ULL}, 1});
  std::sort(FleetView.Members.begin(), FleetView.Members.end(),
            [](const Member &Left, const Member &Right) {
              return Left.Router < Right.Router;
            });
  return FleetView;
}

void fill(OwnerCache &Cache, std::uint64_t Keys) {
  for (std::uint64_t Key = 0; Key < Keys; ++Key)
    benchmark::DoNotOptimize(Cache.ownerOf(Key * 0x2545f4914f6cdd1dULL));
}

void uncachedKey(benchmark::State &State) {
  const View Current = fleet(Routers);
  std::uint64_t Key = 0;
  while (State.KeepRunning())
    benchmark::DoNotOptimize(ownerOf(Current, ++Key));
}
BENCHMARK(uncachedKey);

void cachedKey(benchmark::State &State) {
  OwnerCache Cache(fleet(Routers));
  fill(Cache, Servers);
  std::uint64_t Key = 0;
  while (State.KeepRunning())
    benchmark::DoNotOptimize(
        Cache.ownerOf((Key++ % Servers) * 0x2545f4914f6cdd1dULL));
}
BENCHMARK(cachedKey);

/// One router leaves and returns, with this many keys cached.
void viewChange(benchmark::State &State) {
  const View Full = fleet(Routers);
  View Reduced = Full;
  Reduced.Members.erase(Reduced.Members.begin() + 100);
  OwnerCache Cache(Full);
  fill(Cache, static_cast<std::uint64_t>(State.range(0)));
  while (State.KeepRunning()) {
    benchmark::DoNotOptimize(Cache.update(Reduced));
    benchmark::DoNotOptimize(Cache.update(Full));
  }
}
BENCHMARK(viewChange)
    ->Arg(Servers)
    ->Arg(AccountServicePairs)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
