#include "lab/ScenarioReader.h"
#include "lab/Simulation.h"

#include <boost/program_options.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace {

using namespace parsleywing::lab;
namespace options = boost::program_options;

constexpr int ExitBadInput = 2;

struct NamedPolicy {
  const char *Name;
  Policy Definition;
};

/// The policies that can be named on the command line.
std::vector<NamedPolicy> namedPolicies() {
  using parsleywing::AllocatorOptions;
  AllocatorOptions InOrder;
  InOrder.SmallestFirst = false;
  AllocatorOptions NoFetch;
  NoFetch.FetchCached = false;
  AllocatorOptions NoHome;
  NoHome.Weights.NonHomeServer = 0;
  AllocatorOptions NoInterference;
  NoInterference.Weights.OccupiedSlots = 0;
  NoInterference.Weights.PrefillInterference = 0;
  AllocatorOptions NoDuplicatePrefill;
  NoDuplicatePrefill.Weights.DuplicatePrefill = 0;
  AllocatorOptions NoAnyServer;
  NoAnyServer.UnderservedUseAnyServer = false;
  AllocatorOptions WeighsCached;
  WeighsCached.WeighCachedPrompts = true;
  AllocatorOptions NoEarlyRefusal;
  NoEarlyRefusal.RefuseLikelyTimeouts = false;
  return {{"allocator", AllocatorPolicy{}},
          {"in-order", AllocatorPolicy{InOrder}},
          {"no-fetch", AllocatorPolicy{NoFetch}},
          {"weigh-cached", AllocatorPolicy{WeighsCached}},
          {"no-home", AllocatorPolicy{NoHome}},
          {"no-interference", AllocatorPolicy{NoInterference}},
          {"no-read-again", AllocatorPolicy{NoDuplicatePrefill}},
          {"no-behind", AllocatorPolicy{NoAnyServer}},
          {"holds-vain", AllocatorPolicy{NoEarlyRefusal}},
          {"least-loaded", LeastLoadedPolicy{}},
          {"two-choices", TwoChoicesPolicy{}},
          {"home", HomePolicy{}}};
}

const NamedPolicy *findPolicy(const std::vector<NamedPolicy> &Policies,
                              const std::string &Name) {
  for (const NamedPolicy &Each : Policies)
    if (Name == Each.Name)
      return &Each;
  return nullptr;
}

void printOutcomes(const std::string &Name, const OutcomeTotals &Totals) {
  std::cout << std::left << std::setw(22) << Name << std::right << std::setw(8)
            << Totals.Calls << std::setw(8) << Totals.OnTime << std::setw(7)
            << Totals.Late << std::setw(9) << Totals.Refused << std::setw(7)
            << Totals.CallerDisconnected << std::setw(8) << std::fixed
            << std::setprecision(3) << Totals.payoffShare() << '\n';
}

void printResult(const SimulationResult &Result) {
  std::cout
      << "                         calls on-time   late  refused   left   "
         "worth\n";
  printOutcomes("all", Result.Total);
  for (const auto &[Name, Totals] : Result.ByClass)
    printOutcomes(Name, Totals);
  for (const auto &[Name, Totals] : Result.LargestByClass)
    printOutcomes(Name + ", largest 10th", Totals);
  std::cout << "worst accounts " << Result.worstAccountsPayoffShare()
            << ", engines busy " << Result.Utilisation << '\n'
            << "first token, ms: p50 " << std::setprecision(0)
            << Result.firstTokenQuantile(0.5) << ", p95 "
            << Result.firstTokenQuantile(0.95) << ", p99 "
            << Result.firstTokenQuantile(0.99) << '\n'
            << "refusals: " << Result.RefusalTimes.size() << ", ms: p50 "
            << Result.refusalTimeQuantile(0.5) << ", p95 "
            << Result.refusalTimeQuantile(0.95) << '\n'
            << "tokens: prefilled " << Result.Engines.PrefilledTokens
            << ", cached " << Result.Engines.CachedTokens << ", fetched "
            << Result.Engines.FetchedTokens << ", generated "
            << Result.Engines.GeneratedTokens << '\n';
}

/// Compares the payoff shares of policies. Prints the mean paired difference of
/// each to the first one, and its 95 % confidence interval.
void compare(const Scenario &TheScenario,
             const std::vector<NamedPolicy> &SelectedPolicies, unsigned Seeds) {
  constexpr double NormalQuantile = 1.96;
  std::cout << "policy,worth,worst accounts,difference,plus or minus\n";
  std::vector<double> BaselineShares;
  for (const NamedPolicy &Each : SelectedPolicies) {
    double ShareSum = 0;
    double WorstAccountsSum = 0;
    double DifferenceSum = 0;
    double SquareSum = 0;
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      const SimulationResult Result =
          simulate(TheScenario, Seed, Each.Definition);
      const double Share = Result.Total.payoffShare();
      if (BaselineShares.size() < Seeds)
        BaselineShares.push_back(Share);
      const double Difference = Share - BaselineShares[Seed - 1];
      ShareSum += Share;
      WorstAccountsSum += Result.worstAccountsPayoffShare();
      DifferenceSum += Difference;
      SquareSum += Difference * Difference;
      std::cerr << Each.Name << " seed " << Seed << " of " << Seeds << '\r';
    }
    const double Mean = DifferenceSum / Seeds;
    const double Variance =
        Seeds > 1 ? std::max(0.0, SquareSum - Seeds * Mean * Mean) / (Seeds - 1)
                  : 0;
    std::cout << Each.Name << std::fixed << std::setprecision(4) << ','
              << ShareSum / Seeds << ',' << WorstAccountsSum / Seeds << ','
              << Mean << ',' << NormalQuantile * std::sqrt(Variance / Seeds)
              << '\n';
  }
}

int runLab(int ArgumentCount, char **Arguments) {
  options::options_description Options(
      "parsleywing-lab run|compare SCENARIO [options]\n"
      "Simulates the product's allocation with modelled engines.\n"
      "Policies: allocator, in-order, no-fetch, no-home, no-interference,\n"
      "given, weigh-cached, no-read-again, no-behind, holds-vain, "
      "least-loaded, "
      "two-choices, home");
  std::string Command;
  std::string Path;
  std::vector<std::string> Names;
  parsleywing::AllocatorOptions GivenOptions;
  unsigned Seed = 1;
  unsigned Seeds = 5;
  Options.add_options()("help", "print this text")(
      "command", options::value(&Command),
      "run or compare")("scenario", options::value(&Path),
                        "an INI file such as those in lab/scenarios")(
      "policy", options::value(&Names), "one for run, one or more for compare")(
      "seed", options::value(&Seed),
      "seed for run")("seeds", options::value(&Seeds),
                      "for compare: use the seeds from 1 to this number")(
      "read-again", options::value(&GivenOptions.Weights.DuplicatePrefill),
      "weight of duplicate prefill in the policy 'given'")(
      "taken-slots", options::value(&GivenOptions.Weights.OccupiedSlots),
      "weight of occupied slots in the policy 'given'")(
      "reading-harm", options::value(&GivenOptions.Weights.PrefillInterference),
      "weight of prefill interference in the policy 'given'");
  options::positional_options_description Order;
  Order.add("command", 1).add("scenario", 1);
  options::variables_map Values;
  options::store(options::command_line_parser(ArgumentCount, Arguments)
                     .options(Options)
                     .positional(Order)
                     .run(),
                 Values);
  options::notify(Values);
  if (Values.contains("help")) {
    std::cout << Options;
    return 0;
  }
  auto Policies = namedPolicies();
  Policies.push_back({"given", AllocatorPolicy{GivenOptions}});
  std::vector<NamedPolicy> SelectedPolicies;
  for (const std::string &Name : Names) {
    const NamedPolicy *Found = findPolicy(Policies, Name);
    if (Found == nullptr)
      throw options::error("unknown policy " + Name);
    SelectedPolicies.push_back(*Found);
  }
  const bool IsComparison = Command == "compare";
  if ((!IsComparison && Command != "run") || Path.empty() || Seeds == 0)
    throw options::error("a command (run or compare), a scenario and at "
                         "least one seed are required; see --help");
  if (SelectedPolicies.empty())
    SelectedPolicies = IsComparison ? Policies : std::vector{Policies.front()};
  const auto TheScenario = readScenario(Path);
  if (!TheScenario)
    throw options::error(TheScenario.error().Message);
  if (IsComparison) {
    compare(*TheScenario, SelectedPolicies, Seeds);
    return 0;
  }
  printResult(
      simulate(*TheScenario, Seed, SelectedPolicies.front().Definition));
  std::cout << "upper bound on the worth of any policy: "
            << std::setprecision(3) << payoffShareUpperBound(*TheScenario, Seed)
            << '\n';
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    return runLab(ArgumentCount, Arguments);
  } catch (const options::error &Failure) {
    std::cerr << "parsleywing-lab: " << Failure.what() << '\n';
    return ExitBadInput;
  }
}
