// Measures the cost of ordinary failures to membership at 380 routers: one
// router, a rack of ten, an availability zone of nine, and a partition between
// three regions. Runs the membership tables on a fake network under a paused
// clock with 1% loss, without the byte budget of the real transport.
// Run: `build/CapacityEventsBench [routers]`; takes about 30 s.

#include "Decision/MembershipNetwork.h"

#include <cstdio>
#include <ctime>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned LossPercent = 1;
constexpr Duration TimeLimit = 60s;
constexpr Duration SettleTime = 25s;
constexpr Duration PartitionTime = 40s;
constexpr std::size_t Zones = 9;
constexpr unsigned Regions = 3;
/// Routers that the others contact first; they do not fail.
constexpr std::size_t Seeds = 3;

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void printRow(MembershipNetwork &Network, const char *Name, Duration Length) {
  double Sum = 0;
  double Max = 0;
  double Messages = 0;
  std::size_t Running = 0;
  for (std::size_t I = 0; I < Network.size(); ++I) {
    auto &Router = Network.at(I);
    const auto Bytes = static_cast<double>(Router.Bytes + Router.BulkBytes);
    Messages += static_cast<double>(Router.Messages);
    Sum += Bytes;
    Max = std::max(Max, Bytes);
    Running += Router.runs() ? 1 : 0;
    Router.Bytes = 0;
    Router.BulkBytes = 0;
    Router.Messages = 0;
  }
  const double RouterSeconds = static_cast<double>(Running) * seconds(Length);
  std::printf("%-34s %8.1f %10.0f %10.0f %10.1f\n", Name, seconds(Length),
              Sum / RouterSeconds, Max / seconds(Length),
              Messages / RouterSeconds);
  std::fflush(stdout);
}

void crashAndReturn(MembershipNetwork &Network, const char *Name,
                    const std::vector<std::size_t> &Victims) {
  for (const std::size_t Victim : Victims)
    Network.crash(Victim);
  const Duration Known =
      Network.runUntil([&] { return Network.agreed(); }, TimeLimit);
  printRow(Network, Name, Known);
  for (const std::size_t Victim : Victims)
    Network.start(Victim);
  const Duration Back =
      Network.runUntil([&] { return Network.agreed(); }, TimeLimit);
  printRow(Network, "  their replacements are known", Back);
  Network.run(SettleTime);
  printRow(Network, "  then, until gossip has settled", SettleTime);
}

void split(MembershipNetwork &Network, unsigned Sides) {
  for (std::size_t I = 0; I < Network.size(); ++I)
    Network.at(I).Side = static_cast<unsigned>(I) % Sides;
}

void partitionRegions(MembershipNetwork &Network) {
  split(Network, Regions);
  Network.run(PartitionTime);
  printRow(Network, "regions partitioned, first 40 s", PartitionTime);
  Network.run(SettleTime);
  printRow(Network, "regions partitioned, afterwards", SettleTime);
  split(Network, 1);
  const Duration Healed =
      Network.runUntil([&] { return Network.agreed(); }, TimeLimit);
  printRow(Network, "regions reconnected", Healed);
}

void measure(std::size_t Size) {
  const double Before = cpuSeconds();
  MembershipNetwork Network(Size);
  Network.LossPercent = LossPercent;
  Network.addMany(Size);
  const TimePoint Start = Network.now();
  std::printf("%-34s %8s %10s %10s %10s\n", "until all routers agree", "s",
              "B/s node", "B/s most", "sends/s");
  printRow(Network, "all start at once",
           Network.runUntil([&] { return Network.agreed(); }, TimeLimit));
  Network.run(SettleTime);
  printRow(Network, "until gossip has settled", SettleTime);
  Network.run(SettleTime);
  printRow(Network, "at rest", SettleTime);
  const auto Row = [&](std::size_t First, std::size_t Step, std::size_t Count) {
    std::vector<std::size_t> Victims;
    for (std::size_t I = First; I < Size && Victims.size() < Count; I += Step)
      Victims.push_back(I);
    return Victims;
  };
  crashAndReturn(Network, "one router fails", Row(Size / 2, 1, 1));
  crashAndReturn(Network, "a rack of ten fails", Row(Seeds, 1, 10));
  crashAndReturn(Network, "an availability zone fails",
                 Row(Seeds + 1, Zones, Size));
  partitionRegions(Network);
  const double RouterSeconds =
      static_cast<double>(Size) * seconds(Network.now() - Start);
  std::printf("total CPU time, including the fake network: %.3f %% "
              "of a core for each router\n",
              (cpuSeconds() - Before) / RouterSeconds * 100);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    measure(Count > 1 ? std::stoul(Arguments[1]) : 380);
    return 0;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return 1;
  }
}
