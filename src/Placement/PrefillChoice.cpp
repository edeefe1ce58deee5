#include "Placement/PrefillChoice.h"

#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

/// The fraction of an objective that an estimate may use. The rest is for the
/// messages and for estimates that are too low.
constexpr double UsableObjectiveFraction = 0.9;

/// What another engine must save a request that would also be in time at the
/// cheapest one. With no minimum, engines are filled to their limit of pending
/// work: 2.6 % of the requests became late at engines slower than stated, and
/// 64 % more tokens were prefilled again.
constexpr double MinSavingMs = 100;

/// Each option in the form `SERVER:METHOD:FIRST-TOKEN-MS+COST-MS`.
std::string textOf(const PrefillOption &Option,
                   const PrefillEstimate &Estimate) {
  return std::to_string(Option.Server) + ":" +
         std::string(nameOf(PrefillMethodNames, Option.method())) + ":" +
         std::to_string(std::lround(Estimate.FirstTokenMs)) + "+" +
         std::to_string(std::lround(Estimate.CostToOthersMs)) +
         (Estimate.MeetsObjective ? "" : ":late");
}

} // namespace

PrefillEstimate estimate(const PrefillOption &Option,
                         const PrefillConditions &Conditions) {
  const auto ToMs = [&Conditions](std::uint64_t Tokens) {
    return static_cast<double>(Tokens) / Conditions.PrefillTokensPerMs;
  };
  const double TransferMs =
      Conditions.FetchTokensPerMs > 0
          ? Option.FetchTokens / Conditions.FetchTokensPerMs
          : 0;
  PrefillEstimate Result;
  // A transfer proceeds while the engine prefills other prompts.
  const double BacklogMs = Option.SlotWaitMs + ToMs(Option.BacklogTokens);
  const double FetchedMs =
      Option.FetchTokens > 0 ? Option.LinkWaitMs + TransferMs : 0;
  Result.FirstTokenMs =
      std::max(BacklogMs, FetchedMs) + ToMs(Option.PrefillTokens);
  // Evicted parts are prefilled again for the requests that use them.
  Result.CostToOthersMs = ToMs(Option.DuplicateTokens) * Option.BusyFraction +
                          ToMs(Option.EvictedTokens) + TransferMs;
  Result.MeetsObjective = Result.FirstTokenMs <=
                          Conditions.ObjectiveLeftMs * UsableObjectiveFraction;
  return Result;
}

PrefillDecision choosePrefill(const PrefillOption &Wait,
                              const PrefillOption &WithRoom,
                              const PrefillConditions &Conditions) {
  const PrefillEstimate Waiting = estimate(Wait, Conditions);
  const PrefillEstimate Immediate = estimate(WithRoom, Conditions);
  const bool TakesOther =
      Immediate.MeetsObjective &&
      (!Waiting.MeetsObjective ||
       Immediate.FirstTokenMs + Immediate.CostToOthersMs + MinSavingMs <
           Waiting.FirstTokenMs + Waiting.CostToOthersMs);
  if (!TakesOther)
    return {Wait, WithRoom, Waiting, Immediate};
  return {WithRoom, Wait, Immediate, Waiting};
}

std::string textOf(const PrefillDecision &Decision) {
  return "chosen=" + textOf(Decision.Chosen, Decision.ChosenEstimate) +
         " runner-up=" + textOf(Decision.RunnerUp, Decision.RunnerUpEstimate);
}

} // namespace parsleywing
