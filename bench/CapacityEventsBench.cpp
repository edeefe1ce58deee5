// What the failures of an ordinary day cost in membership at 380 routers: one
// router, a rack of ten, an availability zone of nine, and three regions cut
// off from each other, from the tables themselves under a paused clock with 1%
// loss. The byte budget of the real transport is not in it.
// Run: `build/CapacityEventsBench [routers]`; some 30 s.

#include "Decision/MembershipNetwork.h"

#include <cstdio>
#include <ctime>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned LossPercent = 1;
constexpr Duration Limit = 60s;
constexpr Duration Settle = 25s;
constexpr Duration Cut = 40s;
constexpr std::size_t Zones = 9;
constexpr unsigned Regions = 3;
/// Routers that the others ask first; they stay up.
constexpr std::size_t Seeds = 3;

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void printRow(MembershipNetwork &Network, const char *Name, Duration Length) {
  double Sum = 0;
  double Most = 0;
  double Messages = 0;
  std::size_t Running = 0;
  for (std::size_t I = 0; I < Network.size(); ++I) {
    auto &Router = Network.at(I);
    const auto Bytes = static_cast<double>(Router.Bytes + Router.BulkBytes);
    Messages += static_cast<double>(Router.Messages);
    Sum += Bytes;
    Most = std::max(Most, Bytes);
    Running += Router.runs() ? 1 : 0;
    Router.Bytes = 0;
    Router.BulkBytes = 0;
    Router.Messages = 0;
  }
  const double NodeSeconds = static_cast<double>(Running) * seconds(Length);
  std::printf("%-34s %8.1f %10.0f %10.0f %10.1f\n", Name, seconds(Length),
              Sum / NodeSeconds, Most / seconds(Length),
              Messages / NodeSeconds);
  std::fflush(stdout);
}

void crashAndReturn(MembershipNetwork &Network, const char *Name,
                    const std::vector<std::size_t> &Victims) {
  for (const std::size_t Victim : Victims)
    Network.crash(Victim);
  const Duration Known =
      Network.runUntil([&] { return Network.agreed(); }, Limit);
  printRow(Network, Name, Known);
  for (const std::size_t Victim : Victims)
    Network.start(Victim);
  const Duration Back =
      Network.runUntil([&] { return Network.agreed(); }, Limit);
  printRow(Network, "  their replacements are known", Back);
  Network.run(Settle);
  printRow(Network, "  then, until news has ended", Settle);
}

void split(MembershipNetwork &Network, unsigned Sides) {
  for (std::size_t I = 0; I < Network.size(); ++I)
    Network.at(I).Side = static_cast<unsigned>(I) % Sides;
}

void cutRegions(MembershipNetwork &Network) {
  split(Network, Regions);
  Network.run(Cut);
  printRow(Network, "regions cut off, first 40 s", Cut);
  Network.run(Settle);
  printRow(Network, "regions cut off, afterwards", Settle);
  split(Network, 1);
  const Duration Healed =
      Network.runUntil([&] { return Network.agreed(); }, Limit);
  printRow(Network, "regions meet again", Healed);
}

void measure(std::size_t Size) {
  const double Before = processorSeconds();
  MembershipNetwork Network(Size);
  Network.LossPercent = LossPercent;
  Network.addMany(Size);
  const TimePoint Start = Network.now();
  std::printf("%-34s %8s %10s %10s %10s\n", "until all routers agree", "s",
              "B/s node", "B/s most", "sends/s");
  printRow(Network, "all start at once",
           Network.runUntil([&] { return Network.agreed(); }, Limit));
  Network.run(Settle);
  printRow(Network, "until news has ended", Settle);
  Network.run(Settle);
  printRow(Network, "at rest", Settle);
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
  cutRegions(Network);
  const double NodeSeconds =
      static_cast<double>(Size) * seconds(Network.now() - Start);
  std::printf("processor time of all this, the fake network with it: %.3f %% "
              "of a core for each router\n",
              (processorSeconds() - Before) / NodeSeconds * 100);
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
