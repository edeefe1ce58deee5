#ifndef PARSLEYWING_LAB_PLAY_H
#define PARSLEYWING_LAB_PLAY_H

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

/// The outcomes of calls, as seen by their callers.
struct Outcomes {
  std::uint32_t Calls = 0;
  std::uint32_t OnTime = 0;
  std::uint32_t Late = 0;
  std::uint32_t Refused = 0;
  /// The caller's time limit passed before the response was complete.
  std::uint32_t CallerDisconnected = 0;
  /// Payoff of the served calls, and of all calls if all were on time. The
  /// payoff of a call is 0.3 plus 0.7 times its prompt size relative to the
  /// mean of its class, which counts as four at most. A late response earns 0.3
  /// of it. All classes have the same weight.
  double EarnedPayoff = 0;
  double PossiblePayoff = 0;

  /// The share of the possible payoff that was earned.
  double worth() const {
    return this->PossiblePayoff > 0 ? this->EarnedPayoff / this->PossiblePayoff
                                    : 1;
  }
};

/// The result of a simulation.
struct SimulationResult {
  Outcomes Total;
  std::map<std::string, Outcomes> ByClass;
  std::map<std::uint32_t, Outcomes> ByAccount;
  /// The tenth of the calls with the largest prompts, by class.
  std::map<std::string, Outcomes> LargestByClass;
  EngineCounts Engines;
  /// Times to the first token of the served calls, ascending.
  std::vector<Milliseconds> FirstTokens;
  /// Times from the start of each refused attempt to its refusal, ascending.
  std::vector<Milliseconds> RefusalTimes;
  /// Fraction of the engines' time in which they had work.
  double Utilisation = 0;

  /// The mean worth of the tenth of the accounts with the lowest worth, at
  /// least one account.
  double worstAccountsWorth() const;
  Milliseconds firstTokenQuantile(double Fraction) const;
  Milliseconds refusalTimeQuantile(double Fraction) const;
};

/// Simulates a policy with the load that the scenario and the seed generate.
SimulationResult simulate(const Scenario &Setup, std::uint64_t Seed,
                          const Policy &SelectedPolicy);

/// An upper bound on the worth of any policy: all calls are known in advance,
/// shared parts cost nothing, engines never wait, and the calls with the
/// highest payoff per engine time are served first.
double worthUpperBound(const Scenario &Setup, std::uint64_t Seed);

} // namespace parsleywing::lab

#endif
