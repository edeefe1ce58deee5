// Measures the cost of reading, writing and comparing declarations at the
// target size: 24,000 client accounts and 12,000 backend servers. Each account
// may use both services; each service has half of the servers.

#include "Operator/DeclarationsDiff.h"
#include "Operator/DeclarationsReader.h"
#include "Operator/DeclarationsWriter.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace parsleywing;

namespace {

Declarations makeDeclarations(std::int64_t Accounts, std::int64_t Servers) {
  Declarations All;
  ServiceDeclaration Services[2];
  for (int Index = 0; Index < 2; ++Index)
    Services[Index].Name = "service-" + std::to_string(Index);
  for (std::int64_t Index = 0; Index < Servers; ++Index) {
    ServerDeclaration Server;
    Server.Name = "server-" + std::to_string(Index);
    Server.Address = "10.1.2.3:" + std::to_string(1 + Index % 60'000);
    Server.Zone = "zone-" + std::to_string(Index % 9);
    const auto Id = idOf<ServerId>(Server.Name);
    Services[Index % 2].Servers.push_back(Id);
    All.Servers.emplace(Id, std::move(Server));
  }
  std::vector<ServiceId> Ids;
  for (ServiceDeclaration &Service : Services) {
    Ids.push_back(idOf<ServiceId>(Service.Name));
    All.Services.emplace(Ids.back(), std::move(Service));
  }
  for (std::int64_t Index = 0; Index < Accounts; ++Index) {
    AccountDeclaration Account;
    Account.Name = "account-" + std::to_string(Index);
    Account.KeyDigest = std::to_string(Index);
    Account.KeyDigest.insert(0, 64 - Account.KeyDigest.size(), '0');
    Account.Services = Ids;
    All.Accounts.emplace(idOf<AccountId>(Account.Name), std::move(Account));
  }
  return All;
}

void readText(benchmark::State &State) {
  const std::string Text =
      writeDeclarations(makeDeclarations(State.range(0), State.range(1)));
  const auto Before = mallinfo2().uordblks;
  auto Held = parseDeclarations(Text, "bench.ini");
  const auto After = mallinfo2().uordblks;
  while (State.KeepRunning()) {
    const auto Parsed = parseDeclarations(Text, "bench.ini");
    if (!Parsed)
      State.SkipWithError(Parsed.error().Message.c_str());
    benchmark::DoNotOptimize(Parsed);
  }
  State.counters["file_bytes"] = static_cast<double>(Text.size());
  State.counters["memory_bytes"] = static_cast<double>(After - Before);
}

void writeText(benchmark::State &State) {
  const Declarations All = makeDeclarations(State.range(0), State.range(1));
  while (State.KeepRunning())
    benchmark::DoNotOptimize(writeDeclarations(All));
}

void compareOneChange(benchmark::State &State) {
  const Declarations Before = makeDeclarations(State.range(0), State.range(1));
  Declarations After = Before;
  After.Accounts.begin()->second.Share = 2;
  while (State.KeepRunning())
    benchmark::DoNotOptimize(compareDeclarations(Before, After));
}

void sizes(benchmark::internal::Benchmark *Bench) {
  Bench->Unit(benchmark::kMillisecond)
      ->Args({16, 16})
      ->Args({2'400, 1'200})
      ->Args({24'000, 12'000});
}

BENCHMARK(readText)->Apply(sizes);
BENCHMARK(writeText)->Apply(sizes);
BENCHMARK(compareOneChange)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
