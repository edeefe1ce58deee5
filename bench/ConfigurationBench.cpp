#include "Decision/Configuration/ConfigurationKeeper.h"
#include "Platform/ConfigurationStore.h"
#include "Platform/RunRecordWriter.h"
#include "standin/StoreStandIn.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <fstream>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Accounts = 24000;

std::string fileOf(std::uint64_t Change) {
  std::string Text;
  for (std::size_t Index = 0; Index < Accounts; ++Index) {
    const std::string Name = "member-" + std::to_string(Index);
    Text += "[account " + Name + "]\nshare = " +
            std::to_string(Index == Change % Accounts ? 1 + Change : 1) +
            "\nkey-digest = " + toString(hashBytes(Name)) +
            toString(hashBytes(Name)) +
            "\nservices = advisory, record\nmax-queued = 1000\n\n";
  }
  return Text;
}

double residentMegabytes() {
  std::ifstream In("/proc/self/statm");
  std::uint64_t Size = 0;
  std::uint64_t Resident = 0;
  In >> Size >> Resident;
  return static_cast<double>(Resident) * 4096 / 1e6;
}

struct Fixture {
  Fixture() : Store({"127.0.0.1:0"}) { this->Store.start(); }

  ConfigurationStore open() {
    return ConfigurationStore({},
                              StoreClient({this->Store.address(), 5s, 500ms},
                                          this->Budget, Clock::steady()),
                              Clock::steady());
  }

  standin::StoreStandIn Store;
  std::shared_ptr<StoreBudget> Budget =
      std::make_shared<StoreBudget>(1e6, 1e6, Clock::steady().now());
};

} // namespace

static void parseCompleteText(benchmark::State &State) {
  const std::string File = fileOf(1);
  while (State.KeepRunning())
    benchmark::DoNotOptimize(ConfigurationText(File));
  State.counters["bytes"] = static_cast<double>(File.size());
}
BENCHMARK(parseCompleteText)->Unit(benchmark::kMillisecond);

static void memoryOfText(benchmark::State &State) {
  while (State.KeepRunning()) {
    const std::string File = fileOf(1);
    const double Before = residentMegabytes();
    const ConfigurationText Text(File);
    State.counters["megabytes"] = residentMegabytes() - Before;
    benchmark::DoNotOptimize(Text.sections());
  }
}
BENCHMARK(memoryOfText)->Iterations(1);

static void applyFirst(benchmark::State &State) {
  const std::string File = fileOf(1);
  while (State.KeepRunning()) {
    State.PauseTiming();
    auto F = std::make_unique<Fixture>();
    auto Store = F->open();
    State.ResumeTiming();
    const auto Outcome = Store.apply(File, "operator");
    State.PauseTiming();
    if (!std::holds_alternative<ApplyAccepted>(Outcome))
      State.SkipWithError("not accepted");
    State.counters["calls"] = static_cast<double>(F->Store.allCalls());
    F.reset();
    State.ResumeTiming();
  }
}
BENCHMARK(applyFirst)->Unit(benchmark::kMillisecond)->Iterations(5);

static void applyOneChange(benchmark::State &State) {
  Fixture F;
  auto Store = F.open();
  (void)Store.apply(fileOf(0), "operator");
  std::uint64_t Change = 1;
  const auto Before = F.Store.allCalls();
  while (State.KeepRunning()) {
    State.PauseTiming();
    const std::string File = fileOf(Change++);
    State.ResumeTiming();
    if (!std::holds_alternative<ApplyAccepted>(Store.apply(File, "operator")))
      State.SkipWithError("not accepted");
  }
  State.counters["calls"] =
      benchmark::Counter(static_cast<double>(F.Store.allCalls() - Before) /
                         static_cast<double>(State.iterations()));
}
BENCHMARK(applyOneChange)->Unit(benchmark::kMillisecond)->Iterations(40);

static void readCompleteText(benchmark::State &State) {
  Fixture F;
  auto Store = F.open();
  (void)Store.apply(fileOf(1), "operator");
  const auto Before = F.Store.allCalls();
  while (State.KeepRunning())
    if (!Store.read())
      State.SkipWithError("not read");
  State.counters["calls"] =
      benchmark::Counter(static_cast<double>(F.Store.allCalls() - Before) /
                         static_cast<double>(State.iterations()));
}
BENCHMARK(readCompleteText)->Unit(benchmark::kMillisecond)->Iterations(5);

/// A router activates one changed section, received from another router.
static void keeperAppliesStep(benchmark::State &State) {
  ConfigurationKeeper Keeper({});
  TimePoint Now{1s};
  View V;
  V.Self = RouterId{1};
  V.Members = {{RouterId{1}, 1, false, 0}, {RouterId{2}, 1, false, 0}};
  Keeper.handle(Now, ViewChanged{V});
  Now += 2s;
  ConfigurationText Text(fileOf(0));
  Keeper.handle(Now, ConfigurationMessageReceived{
                         RouterId{2}, ConfigurationSnapshot{1, Text.hash(),
                                                            Text.fullText()}});
  std::uint64_t Generation = 1;
  while (State.KeepRunning()) {
    State.PauseTiming();
    const ConfigurationDelta Delta{{},
                                   "[account member-" +
                                       std::to_string(Generation % Accounts) +
                                       "]\nshare = 7\n"};
    Text.apply(Delta);
    const ConfigurationSteps Message{
        {{Generation, Generation + 1, Text.hash(), Delta}}};
    State.ResumeTiming();
    Keeper.handle(Now, ConfigurationMessageReceived{RouterId{2}, Message});
    ++Generation;
  }
  if (Keeper.generation() != Generation)
    State.SkipWithError("not in force");
}
BENCHMARK(keeperAppliesStep)->Unit(benchmark::kMicrosecond)->Iterations(500);

/// A relay activates one changed section, read from the parts in the store.
static void relayAppliesChange(benchmark::State &State) {
  ConfigurationKeeper Keeper({});
  TimePoint Now{1s};
  View V;
  V.Self = RouterId{1};
  V.Members = {{RouterId{1}, 1, false, 0}};
  Keeper.handle(Now, ViewChanged{V});
  Now += 2s;
  std::uint64_t Generation = 0;
  const auto PartsByHash = [](const std::vector<std::string> &Parts) {
    std::map<std::string, std::string> All;
    for (const std::string &Part : Parts)
      All[toString(hashBytes(Part))] = Part;
    return All;
  };
  const auto ManifestOf = [&](const ConfigurationText &Text,
                              const std::vector<std::string> &Parts) {
    ConfigurationManifest Manifest;
    Manifest.Generation = ++Generation;
    Manifest.Hash = Text.hash();
    for (const std::string &Part : Parts)
      Manifest.Parts.push_back(hashBytes(Part));
    return Manifest;
  };
  const auto Process =
      [&](const ConfigurationManifest &Manifest,
          const std::map<std::string, std::string> &PartByHash) {
        for (const auto &Action : Keeper.handle(Now, ManifestRead{Manifest}))
          if (const auto *Request = std::get_if<ReadParts>(&Action)) {
            PartsRead Event{Request->Generation, {}};
            for (const TextHash &Part : Request->Parts)
              Event.Texts.push_back(PartByHash.at(toString(Part)));
            Keeper.handle(Now, Event);
          }
      };
  std::uint64_t Change = 0;
  while (State.KeepRunning()) {
    State.PauseTiming();
    const ConfigurationText Text(fileOf(Change++));
    const auto Parts = Text.parts(256U << 10U);
    const auto Manifest = ManifestOf(Text, Parts);
    const auto PartByHash = PartsByHash(Parts);
    State.ResumeTiming();
    Process(Manifest, PartByHash);
  }
  if (Keeper.generation() != Generation)
    State.SkipWithError("not in force");
}
BENCHMARK(relayAppliesChange)->Unit(benchmark::kMillisecond)->Iterations(30);

/// The number of concurrent claims determines the batch size.
static void claimRunRecords(benchmark::State &State) {
  Fixture F;
  RunRecordSettings Settings;
  Settings.WriterId = "bench";
  Settings.ClaimTimeout = 10s;
  RunRecordWriter Writer(Settings, {F.Store.address(), 5s, 500ms}, F.Budget,
                         Clock::steady());
  const auto InFlight = static_cast<std::size_t>(State.range(0));
  std::uint64_t Next = 0;
  while (State.KeepRunning()) {
    std::atomic<std::size_t> Pending{InFlight};
    for (std::size_t Index = 0; Index < InFlight; ++Index) {
      const std::string Key = std::to_string(++Next);
      Writer.claim(AccountId{1}, Key, Key,
                   [&Pending](RunVerdict) { --Pending; });
    }
    while (Pending > 0)
      std::this_thread::yield();
  }
  const double Writes =
      static_cast<double>(F.Store.calls(StoreCall::Transaction));
  State.counters["writes/claim"] = Writes / static_cast<double>(Next);
  State.SetItemsProcessed(static_cast<std::int64_t>(Next));
}
BENCHMARK(claimRunRecords)
    ->Arg(1)
    ->Arg(5)
    ->Arg(20)
    ->Arg(50)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(50)
    ->UseRealTime();

BENCHMARK_MAIN();
