#ifndef PARSLEYWING_BENCH_FLEETFAULTS_H
#define PARSLEYWING_BENCH_FLEETFAULTS_H

#include "FleetReport.h"

namespace parsleywing::bench {

/// The effect of one fault, until the next fault or the end.
struct FaultResult {
  std::string Fault;
  std::string Service;
  /// The largest gap over three seconds, in tokens per share: before the first
  /// fault, and after this fault.
  double MaxGapBefore = 0;
  double MaxGapAfter = 0;
  /// Seconds from the fault until the gap over three seconds stays within the
  /// largest one before any fault; nothing if it never did.
  std::optional<double> RecoverySeconds;
};

/// Compares what was reported to callers with what the engines executed.
struct ExecutionCheck {
  /// False if an engine did not return its counts.
  bool Available = false;
  std::size_t Compared = 0;
  /// Reported as completed, but not executed by any engine.
  std::size_t CompletedButNotExecuted = 0;
  /// Reported as not run, but executed by an engine.
  std::size_t NotRunButExecuted = 0;
  /// Executed by more than one attempt, which is allowed for these requests.
  std::size_t ExecutedAgain = 0;
};

/// The results of one policy under faults.
struct FaultReport {
  FairnessPolicy Policy = FairnessPolicy::Local;
  /// Why there are no results; empty if there are.
  std::string Error;
  std::vector<FaultResult> Faults;
  /// Requests of all accounts by outcome over the whole measurement.
  AccountRecord Total;
  /// Reported outcomes that contradict the engines' execution counts.
  ExecutionCheck Check;
};

/// Generates the load of all accounts, kills and restarts one router, and stops
/// another one for a few seconds. Compares each outcome reported to a caller
/// with the execution counts of the engines.
FaultReport measureFaults(const DeploymentPlan &Plan, FairnessPolicy Policy,
                          Duration WarmUp, const LoadOptions &Options,
                          const std::function<bool()> &Stop);

/// Prints one table of faults and one of outcomes.
void printFaults(std::ostream &Out, const DeploymentPlan &Plan,
                 const FaultReport &Report, bool Markdown);

} // namespace parsleywing::bench

#endif
