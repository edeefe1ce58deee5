// Measures the cost of a change of one client account for a router at the
// target size of 24,000 accounts and 12,000 servers: with complete parsing, on
// a copy, and in place on declarations that are no longer referenced.

#include "Caller/AccountKeys.h"
#include "Program/DeclarationsUpdater.h"

#include <benchmark/benchmark.h>

using namespace parsleywing;

namespace {

constexpr int AccountCount = 24'000;
constexpr int ServerCount = 12'000;

std::string accountSection(int Number, int Share) {
  const std::string Digits = std::to_string(Number);
  return "[account account-" + Digits +
         "]\nkey_sha256 = " + std::string(64 - Digits.size(), '0') + Digits +
         "\nshare = " + std::to_string(Share) + "\nservices = a, b\n";
}

std::string completeText() {
  std::string Lists[2];
  std::string Text;
  for (int Number = 0; Number < ServerCount; ++Number) {
    const std::string Name = "server-" + std::to_string(Number);
    Lists[Number % 2] += (Number < 2 ? "" : ", ") + Name;
    Text += "[server " + Name +
            "]\naddress = 10.1.2.3:" + std::to_string(1 + Number) +
            "\navailability_zone = z\n";
  }
  for (int Number = 0; Number < AccountCount; ++Number)
    Text += accountSection(Number, 1);
  return Text + "[service a]\nservers = " + Lists[0] +
         "\n[service b]\nservers = " + Lists[1] + "\n";
}

/// Changes one account in each update. The text stays the same, since only
/// complete parsing reads it.
class Changes {
public:
  Changes() : Text(std::make_shared<const std::string>(completeText())) {}

  DeclarationsPtr next(bool FollowsLast) {
    const int Number = static_cast<int>(++this->Generation % AccountCount);
    const ActivateConfiguration Change{
        this->Generation,
        this->Text,
        {{}, accountSection(Number, 2 + Number % 7)}};
    auto Updated = this->Updater.update(Change, FollowsLast);
    return Updated ? *Updated : nullptr;
  }

  DeclarationsUpdater Updater;

private:
  std::shared_ptr<const std::string> Text;
  std::uint64_t Generation = 0;
};

void parseComplete(benchmark::State &State) {
  Changes Each;
  DeclarationsPtr Current;
  for (auto Unused : State) {
    (void)Unused;
    Current = Each.next(false);
  }
}

/// Keeps references to several generations, as long-running requests do.
void changeOne(benchmark::State &State) {
  Changes Each;
  std::vector<DeclarationsPtr> References(
      static_cast<std::size_t>(State.range(0)) + 1, Each.next(false));
  std::size_t Index = 0;
  for (auto Unused : State) {
    (void)Unused;
    References[Index++ % References.size()] = Each.next(true);
  }
  State.counters["in_place"] =
      static_cast<double>(Each.Updater.inPlaceUpdates()) /
      static_cast<double>(State.iterations());
}

void indexKeys(benchmark::State &State) {
  Changes Each;
  const DeclarationsPtr Declared = Each.next(false);
  for (auto Unused : State) {
    (void)Unused;
    const AccountKeys Keys(*Declared);
    benchmark::DoNotOptimize(&Keys);
  }
}

BENCHMARK(parseComplete)->Unit(benchmark::kMillisecond);
BENCHMARK(changeOne)->Arg(0)->Arg(3)->Unit(benchmark::kMillisecond);
BENCHMARK(indexKeys)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
