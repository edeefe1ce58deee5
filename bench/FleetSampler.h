#ifndef PARSLEYWING_BENCH_FLEETSAMPLER_H
#define PARSLEYWING_BENCH_FLEETSAMPLER_H

#include "FleetDeployment.h"

#include <atomic>
#include <thread>

namespace parsleywing::bench {

/// The load that the engines of one service reported, summed over samples.
struct EngineUsage {
  std::size_t Samples = 0;
  double Running = 0;
  double Waiting = 0;
  /// The requests that the engines can run concurrently, summed likewise.
  double Capacity = 0;
};

/// Reads the running and waiting counts of the engines on its own thread until
/// `finish`: four rounds per second, with one short call per engine and round.
class FleetSampler {
public:
  explicit FleetSampler(const FleetDeployment &F);
  ~FleetSampler();
  FleetSampler(const FleetSampler &) = delete;
  FleetSampler &operator=(const FleetSampler &) = delete;

  /// Stops the thread and returns the sums in the order of the plan's services.
  std::vector<EngineUsage> finish();

private:
  void run();

  const FleetDeployment &Fleet;
  std::vector<EngineUsage> Sums;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace parsleywing::bench

#endif
