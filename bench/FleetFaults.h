#ifndef PARSLEYWING_BENCH_FLEETFAULTS_H
#define PARSLEYWING_BENCH_FLEETFAULTS_H

#include "FleetReport.h"

namespace parsleywing::bench {

/// What followed one fault, up to the next one or the end.
struct FaultFigures {
  std::string Fault;
  std::string Service;
  /// The largest gap over three seconds, in tokens per share: in the time
  /// before the first fault, and from this fault on.
  double RecentGapBefore = 0;
  double RecentGapAfter = 0;
  /// Seconds from the fault until the gap over three seconds stays within the
  /// largest one before any fault; nothing where it never did.
  std::optional<double> SecondsUntilRestored;
};

/// What callers were told beside what the engines ran.
struct ExecutionCheck {
  /// False where an engine did not give its counts.
  bool Done = false;
  std::size_t Compared = 0;
  /// Told completed, but no engine began to run it.
  std::size_t CompletedButNotRun = 0;
  /// Told that it did not run, but an engine ran it.
  std::size_t NotRunButRun = 0;
  /// Run by more than one attempt, which is allowed for these requests.
  std::size_t RunAgain = 0;
};

/// The figures of one policy under faults.
struct FaultReport {
  FairnessPolicy Policy = FairnessPolicy::Local;
  /// Why there are no figures; empty where there are.
  std::string Missing;
  std::vector<FaultFigures> Faults;
  /// Requests by outcome over the whole time, of all accounts.
  AccountRecord Total;
  /// Told outcomes that the engines' counts of executions contradict.
  ExecutionCheck Check;
};

/// Under the load of all accounts: kills a router and starts it anew, and
/// freezes another for a few seconds. Each outcome that a caller was told is
/// compared with the engines' own counts of executions.
FaultReport measureFaults(const DeploymentPlan &Plan, FairnessPolicy Policy,
                          Duration WarmUp, const LoadOptions &Options,
                          const std::function<bool()> &Stop);

/// One table of faults and one of outcomes.
void printFaults(std::ostream &Out, const DeploymentPlan &Plan,
                 const FaultReport &Report, bool Markdown);

} // namespace parsleywing::bench

#endif
