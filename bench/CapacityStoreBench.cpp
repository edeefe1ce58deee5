// Measures the cost of a configuration relay's two list reads every 2 s at the
// size for which the system is designed: the leases of 380 routers, and a list
// of VMs with 12,380 entries. CPU time is that of the calling thread only; the
// stand-in for the store runs in the same process.
// Run: `build/CapacityStoreBench`; takes about 10 s.

#include "Platform/StoreClient.h"
#include "standin/StoreStandIn.h"

#include <benchmark/benchmark.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr int Reads = 10;

std::shared_ptr<StoreBudget> unlimitedBudget() {
  constexpr double Unlimited = 1e6;
  return std::make_shared<StoreBudget>(Unlimited, Unlimited,
                                       Clock::steady().now());
}

void readList(benchmark::State &State) {
  standin::StoreStandIn Store({"127.0.0.1:0"});
  Store.start();
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Store.setVm("server-" + std::to_string(I), "live");
  StoreClient Client({Store.address(), 10s, 500ms}, unlimitedBudget(),
                     Clock::steady());
  std::size_t Entries = 0;
  std::size_t Bytes = 0;
  while (State.KeepRunning()) {
    const auto Range = Client.getPrefix("vms/");
    if (!Range) {
      State.SkipWithError(Range.error().Message.c_str());
      break;
    }
    Entries = Range->Entries.size();
    Bytes = 0;
    for (const StoreEntry &Entry : Range->Entries)
      Bytes += Entry.Key.size() + Entry.Value.size();
  }
  State.counters["entries"] = static_cast<double>(Entries);
  State.counters["text_bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(readList)
    ->Arg(380)
    ->Arg(3095)
    ->Arg(12380)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(Reads);

} // namespace

BENCHMARK_MAIN();
