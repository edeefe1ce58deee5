#include "Operator/OperatorClient.h"
#include "Process/ConfigurationFleet.h"
#include "Program/PlatformDeclarations.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

// Prints how long a change takes from accepted to in force at every router,
// and what configuration and membership cost meanwhile, with real routers and
// the store's stand-in on this machine, in about two minutes:
//   ./build/ConfigurationFleetBench [accounts]

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

using Moment = std::chrono::steady_clock::time_point;

constexpr std::size_t DefaultAccounts = 2'000;
constexpr std::size_t ManyAccounts = 24'000;
constexpr int LeaseSeconds = 30; // The default of a router's settings.
constexpr int TimedChanges = 7;
constexpr auto PollPause = std::chrono::milliseconds(5);
constexpr auto LongestChange = std::chrono::seconds(30);
constexpr auto Settle = std::chrono::seconds(3);
constexpr auto Window = std::chrono::seconds(10);
constexpr int FirstShare = 10;
constexpr double ChangesPerSecond = 0.9;

double secondsSince(Moment Start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

/// A file of accounts with these shares.
std::string fileOf(const std::vector<int> &Shares) {
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

/// What the fleet has used up to a moment.
struct Usage {
  Moment At = std::chrono::steady_clock::now();
  double StoreCalls = 0;
  double RouterCalls = 0;
  double PeerBytes = 0;
  double ProcessorSeconds = 0;
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
    Sum.ProcessorSeconds += metric(*Text, "process_cpu_seconds_total");
  }
  return Sum;
}

struct Rates {
  double StoreCalls;
  double RouterCalls;
  double BytesPerNode;
  double ProcessorPercent;
};

Rates ratesBetween(const Usage &From, const Usage &To, std::size_t Nodes) {
  const double Length = std::chrono::duration<double>(To.At - From.At).count();
  const double NodeSeconds = Length * static_cast<double>(Nodes);
  return {(To.StoreCalls - From.StoreCalls) / Length,
          (To.RouterCalls - From.RouterCalls) / Length,
          (To.PeerBytes - From.PeerBytes) / NodeSeconds,
          100 * (To.ProcessorSeconds - From.ProcessorSeconds) / NodeSeconds};
}

class Measurement {
public:
  Measurement(std::size_t R, std::size_t A)
      : Shares(A, FirstShare), Fleet(R, false, LeaseSeconds) {}

  void run() {
    this->apply();
    this->awaitEverywhere();
    std::this_thread::sleep_for(Settle);
    std::vector<double> Times;
    for (int Change = 0; Change < TimedChanges; ++Change) {
      this->apply();
      Times.push_back(this->awaitEverywhere());
    }
    std::ranges::sort(Times);
    std::this_thread::sleep_for(Settle);
    const Rates AtRest = this->measure(0);
    const Rates Changing = this->measure(ChangesPerSecond);
    std::printf("| %zu | %zu | %.0f | %.0f | %.1f | %.1f | %.1f | %.0f | %.0f "
                "| %.2f | %.2f | %d |\n",
                this->Fleet.routers().size(), this->Shares.size(),
                1000 * Times[Times.size() / 2], 1000 * Times.back(),
                AtRest.StoreCalls, Changing.RouterCalls, Changing.StoreCalls,
                AtRest.BytesPerNode, Changing.BytesPerNode,
                AtRest.ProcessorPercent, Changing.ProcessorPercent,
                this->LastChanges);
    std::fflush(stdout);
  }

private:
  /// Puts the next change in force; it changes one account.
  void apply() {
    constexpr std::size_t Stride = 7919;
    ++this->Version;
    ++this->Shares[this->Version * Stride % this->Shares.size()];
    const auto Done =
        applyToPlatform({{this->Fleet.storeAddress(), "parsleywing/"},
                         fileOf(this->Shares),
                         "bench",
                         LongestChange});
    if (!Done || Done->Generation != this->Version)
      throw std::runtime_error(Done ? "a generation was left out"
                                    : Done.error().Message);
  }

  /// Seconds until the last router has the newest generation.
  double awaitEverywhere() {
    const Moment Start = std::chrono::steady_clock::now();
    std::vector<std::future<double>> Waits;
    for (const FleetRouter &Router : this->Fleet.routers())
      Waits.push_back(std::async(std::launch::async, [&Router, Start, this] {
        while (secondsSince(Start) < LongestChange.count()) {
          const auto Now = Router.generation();
          if (Now && Now->Generation >= this->Version)
            break;
          std::this_thread::sleep_for(PollPause);
        }
        return secondsSince(Start);
      }));
    double Slowest = 0;
    for (std::future<double> &Each : Waits)
      Slowest = std::max(Slowest, Each.get());
    return Slowest;
  }

  /// Uses of a window with so many changes a second, without polls.
  Rates measure(double Rate) {
    const Usage Before = usageOf(this->Fleet, this->Fleet.routers());
    const Moment Start = std::chrono::steady_clock::now();
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
  std::uint64_t Version = 0;
  int LastChanges = 0;
  ConfigurationFleet Fleet;
};

void printHead() {
  std::printf(
      "| routers | accounts | in force everywhere, ms: middle | slowest "
      "| calls/s at rest | calls/s, changes, by routers | with the "
      "operator's | B/s a node at rest | changes | %% processor a node "
      "at rest | changes | changes in 10 s |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    const std::size_t Accounts =
        Count > 1 ? std::stoul(Arguments[1]) : DefaultAccounts;
    printHead();
    for (const std::size_t Routers : {2, 8, 32})
      Measurement(Routers, Accounts).run();
    Measurement(8, ManyAccounts).run();
    return 0;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return 1;
  }
}
