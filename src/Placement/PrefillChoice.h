#ifndef PARSLEYWING_PLACEMENT_PREFILLCHOICE_H
#define PARSLEYWING_PLACEMENT_PREFILLCHOICE_H

#include "Runtime/EnumNames.h"

#include <cstdint>
#include <optional>
#include <string>

namespace parsleywing {

/// How an engine gets the part of a prompt that some engine has cached.
enum class PrefillMethod : std::uint8_t {
  Cached,  ///< It has the longest cached prefix itself.
  Fetch,   ///< It fetches the prefix from another engine.
  Prefill, ///< It prefills the prefix, or a part of it, again.
};

inline constexpr EnumNames<PrefillMethod, 3> PrefillMethodNames{{
    {PrefillMethod::Cached, "cached"},
    {PrefillMethod::Fetch, "fetch"},
    {PrefillMethod::Prefill, "prefill"},
}};

/// An engine for a request, and what the request would find and use there.
struct PrefillOption {
  std::uint64_t Server = 0;
  /// Prompt tokens that the engine prefills before those of this request.
  std::uint64_t BacklogTokens = 0;
  std::uint32_t PrefillTokens = 0;
  std::uint32_t FetchTokens = 0;
  /// Until the earlier transfers on the source's link have ended.
  double LinkWaitMs = 0;
  /// Until the engine has a slot and memory for the request.
  double SlotWaitMs = 0;
  /// The fraction of the engine's time that recently went into prefill. Time of
  /// an engine that would be idle otherwise costs other requests nothing.
  double BusyFraction = 1;
  /// Tokens that the engine would prefill although another engine has them
  /// cached or prefills them.
  std::uint64_t DuplicateTokens = 0;
  /// Tokens of shared parts in use that the engine would have to evict.
  std::uint64_t EvictedTokens = 0;

  PrefillMethod method() const {
    if (this->DuplicateTokens > 0)
      return PrefillMethod::Prefill;
    return this->FetchTokens > 0 ? PrefillMethod::Fetch : PrefillMethod::Cached;
  }
};

/// The speeds that estimates assume of all engines of a group, and how far the
/// request is from its latency objective.
struct PrefillConditions {
  double PrefillTokensPerMs = 25;
  /// Tokens per millisecond on an engine's link; 0 if engines do not fetch.
  double FetchTokensPerMs = 0;
  /// Negative if the objective has been missed.
  double ObjectiveLeftMs = 0;
};

/// The consequences of an option.
struct PrefillEstimate {
  double FirstTokenMs = 0;
  /// The time that the option takes from other requests.
  double CostToOthersMs = 0;
  bool MeetsObjective = false;
};

PrefillEstimate estimate(const PrefillOption &Option,
                         const PrefillConditions &Conditions);

/// The chosen option of a request and the other one.
struct PrefillDecision {
  PrefillOption Chosen;
  PrefillOption RunnerUp;
  PrefillEstimate ChosenEstimate;
  PrefillEstimate RunnerUpEstimate;
};

/// Chooses between waiting for the cheapest engine, which has no room, and the
/// cheapest engine that has room now. The latter is chosen if it meets the
/// latency objective, and waiting would miss it or has a clearly higher sum of
/// the time to the first token and the cost to others. A request that is late
/// at both waits, since work that is done again for it makes other requests
/// late.
PrefillDecision choosePrefill(const PrefillOption &Wait,
                              const PrefillOption &WithRoom,
                              const PrefillConditions &Conditions);

/// For the log.
std::string textOf(const PrefillDecision &Decision);

} // namespace parsleywing

#endif
