#include "Placement/StreamDirectory.h"
#include "Placement/VersionHistory.h"

#include <array>
#include <benchmark/benchmark.h>
#include <memory>
#include <string>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

RouterList routers(std::int64_t Count, const std::string &Without = {}) {
  RouterList Listed;
  for (std::int64_t I = 0; I < Count; ++I) {
    const std::string Name = "router-" + std::to_string(I);
    if (Name != Without)
      Listed[Name].Zone = "zone-" + std::to_string(I % 9);
  }
  return Listed;
}

/// The key of a stream by its number, spread over all shards.
StreamKey keyOf(std::uint64_t Number) { return {Number * 0x9E3779B97F4A7C15U}; }

/// A directory that knows the streams which a router of the target's size has
/// begun or keeps copies of: 50 a second, for 17 s, three times.
StreamDirectory loadedDirectory(std::int64_t RouterCount, TimePoint Now) {
  constexpr std::uint64_t Streams = 2550;
  StreamDirectory Directory("router-0");
  Directory.setRouters(routers(RouterCount));
  for (std::uint64_t I = 0; I < Streams; ++I)
    Directory.bind(keyOf(I), {1}, 1h, Now);
  Directory.tick(Now);
  Directory.takeOutgoing();
  return Directory;
}

void makeKey(benchmark::State &State) {
  for (auto Unused : State) {
    (void)Unused;
    benchmark::DoNotOptimize(streamKeyOf("account", "9c41d07be2a35f68"));
  }
}
BENCHMARK(makeKey);

/// One stream begun, with the messages to two routers encoded.
void bind(benchmark::State &State) {
  const TimePoint Now{1h};
  StreamDirectory Directory = loadedDirectory(State.range(0), Now);
  std::uint64_t Number = 1'000'000;
  std::size_t Bytes = 0;
  for (auto Unused : State) {
    (void)Unused;
    Directory.bind(keyOf(++Number), {1}, 1ms, Now);
    for (const auto &Each : Directory.takeOutgoing())
      Bytes += encodeMessages({Each.Message}).size();
    Directory.tick(Now + 1s);
  }
  State.counters["bytes"] = benchmark::Counter(
      static_cast<double>(Bytes), benchmark::Counter::kAvgIterations);
}
BENCHMARK(bind)->Arg(6)->Arg(302)->Arg(380);

/// A lookup that other routers answer: queries, six answers.
void lookup(benchmark::State &State) {
  const TimePoint Now{1h};
  StreamDirectory Directory = loadedDirectory(State.range(0), Now);
  std::uint64_t Number = 1'000'000;
  std::size_t Bytes = 0;
  for (auto Unused : State) {
    (void)Unused;
    const CorrelationId Id{1, ++Number};
    Directory.find(Id, keyOf(Number), Now);
    for (const auto &Each : Directory.takeOutgoing())
      Bytes += encodeMessages({Each.Message}).size();
    Directory.onAnswer({Id, 1, StreamLookupResult::Known, {1}}, Now);
    benchmark::DoNotOptimize(Directory.takeFinished());
  }
  State.counters["bytes"] = benchmark::Counter(
      static_cast<double>(Bytes), benchmark::Counter::kAvgIterations);
}
BENCHMARK(lookup)->Arg(6)->Arg(302)->Arg(380);

/// A router leaves the list and returns: the new replicas are told.
void routerLeavesAndReturns(benchmark::State &State) {
  TimePoint Now{1h};
  StreamDirectory Directory = loadedDirectory(State.range(0), Now);
  std::size_t Told = 0;
  for (auto Unused : State) {
    (void)Unused;
    for (const char *Without : {"router-1", ""}) {
      Directory.setRouters(routers(State.range(0), Without));
      Now += 1s;
      Directory.tick(Now);
      for (const auto &Each : Directory.takeOutgoing())
        Told += std::get<StreamsBound>(Each.Message).Bindings.size();
    }
  }
  State.counters["told"] = benchmark::Counter(
      static_cast<double>(Told), benchmark::Counter::kAvgIterations);
}
BENCHMARK(routerLeavesAndReturns)->Arg(6)->Arg(302)->Arg(380);

/// A process that has just started finds the routers to ask.
void firstList(benchmark::State &State) {
  const RouterList Listed = routers(State.range(0));
  for (auto Unused : State) {
    (void)Unused;
    StreamDirectory Directory("router-0");
    Directory.setRouters(Listed);
    benchmark::DoNotOptimize(Directory.takeOutgoing());
  }
}
BENCHMARK(firstList)->Arg(6)->Arg(302)->Arg(380);

/// A new list of this number of servers, of two versions in ten services.
void versionsOfAList(benchmark::State &State) {
  FleetView View;
  View.Configuration = std::make_shared<GatewayConfiguration>();
  ServerList Listed;
  for (std::int64_t I = 0; I < State.range(0); ++I) {
    GatewayServer Server;
    Server.Id = "server-" + std::to_string(I);
    Server.Service = "service-" + std::to_string(I % 10);
    Server.Version = "v1." + std::to_string(I % 20 / 10);
    Listed.emplace(Server.Id, Server);
  }
  const std::array<std::shared_ptr<const ServerList>, 2> Lists{
      std::make_shared<ServerList>(Listed),
      std::make_shared<ServerList>(Listed)};
  VersionHistory History(2s);
  TimePoint Now{1h};
  std::size_t Next = 0;
  for (auto Unused : State) {
    (void)Unused;
    Now += 1s;
    View.ListsProvenAt = Now;
    View.Servers = Lists.at(++Next % 2);
    History.update(View, Now);
  }
}
BENCHMARK(versionsOfAList)->Arg(65)->Arg(2000);

} // namespace

BENCHMARK_MAIN();
