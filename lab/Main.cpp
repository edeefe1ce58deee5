#include "lab/Play.h"
#include "lab/ScenarioReader.h"

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
  Policy Chosen;
};

/// The policies that the command line knows.
std::vector<NamedPolicy> knownPolicies() {
  using parsleywing::AllocatorOptions;
  AllocatorOptions InOrder;
  InOrder.SmallestFirst = false;
  AllocatorOptions NoFetch;
  NoFetch.FetchCached = false;
  AllocatorOptions NoHome;
  NoHome.Weights.NonHomeServer = 0;
  AllocatorOptions NoHarm;
  NoHarm.Weights.OccupiedSlots = 0;
  NoHarm.Weights.PrefillInterference = 0;
  AllocatorOptions NoReadAgain;
  NoReadAgain.Weights.DuplicatePrefill = 0;
  AllocatorOptions NoBehind;
  NoBehind.UnderservedUseAnyServer = false;
  AllocatorOptions HoldsVain;
  HoldsVain.RefuseLikelyTimeouts = false;
  return {{"allocator", AllocatorPolicy{}},
          {"in-order", AllocatorPolicy{InOrder}},
          {"no-fetch", AllocatorPolicy{NoFetch}},
          {"no-home", AllocatorPolicy{NoHome}},
          {"no-interference", AllocatorPolicy{NoHarm}},
          {"no-read-again", AllocatorPolicy{NoReadAgain}},
          {"no-behind", AllocatorPolicy{NoBehind}},
          {"holds-vain", AllocatorPolicy{HoldsVain}},
          {"least-loaded", LeastLoadedPolicy{}},
          {"two-choices", TwoChoicesPolicy{}},
          {"home", HomePolicy{}}};
}

const NamedPolicy *findPolicy(const std::vector<NamedPolicy> &Among,
                              const std::string &Name) {
  for (const NamedPolicy &Each : Among)
    if (Name == Each.Name)
      return &Each;
  return nullptr;
}

void printOutcomes(const std::string &Name, const Outcomes &Had) {
  std::cout << std::left << std::setw(22) << Name << std::right << std::setw(8)
            << Had.Calls << std::setw(8) << Had.OnTime << std::setw(7)
            << Had.Late << std::setw(9) << Had.Refused << std::setw(7)
            << Had.CallerDisconnected << std::setw(8) << std::fixed
            << std::setprecision(3) << Had.worth() << '\n';
}

void printResult(const SimulationResult &Result) {
  std::cout
      << "                         calls on-time   late  refused   left   "
         "worth\n";
  printOutcomes("all", Result.Total);
  for (const auto &[Name, Had] : Result.ByClass)
    printOutcomes(Name, Had);
  for (const auto &[Name, Had] : Result.LargestByClass)
    printOutcomes(Name + ", largest 10th", Had);
  std::cout << "worst accounts " << Result.worstAccountsWorth()
            << ", engines busy " << Result.Utilisation << '\n'
            << "first token, ms: p50 " << std::setprecision(0)
            << Result.firstTokenQuantile(0.5) << ", p95 "
            << Result.firstTokenQuantile(0.95) << ", p99 "
            << Result.firstTokenQuantile(0.99) << '\n'
            << "refusals: " << Result.RefusalTimes.size() << ", ms: p50 "
            << Result.refusalTimeQuantile(0.5) << ", p95 "
            << Result.refusalTimeQuantile(0.95) << '\n'
            << "tokens: read " << Result.Engines.PrefilledTokens
            << ", found kept " << Result.Engines.CachedTokens << ", fetched "
            << Result.Engines.FetchedTokens << ", generated "
            << Result.Engines.GeneratedTokens << '\n';
}

/// Paired differences to the first policy, with the interval that holds the
/// mean of 95 in 100 such series.
void compare(const Scenario &Played, const std::vector<NamedPolicy> &Chosen,
             unsigned Seeds) {
  constexpr double Quantile = 1.96;
  std::cout << "policy,worth,worst accounts,difference,plus or minus\n";
  std::vector<double> First;
  for (const NamedPolicy &Each : Chosen) {
    double Sum = 0;
    double Accounts = 0;
    double Difference = 0;
    double Squares = 0;
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      const SimulationResult Result = simulate(Played, Seed, Each.Chosen);
      const double Worth = Result.Total.worth();
      if (First.size() < Seeds)
        First.push_back(Worth);
      const double Beside = Worth - First[Seed - 1];
      Sum += Worth;
      Accounts += Result.worstAccountsWorth();
      Difference += Beside;
      Squares += Beside * Beside;
      std::cerr << Each.Name << " seed " << Seed << " of " << Seeds << '\r';
    }
    const double Mean = Difference / Seeds;
    const double Variance =
        Seeds > 1 ? std::max(0.0, Squares - Seeds * Mean * Mean) / (Seeds - 1)
                  : 0;
    std::cout << Each.Name << std::fixed << std::setprecision(4) << ','
              << Sum / Seeds << ',' << Accounts / Seeds << ',' << Mean << ','
              << Quantile * std::sqrt(Variance / Seeds) << '\n';
  }
}

int runLab(int Count, char **Words) {
  options::options_description Known(
      "parsleywing-lab run|compare SCENARIO [options]\n"
      "Plays the product's allocation against modelled engines.\n"
      "Policies: allocator, in-order, no-fetch, no-home, no-interference,\n"
      "given, no-read-again, no-behind, holds-vain, least-loaded, "
      "two-choices, home");
  std::string Command;
  std::string Path;
  std::vector<std::string> Names;
  parsleywing::AllocatorOptions Given;
  unsigned Seed = 1;
  unsigned Seeds = 5;
  Known.add_options()("help", "this text")("command", options::value(&Command),
                                           "run or compare")(
      "scenario", options::value(&Path), "an INI file, as in lab/scenarios")(
      "policy", options::value(&Names), "one for run, several for compare")(
      "seed", options::value(&Seed), "of run")("seeds", options::value(&Seeds),
                                               "of compare: 1 to this")(
      "read-again", options::value(&Given.Weights.DuplicatePrefill),
      "weight of the policy called given")(
      "taken-slots", options::value(&Given.Weights.OccupiedSlots), "the same")(
      "reading-harm", options::value(&Given.Weights.PrefillInterference),
      "the same");
  options::positional_options_description Order;
  Order.add("command", 1).add("scenario", 1);
  options::variables_map Said;
  options::store(options::command_line_parser(Count, Words)
                     .options(Known)
                     .positional(Order)
                     .run(),
                 Said);
  options::notify(Said);
  if (Said.contains("help")) {
    std::cout << Known;
    return 0;
  }
  auto Policies = knownPolicies();
  Policies.push_back({"given", AllocatorPolicy{Given}});
  std::vector<NamedPolicy> Chosen;
  for (const std::string &Name : Names) {
    const NamedPolicy *Found = findPolicy(Policies, Name);
    if (Found == nullptr)
      throw options::error("no policy is called " + Name);
    Chosen.push_back(*Found);
  }
  const bool Compares = Command == "compare";
  if ((!Compares && Command != "run") || Path.empty() || Seeds == 0)
    throw options::error("a command (run, compare), a scenario and at least "
                         "one seed are needed; see --help");
  if (Chosen.empty())
    Chosen = Compares ? Policies : std::vector{Policies.front()};
  const auto Read = readScenario(Path);
  if (!Read)
    throw options::error(Read.error().Message);
  if (Compares) {
    compare(*Read, Chosen, Seeds);
    return 0;
  }
  printResult(simulate(*Read, Seed, Chosen.front().Chosen));
  std::cout << "bound on the worth of any policy: " << std::setprecision(3)
            << worthUpperBound(*Read, Seed) << '\n';
  return 0;
}

} // namespace

int main(int Count, char **Words) {
  try {
    return runLab(Count, Words);
  } catch (const options::error &Problem) {
    std::cerr << "parsleywing-lab: " << Problem.what() << '\n';
    return ExitBadInput;
  }
}
