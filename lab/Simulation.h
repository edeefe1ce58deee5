#ifndef PARSLEYWING_LAB_SIMULATION_H
#define PARSLEYWING_LAB_SIMULATION_H

#include "Placement/Allocator.h"
#include "lab/Load.h"

#include <map>
#include <string>
#include <variant>

namespace parsleywing::lab {

/// The product's allocator with these options.
struct AllocatorPolicy {
  AllocatorOptions Options;
};
/// Sends each request immediately to the engine with the fewest requests.
struct LeastLoadedPolicy {};
/// Power of two choices: the less loaded of two random engines.
struct TwoChoicesPolicy {};
/// Sends each request immediately to the engine that its shared part hashes to.
struct HomePolicy {};

using Policy = std::variant<AllocatorPolicy, LeastLoadedPolicy,
                            TwoChoicesPolicy, HomePolicy>;

/// The number of calls by outcome, as seen by their callers, and their payoff.
struct OutcomeTotals {
  std::uint32_t Calls = 0;
  std::uint32_t OnTime = 0;
  std::uint32_t Late = 0;
  std::uint32_t Refused = 0;
  /// The caller's time limit passed before the response was complete.
  std::uint32_t CallerDisconnected = 0;
  /// Payoff of the served calls, and of all calls if all were on time. The
  /// payoff of a call is 0.3 plus 0.7 times its prompt size relative to the
  /// mean of its class, capped at 4. A late response earns 0.3 of it. A call of
  /// mean size earns the same in all classes.
  double EarnedPayoff = 0;
  double PossiblePayoff = 0;

  /// The share of the possible payoff that was earned. Printed as `worth`.
  double payoffShare() const {
    return this->PossiblePayoff > 0 ? this->EarnedPayoff / this->PossiblePayoff
                                    : 1;
  }
};

/// The result of a simulation.
struct SimulationResult {
  OutcomeTotals Total;
  std::map<std::string, OutcomeTotals> ByClass;
  std::map<std::uint32_t, OutcomeTotals> ByAccount;
  /// The tenth of the calls with the largest prompts, by class.
  std::map<std::string, OutcomeTotals> LargestByClass;
  EngineCounts Engines;
  /// Times to the first token of the served calls, ascending.
  std::vector<Milliseconds> FirstTokens;
  /// Times from the start of each refused attempt to its refusal, ascending.
  std::vector<Milliseconds> RefusalTimes;
  /// Fraction of the engines' time in which they had work.
  double Utilisation = 0;

  /// The mean payoff share of the tenth of the accounts with the lowest payoff
  /// share, at least one account.
  double worstAccountsPayoffShare() const;
  Milliseconds firstTokenQuantile(double Fraction) const;
  Milliseconds refusalTimeQuantile(double Fraction) const;
};

/// Simulates a policy with the load that the scenario and the seed generate.
SimulationResult simulate(const Scenario &TheScenario, std::uint64_t Seed,
                          const Policy &SelectedPolicy);

/// An upper bound on the payoff share of any policy: all calls are known in
/// advance, shared parts cost nothing, engines never wait, and the calls with
/// the highest payoff per engine time are served first.
double payoffShareUpperBound(const Scenario &TheScenario, std::uint64_t Seed);

} // namespace parsleywing::lab

#endif
