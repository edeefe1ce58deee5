#ifndef PARSLEYWING_LAB_PLAY_H
#define PARSLEYWING_LAB_PLAY_H

#include "Placement/Allocator.h"
#include "lab/Load.h"

#include <map>
#include <string>
#include <variant>

namespace parsleywing::lab {

/// The product's allocator, as the choices say.
struct AllocatorPolicy {
  AllocatorOptions Choices;
};
/// Each request goes at once to the engine with the fewest requests.
struct LeastLoadedPolicy {};
/// The same among two engines drawn at random.
struct TwoChoicesPolicy {};
/// Each request goes at once to the engine that its shared part hashes to.
struct HomePolicy {};

using Policy = std::variant<AllocatorPolicy, LeastLoadedPolicy,
                            TwoChoicesPolicy, HomePolicy>;

/// How calls ended, as their callers saw it.
struct Outcomes {
  std::uint32_t Calls = 0;
  std::uint32_t OnTime = 0;
  std::uint32_t Late = 0;
  std::uint32_t Refused = 0;
  /// The caller's time was over first.
  std::uint32_t CallerDisconnected = 0;
  /// Payoff of the served and of all calls: 0.3 and 0.7 times the size against
  /// the mean of the class, four at most, a late one 0.3 of it. All classes
  /// count alike.
  double EarnedPayoff = 0;
  double PossiblePayoff = 0;

  double worth() const {
    return this->PossiblePayoff > 0 ? this->EarnedPayoff / this->PossiblePayoff
                                    : 1;
  }
};

/// What a play showed.
struct SimulationResult {
  Outcomes Total;
  std::map<std::string, Outcomes> ByClass;
  std::map<std::uint32_t, Outcomes> ByAccount;
  /// The largest tenth of each class.
  std::map<std::string, Outcomes> LargestByClass;
  EngineCounts Engines;
  /// Times to the first token of the served calls, sorted.
  std::vector<Milliseconds> FirstTokens;
  /// From each refused attempt to its refusal, sorted.
  std::vector<Milliseconds> RefusalTimes;
  /// Part of the engines' time in which they had work.
  double Utilisation = 0;

  /// The mean worth of the accounts' worst tenth, one at least.
  double worstAccountsWorth() const;
  Milliseconds firstTokenQuantile(double Part) const;
  Milliseconds refusalTimeQuantile(double Part) const;
};

/// Plays the load of a seed against modelled engines.
SimulationResult simulate(const Scenario &Played, std::uint64_t Seed,
                          const Policy &By);

/// An upper bound on the worth of any policy: all calls known beforehand,
/// shared parts read for nothing, engines that never wait, and the calls with
/// the most payoff for their engine time served first.
double worthUpperBound(const Scenario &Played, std::uint64_t Seed);

} // namespace parsleywing::lab

#endif
