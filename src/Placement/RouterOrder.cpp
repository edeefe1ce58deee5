#include "Placement/RouterOrder.h"

#include "Runtime/Id.h"

namespace parsleywing {

double routerScore(std::uint64_t Router, std::uint64_t Key, double Cores) {
  const double Cube = Cores * Cores * Cores;
  return weightedRendezvousScore(Router, Key, Cube * Cube);
}

std::string topRankedRouter(const RouterList &Listed, std::uint64_t Key) {
  std::string Best;
  double BestScore = 0;
  for (const auto &[Name, Endpoint] : Listed) {
    const double Score = routerScore(hashName(Name), Key, Endpoint.Cores);
    if (Best.empty() || Score > BestScore) {
      Best = Name;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace parsleywing
