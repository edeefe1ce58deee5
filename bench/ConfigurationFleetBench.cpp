#include "Operator/OperatorClient.h"
#include "Process/ConfigurationFleet.h"
#include "Program/PlatformDeclarations.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

// Measures the time from the acceptance of a change to its activation at every
// router, and the cost of configuration and membership. Uses router processes
// and a stand-in for the store on this machine and takes about two minutes:
//     ./build/ConfigurationFleetBench [accounts]

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t DefaultAccounts = 2'000;
constexpr std::size_t ManyAccounts = 24'000;
constexpr int LeaseSeconds = 30; // The default of the settings.
constexpr int TimedChanges = 7;
constexpr auto PollPause = std::chrono::milliseconds(5);
constexpr auto MaxChangeTime = std::chrono::seconds(30);
constexpr auto SettleTime = std::chrono::seconds(3);
constexpr auto Window = std::chrono::seconds(10);
constexpr int FirstShare = 10;
constexpr double ChangesPerSecond = 0.9;

double secondsSince(SteadyTime Start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

/// Returns a declarations file with one account per share.
std::string declarationsText(const std::vector<int> &Shares) {
  std::ostringstream Text;
  for (std::size_t Index = 0; Index < Shares.size(); ++Index) {
    const std::string Name = "account-" + std::to_string(Index);
    Text << "[account " << Name << "]\nkey_sha256 = " << digestOfKey(Name)
         << "\nservices = advisory\nshare = " << Shares[Index] << "\n";
  }
  Text << "[service advisory]\nservers = s1\n[server s1]\n"
          "availability_zone = z0\naddress = 127.0.0.1:9\n";
  return Text.str();
}

/// The resource usage of the fleet up to a time.
struct Usage {
  SteadyTime MeasuredAt = std::chrono::steady_clock::now();
  double StoreCalls = 0;
  double RouterCalls = 0;
  double PeerBytes = 0;
  double CpuSeconds = 0;
};

/// The sum of a metric over its labels.
double metric(const std::string &Text, const std::string &Name) {
  double Sum = 0;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with("parsleywing_" + Name) &&
        (Line[Name.size() + 12] == ' ' || Line[Name.size() + 12] == '{'))
      Sum += std::stod(Line.substr(Line.rfind(' ')));
  return Sum;
}

Usage usageOf(const ConfigurationFleet &Fleet,
              const std::vector<FleetRouter> &Routers) {
  Usage Sum;
  Sum.StoreCalls = static_cast<double>(Fleet.storeCalls());
  for (const FleetRouter &Router : Routers) {
    const auto Text = OperatorClient(Router.OperatorAddress).get("/metrics");
    if (!Text)
      throw std::runtime_error(Text.error().Message);
    Sum.RouterCalls += metric(*Text, "store_calls_total");
    Sum.PeerBytes += metric(*Text, "peer_sent_bytes_total") +
                     metric(*Text, "peer_bulk_sent_bytes_total");
    Sum.CpuSeconds += metric(*Text, "process_cpu_seconds_total");
  }
  return Sum;
}

struct Rates {
  double StoreCalls;
  double RouterCalls;
  double BytesPerRouter;
  double CpuPercent;
};

Rates ratesBetween(const Usage &Before, const Usage &After,
                   std::size_t RouterCount) {
  const double Seconds =
      std::chrono::duration<double>(After.MeasuredAt - Before.MeasuredAt)
          .count();
  const double RouterSeconds = Seconds * static_cast<double>(RouterCount);
  return {(After.StoreCalls - Before.StoreCalls) / Seconds,
          (After.RouterCalls - Before.RouterCalls) / Seconds,
          (After.PeerBytes - Before.PeerBytes) / RouterSeconds,
          100 * (After.CpuSeconds - Before.CpuSeconds) / RouterSeconds};
}

class Measurement {
public:
  Measurement(std::size_t RouterCount, std::size_t AccountCount)
      : Shares(AccountCount, FirstShare),
        Fleet(RouterCount, false, LeaseSeconds) {}

  void run() {
    this->apply();
    this->waitForAllRouters();
    std::this_thread::sleep_for(SettleTime);
    std::vector<double> Times;
    for (int Change = 0; Change < TimedChanges; ++Change) {
      this->apply();
      Times.push_back(this->waitForAllRouters());
    }
    std::ranges::sort(Times);
    std::this_thread::sleep_for(SettleTime);
    const Rates Idle = this->measure(0);
    const Rates Changing = this->measure(ChangesPerSecond);
    std::printf("| %zu | %zu | %.0f | %.0f | %.1f | %.1f | %.1f | %.0f | %.0f "
                "| %.2f | %.2f | %d |\n",
                this->Fleet.routers().size(), this->Shares.size(),
                1000 * Times[Times.size() / 2], 1000 * Times.back(),
                Idle.StoreCalls, Changing.RouterCalls, Changing.StoreCalls,
                Idle.BytesPerRouter, Changing.BytesPerRouter, Idle.CpuPercent,
                Changing.CpuPercent, this->LastChanges);
    std::fflush(stdout);
  }

private:
  /// Applies the next change, which changes the share of one account.
  void apply() {
    constexpr std::size_t Stride = 7919;
    ++this->Generation;
    ++this->Shares[this->Generation * Stride % this->Shares.size()];
    const auto Result =
        applyToPlatform({{this->Fleet.storeAddress(), "parsleywing/"},
                         declarationsText(this->Shares),
                         "bench",
                         MaxChangeTime});
    if (!Result || Result->Generation != this->Generation)
      throw std::runtime_error(Result ? "unexpected generation"
                                      : Result.error().Message);
  }

  /// Returns the seconds until the last router has the newest generation.
  double waitForAllRouters() {
    const SteadyTime Start = std::chrono::steady_clock::now();
    std::vector<std::future<double>> Waits;
    for (const FleetRouter &Router : this->Fleet.routers())
      Waits.push_back(std::async(std::launch::async, [&Router, Start, this] {
        while (secondsSince(Start) < MaxChangeTime.count()) {
          const auto Now = Router.generation();
          if (Now && Now->Generation >= this->Generation)
            break;
          std::this_thread::sleep_for(PollPause);
        }
        return secondsSince(Start);
      }));
    double Slowest = 0;
    for (std::future<double> &Wait : Waits)
      Slowest = std::max(Slowest, Wait.get());
    return Slowest;
  }

  /// Measures the usage in a window with this rate of changes per second,
  /// without polling the generation.
  Rates measure(double Rate) {
    const Usage Before = usageOf(this->Fleet, this->Fleet.routers());
    const SteadyTime Start = std::chrono::steady_clock::now();
    this->LastChanges = 0;
    while (secondsSince(Start) < Window.count()) {
      if (Rate > 0 && secondsSince(Start) >= this->LastChanges / Rate) {
        this->apply();
        ++this->LastChanges;
      }
      std::this_thread::sleep_for(PollPause);
    }
    const Usage After = usageOf(this->Fleet, this->Fleet.routers());
    return ratesBetween(Before, After, this->Fleet.routers().size());
  }

  std::vector<int> Shares;
  std::uint64_t Generation = 0;
  int LastChanges = 0;
  ConfigurationFleet Fleet;
};

void printTableHeader() {
  std::printf(
      "| routers | accounts | active at all routers, ms: median | max "
      "| store calls/s, idle | changes, by routers | with the "
      "operator's | B/s per router, idle | changes | %% CPU per router, "
      "idle | changes | changes in 10 s |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    const std::size_t Accounts =
        Count > 1 ? std::stoul(Arguments[1]) : DefaultAccounts;
    printTableHeader();
    for (const std::size_t Routers : {2, 8, 32})
      Measurement(Routers, Accounts).run();
    Measurement(8, ManyAccounts).run();
    return 0;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 1;
  }
}
