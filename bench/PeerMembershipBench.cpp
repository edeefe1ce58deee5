#include "Decision/MembershipNetwork.h"

#include <cstdio>

// Measures the traffic of membership and the time that it takes to propagate
// changes, for fleets of several sizes. Runs the membership tables on a fake
// network under a paused clock with 1% loss:
//   ./build/PeerMembershipBench [largest fleet]

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr unsigned LossPercent = 1;
constexpr Duration TimeLimit = std::chrono::seconds(40);
constexpr Duration RestTime = std::chrono::seconds(12);
constexpr Duration SettleTime = std::chrono::seconds(25);
constexpr Duration PartitionTime = std::chrono::seconds(20);

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

struct Traffic {
  double Mean = 0;
  double Max = 0;
};

void clearCounts(MembershipNetwork &Network) {
  for (std::size_t Index = 0; Index < Network.size(); ++Index) {
    Network.at(Index).Bytes = 0;
    Network.at(Index).BulkBytes = 0;
  }
}

/// Bytes sent per second and router, datagrams and bulk.
Traffic traffic(MembershipNetwork &Network, Duration Length) {
  Traffic Sum;
  for (std::size_t Index = 0; Index < Network.size(); ++Index) {
    const auto &Router = Network.at(Index);
    const double Rate =
        static_cast<double>(Router.Bytes + Router.BulkBytes) / seconds(Length);
    Sum.Mean += Rate / static_cast<double>(Network.size());
    Sum.Max = std::max(Sum.Max, Rate);
  }
  return Sum;
}

void split(MembershipNetwork &Network, unsigned Sides) {
  for (std::size_t Index = 0; Index < Network.size(); ++Index)
    Network.at(Index).Side = static_cast<unsigned>(Index) % Sides;
}

void measure(std::size_t Size) {
  MembershipNetwork Network(Size);
  Network.LossPercent = LossPercent;
  Network.addMany(Size);
  const Duration Formed =
      Network.runUntil([&] { return Network.agreed(); }, TimeLimit);
  Network.run(SettleTime);

  clearCounts(Network);
  Network.run(RestTime);
  const Traffic AtRest = traffic(Network, RestTime);

  const std::size_t Joining = Network.size();
  Network.addMany(1);
  const Duration Joined = Network.runUntil(
      [&] { return Network.knownByAll(Joining, true); }, TimeLimit);
  Network.run(RestTime);

  clearCounts(Network);
  const std::size_t Victim = Size / 2;
  Network.crash(Victim);
  const Duration Detected = Network.runUntil(
      [&] { return Network.knownByAll(Victim, false); }, TimeLimit);
  const Traffic AtDeath = traffic(Network, Detected);
  Network.start(Victim);
  const Duration Returned = Network.runUntil(
      [&] { return Network.knownByAll(Victim, true); }, TimeLimit);
  Network.run(RestTime);

  split(Network, 2);
  Network.run(PartitionTime);
  split(Network, 1);
  clearCounts(Network);
  const Duration Healed =
      Network.runUntil([&] { return Network.agreed(); }, TimeLimit);
  const Traffic AtHeal = traffic(Network, Healed);

  std::uint64_t Largest = 0;
  for (std::size_t Index = 0; Index < Network.size(); ++Index)
    Largest = std::max(Largest, Network.at(Index).LargestDatagram);
  std::printf("%7zu %8.1f %8.0f %8.0f %8.1f %8.1f %8.0f %8.1f %8.1f %8.0f "
              "%8.0f %8llu\n",
              Size, seconds(Formed), AtRest.Mean, AtRest.Max, seconds(Joined),
              seconds(Detected), AtDeath.Mean, seconds(Returned),
              seconds(Healed), AtHeal.Mean, AtHeal.Max,
              static_cast<unsigned long long>(Largest));
  std::fflush(stdout);
}

void measureUpTo(std::size_t Max) {
  std::printf(
      "%u%% loss; times in s until all routers agree; bytes per second and "
      "router, with IP and UDP headers; a time of %.0f is a timeout\n",
      LossPercent, seconds(TimeLimit));
  std::printf("%7s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "routers",
              "formed", "B/s rest", "most", "join", "death", "B/s", "restart",
              "healed", "B/s", "most", "datagram");
  for (const std::size_t Size : {8, 32, 128, 380})
    if (Size <= Max)
      measure(Size);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    measureUpTo(Count > 1 ? std::stoul(Arguments[1]) : 380);
    return 0;
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "%s\n", Problem.what());
    return 1;
  }
}
