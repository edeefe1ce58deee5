#ifndef PARSLEYWING_BENCH_FLEETMEASUREMENT_H
#define PARSLEYWING_BENCH_FLEETMEASUREMENT_H

#include "FleetDeployment.h"

#include <optional>

namespace parsleywing::bench {

/// The duration of each phase of a measurement.
struct PhaseDurations {
  Duration Alone = std::chrono::seconds(5);
  Duration NeighbourWarmUp = std::chrono::seconds(6);
  Duration Neighbour = std::chrono::seconds(10);
  Duration WarmUp = std::chrono::seconds(10);
  Duration Window = std::chrono::seconds(30);
};

/// Times to first token in seconds.
struct FirstTokenTimes {
  std::size_t Count = 0;
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
};

FirstTokenTimes firstTokenTimes(const std::vector<double> &Seconds);

/// The results of one service in the window.
struct ServiceResult {
  std::string Name;
  /// Accounts with waiting requests at every sample, and all accounts.
  std::size_t Backlogged = 0;
  std::size_t Accounts = 0;
  ServiceGap Gap;
  /// The average rate in tokens per second of one share of the backlogged
  /// accounts.
  double FairRate = 0;
  /// The generated tokens as a fraction of what the engines could have
  /// generated.
  double Utilisation = 0;
  /// What the engines reported: running requests as a fraction of their
  /// capacity, and the average number of waiting requests per engine.
  double RunningFraction = 0;
  double WaitingPerEngine = 0;
  /// Times to first token of the backlogged accounts' requests.
  FirstTokenTimes FirstToken;
};

/// The results of one account in the window.
struct AccountResult {
  LoadAccount Account;
  AccountRecord Record;
};

/// The resource usage of one router process.
struct RouterResult {
  double CpuShare = 0;
  double ResidentMebibytes = 0;
};

/// The results of one policy.
struct FleetResults {
  FairnessPolicy Policy = FairnessPolicy::Local;
  /// Why there are no results; empty if there are.
  std::string Error;
  double WindowSeconds = 0;
  std::vector<ServiceResult> Services;
  std::vector<AccountResult> Accounts;
  std::vector<RouterResult> Routers;
  FirstTokenTimes OccasionalAlone;
  FirstTokenTimes OccasionalWithNeighbour;
  FirstTokenTimes OccasionalWithAll;
  /// Bytes per second and router that routers send to each other; nothing if
  /// the metric is not exported.
  std::optional<double> ControlBytesPerSecond;
  /// The maximum over all routers.
  double MaxControlBytes = 0;
  /// Datagrams per second and router that the byte budget dropped.
  double DroppedPerSecond = 0;
  /// Slots that moved between routers, per second and router.
  double SlotsGrantedPerSecond = 0;
  /// Bytes per second and router of the scheduler's own messages.
  double FairnessBytesPerSecond = 0;
  /// Store calls per second of all routers.
  std::optional<double> StoreCallsPerSecond;
  /// CPU seconds per second of the load generator's process.
  double GeneratorCpuShare = 0;
};

/// Starts the deployment, runs the phases and stops the deployment. If `Stop`
/// ends it early, there are no results.
FleetResults measureFleet(const DeploymentPlan &Plan, FairnessPolicy Policy,
                          const PhaseDurations &Durations,
                          const LoadOptions &Options,
                          const std::function<bool()> &Stop);

/// Computes the results of each service from the generator's window.
std::vector<ServiceResult> serviceResults(const DeploymentPlan &Plan,
                                          const LoadGenerator &Load,
                                          double Seconds);

} // namespace parsleywing::bench

#endif
