#ifndef PARSLEYWING_BENCH_FLEETSAMPLER_H
#define PARSLEYWING_BENCH_FLEETSAMPLER_H

#include "FleetDeployment.h"

#include <atomic>
#include <thread>

namespace parsleywing::bench {

/// What the engines of one service said of themselves, added up over samples.
struct EngineUse {
  std::size_t Samples = 0;
  double Running = 0;
  double Waiting = 0;
  /// Requests that the engines can run at once, added up likewise.
  double Capacity = 0;
};

/// Reads the engines' own running and waiting counts in a thread while it
/// lives: four rounds a second, one short call for each engine and round.
class FleetSampler {
public:
  explicit FleetSampler(const FleetDeployment &F);
  ~FleetSampler();
  FleetSampler(const FleetSampler &) = delete;
  FleetSampler &operator=(const FleetSampler &) = delete;

  /// Ends the thread and gives the sums, in the order of the plan's services.
  std::vector<EngineUse> finish();

private:
  void run();

  const FleetDeployment &Fleet;
  std::vector<EngineUse> Sums;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace parsleywing::bench

#endif
