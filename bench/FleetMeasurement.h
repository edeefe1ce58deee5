#ifndef PARSLEYWING_BENCH_FLEETMEASUREMENT_H
#define PARSLEYWING_BENCH_FLEETMEASUREMENT_H

#include "FleetDeployment.h"

#include <optional>

namespace parsleywing::bench {

/// How long each phase of a measurement takes.
struct PhaseLengths {
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

/// What one service did in the window.
struct ServiceFigures {
  std::string Name;
  /// Accounts that had work waiting at every sample, and all accounts.
  std::size_t Backlogged = 0;
  std::size_t Accounts = 0;
  ServiceGap Gap;
  /// Tokens a second that one share of a backlogged account got on average.
  double FairRate = 0;
  /// Tokens generated, as a part of what the engines could have generated.
  double Utilisation = 0;
  /// Requests that the engines said they ran, as a part of what they can run,
  /// and those that they said wait in an engine, by engine.
  double RunningPart = 0;
  double WaitingByEngine = 0;
  /// Of the backlogged accounts' requests.
  FirstTokenTimes FirstToken;
};

/// What one account did in the window.
struct AccountFigures {
  LoadAccount Account;
  AccountRecord Record;
};

/// The use of one router process.
struct RouterFigures {
  double ProcessorShare = 0;
  double ResidentMebibytes = 0;
};

/// The figures of one policy.
struct FleetFigures {
  FairnessPolicy Policy = FairnessPolicy::Local;
  /// Why there are no figures; empty where there are.
  std::string Missing;
  double WindowSeconds = 0;
  std::vector<ServiceFigures> Services;
  std::vector<AccountFigures> Accounts;
  std::vector<RouterFigures> Routers;
  FirstTokenTimes OccasionalAlone;
  FirstTokenTimes OccasionalBesideNeighbour;
  FirstTokenTimes OccasionalBesideAll;
  /// Bytes a second and router between routers; nothing where not exported.
  std::optional<double> ControlBytesPerSecond;
  /// The largest of any router.
  double MostControlBytes = 0;
  /// Datagrams a second and router that the byte budget dropped.
  double DroppedPerSecond = 0;
  /// Slots that moved between routers, by second and router.
  double SlotsGrantedPerSecond = 0;
  /// Bytes a second and router of the scheduler's own messages.
  double FairnessBytesPerSecond = 0;
  /// Calls a second on the platform's store by all routers.
  std::optional<double> StoreCallsPerSecond;
  /// Processor seconds a second of the load generator's own process.
  double GeneratorProcessorShare = 0;
};

/// Starts the deployment, carries the phases and stops it again. `Stop` ends
/// it early; figures are then missing.
FleetFigures measureFleet(const DeploymentPlan &Plan, FairnessPolicy Policy,
                          const PhaseLengths &Lengths,
                          const LoadOptions &Options,
                          const std::function<bool()> &Stop);

/// Compares the accounts of each service in the window of the generator.
std::vector<ServiceFigures> serviceFigures(const DeploymentPlan &Plan,
                                           const LoadGenerator &Load,
                                           double Seconds);

} // namespace parsleywing::bench

#endif
