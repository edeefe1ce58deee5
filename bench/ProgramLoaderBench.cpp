// What a change of one client account costs a router at the target's size,
// 24,000 accounts and 12,000 servers: read whole, made on a copy, and made on
// declarations that nobody holds any more.

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

std::string wholeText() {
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

/// Changes one account each time. The text stays as it was: only a whole read
/// looks at it.
class Changes {
public:
  Changes() : Text(std::make_shared<const std::string>(wholeText())) {}

  DeclarationsPtr next(bool FollowsTheLast) {
    const int Number = static_cast<int>(++this->Generation % AccountCount);
    const PutInForce Put{this->Generation,
                         this->Text,
                         {{}, accountSection(Number, 2 + Number % 7)}};
    auto Made = this->Updater.update(Put, FollowsTheLast);
    return Made ? *Made : nullptr;
  }

  DeclarationsUpdater Updater;

private:
  std::shared_ptr<const std::string> Text;
  std::uint64_t Generation = 0;
};

void readWhole(benchmark::State &State) {
  Changes Each;
  DeclarationsPtr Held;
  for (auto Unused : State) {
    (void)Unused;
    Held = Each.next(false);
  }
}

/// `Holders` generations stay held, as by requests that run for long.
void changeOne(benchmark::State &State) {
  Changes Each;
  std::vector<DeclarationsPtr> Held(
      static_cast<std::size_t>(State.range(0)) + 1, Each.next(false));
  std::size_t Turn = 0;
  for (auto Unused : State) {
    (void)Unused;
    Held[Turn++ % Held.size()] = Each.next(true);
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

BENCHMARK(readWhole)->Unit(benchmark::kMillisecond);
BENCHMARK(changeOne)->Arg(0)->Arg(3)->Unit(benchmark::kMillisecond);
BENCHMARK(indexKeys)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
