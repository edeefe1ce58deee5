#include "Placement/Allocator.h"
#include "Runtime/Id.h"

#include <benchmark/benchmark.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t SharedParts = 100;
constexpr TimePoint Now{1h};

std::shared_ptr<const ServerList> engines(std::int64_t Count) {
  auto Listed = std::make_shared<ServerList>();
  for (std::int64_t I = 0; I < Count; ++I) {
    GatewayServer Server;
    Server.Id = "e" + std::to_string(I);
    Server.Service = "engines";
    Server.Slots = 64;
    Listed->emplace(Server.Id, Server);
  }
  return Listed;
}

AllocationRequest request(std::uint64_t Number, std::uint32_t OwnTokens) {
  AllocationRequest Request;
  Request.Id = {1, Number};
  Request.Group = hashName("engines");
  Request.Account = Number % 30;
  Request.Parts = {{1 + Number % SharedParts, 6'300},
                   {1'000'000 + Number, OwnTokens}};
  Request.PromptTokens = 6'300 + OwnTokens;
  Request.MaxOutputTokens = 10;
  Request.ObjectiveLeftMs = 600;
  Request.MaxWaitMs = 600;
  return Request;
}

/// One request at engines that have no room, so that it is placed twice and
/// waits: the longest decision. Without the switch it is placed once.
void decideWhileFull(benchmark::State &State) {
  const auto Listed = engines(State.range(0));
  GatewayConfiguration Configuration;
  GatewayService &Service = Configuration.Services["engines"];
  Service.KvCapacityTokens = 324'361;
  Service.KvBytesPerToken = 1;
  Service.LinkBytesPerMs = 1'900;
  Configuration.Limits.TokensPerSecond =
      static_cast<std::uint64_t>(State.range(0)) * 93'600;
  AllocatorOptions Options;
  Options.WeighCachedPrompts = State.range(1) != 0;
  Options.RefuseLikelyTimeouts = false;
  Allocator Subject(Options);
  Subject.setServers(Listed, &Configuration, ServerGroups(*Listed));
  std::uint64_t Number = 0;
  // Leaves engines with room for an empty prompt (`free`), so that each further
  // request is placed, but not for the prompts below.
  while (Subject.queuedRequests() == 0)
    Subject.handle(request(++Number, 8'000), Now);
  Subject.takeReplies();
  for (auto Unused : State) {
    (void)Unused;
    const AllocationRequest Asked = request(++Number, 30'000);
    Subject.handle(Asked, Now);
    Subject.handle(AllocationCancelled{Asked.Id}, Now);
    benchmark::DoNotOptimize(Subject.takeReplies());
  }
  State.counters["free"] = Subject.capacityOf(hashName("engines"), Now).Free;
  State.counters["per server"] = benchmark::Counter(
      static_cast<double>(State.iterations() * State.range(0)),
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(decideWhileFull)->ArgsProduct({{40}, {0, 1}});

/// The comparison of two options alone.
void choose(benchmark::State &State) {
  PrefillOption Wait;
  Wait.Server = 1;
  Wait.BacklogTokens = 18'000;
  Wait.PrefillTokens = 2'890;
  PrefillOption Other = Wait;
  Other.Server = 2;
  Other.BacklogTokens = 900;
  Other.FetchTokens = 6'300;
  for (auto Unused : State) {
    (void)Unused;
    benchmark::DoNotOptimize(choosePrefill(Wait, Other, {93.6, 1'900, 600}));
  }
}
BENCHMARK(choose);

} // namespace

BENCHMARK_MAIN();
