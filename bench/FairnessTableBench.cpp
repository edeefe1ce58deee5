// The test fixture is not part of any library, so its source is included.
#include "Decision/FairnessFleet.cpp" // NOLINT(bugprone-suspicious-include)

#include <cstdio>
#include <cstdlib>

using namespace parsleywing;
using namespace parsleywing::test;

/// Prints one table with the figures of each policy. Simulates the schedulers
/// within this process, without sockets.
// NOLINTNEXTLINE(bugprone-exception-escape): nothing here handles one.
int main(int Count, char **Values) {
  const int Seconds = Count > 1 ? std::atoi(Values[1]) : 60;
  const std::size_t MaxRouters = Count > 2 ? std::atoi(Values[2]) : 64;
  const double Slack = Count > 3 ? std::atof(Values[3]) : 2;
  std::printf("%-11s %7s %9s %9s %6s %8s %8s %6s\n", "policy", "routers", "gap",
              "bound", "util", "B/s node", "moves/s", "above");
  for (FairnessPolicy Policy :
       {FairnessPolicy{LocalOnlyPolicy{}}, FairnessPolicy{SharedPolicy{}}})
    for (std::size_t Routers : {2, 8, 32, 64}) {
      if (Routers > MaxRouters)
        continue;
      FleetSetup Setup;
      Setup.Routers = Routers;
      Setup.Servers = 2 * Routers;
      Setup.Accounts = 2 * Routers;
      Setup.Fairness.Policy = Policy;
      Setup.Fairness.ReturnSlack = Slack;
      FairnessFleet Fleet(Setup);
      Fleet.run(std::chrono::seconds(15));
      Fleet.startMeasurement();
      Fleet.run(std::chrono::seconds(Seconds));
      const bool Shared = std::holds_alternative<SharedPolicy>(Policy);
      std::printf("%-11s %7zu %9.0f %9.0f %6.3f %8.0f %8.1f %6u\n",
                  Shared ? "shared" : "local-only", Routers, Fleet.gap(),
                  Fleet.bound(), Fleet.utilisation(), Fleet.bytesPerSecond(),
                  Fleet.slotMovesPerSecond(), Fleet.maxAboveDeclared());
    }
  return 0;
}
