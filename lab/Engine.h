#ifndef PARSLEYWING_LAB_ENGINE_H
#define PARSLEYWING_LAB_ENGINE_H

#include "Placement/CacheModel.h"
#include "Placement/RouterMessages.h"

#include <deque>
#include <optional>
#include <vector>

namespace parsleywing::lab {

/// Simulated time in milliseconds from the start, or a duration in
/// milliseconds.
using Milliseconds = double;

/// The performance of an engine. Rates are those of an engine without
/// contention; the time of a step also depends on the running requests.
struct EngineParameters {
  /// Maximum number of requests that run concurrently.
  std::uint32_t Slots = 64;
  /// The time of a step without prefill, and the time that each running request
  /// adds.
  Milliseconds StepTime = 2.9;
  Milliseconds StepTimePerRequest = 0.1;
  /// Prompt tokens prefilled per millisecond, and the maximum per step.
  double PrefillTokensPerMs = 55;
  std::uint32_t PrefillChunkTokens = 1024;
  /// Memory in tokens, shared by running requests and cached parts.
  std::uint64_t MemoryTokens = 550'000;
  /// Cached tokens fetched from another engine per millisecond, and the time
  /// until the first one arrives. Nothing is fetched if the rate is 0.
  double FetchTokensPerMs = 1900;
  Milliseconds FetchSetupTime = 5;
};

/// A request at an engine.
struct EngineRequest {
  CorrelationId Id;
  std::vector<PromptPart> Parts;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 1;
  /// Tokens at the start of the prompt that can be fetched from another engine.
  std::uint64_t FetchableTokens = 0;
};

/// Progress of a request, reported at the end of a step.
struct EngineEvent {
  CorrelationId Id;
  /// Whether this step generated the first token; otherwise the last one.
  bool IsFirstToken = false;
};

/// Totals of an engine since the start.
struct EngineCounts {
  std::uint64_t PrefilledTokens = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t FetchedTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  Milliseconds BusyTime = 0;
};

/// A simulated model engine with continuous batching: it admits requests in
/// order of arrival, prefills prompts in chunks between the tokens of running
/// requests, and caches prefilled parts with LRU eviction. Not modelled:
/// preemption, longer steps with longer contexts, and failures.
class Engine {
public:
  explicit Engine(EngineParameters P) : Parameters(P) {}

  void submit(EngineRequest Request, Milliseconds Now);
  /// Removes a request whose caller has disconnected. The current step still
  /// takes its full time.
  void cancel(const CorrelationId &Id);

  /// The end of the current step; nothing if the engine is idle.
  std::optional<Milliseconds> nextStepAt() const { return this->StepEndsAt; }
  /// Ends the current step and starts the next one.
  std::vector<EngineEvent> step();

  /// Number of tokens at the start of the prompt that the engine has cached.
  std::uint64_t cachedTokens(const std::vector<PromptPart> &Parts) const {
    return this->Cache.prefilledTokens(Parts);
  }
  const EngineCounts &counts() const { return this->Counts; }

private:
  struct RunningRequest {
    EngineRequest Request;
    std::uint64_t RemainingPrefillTokens = 0;
    std::uint32_t RemainingOutputTokens = 0;
    /// When the fetched parts have arrived and prefill can start.
    Milliseconds PrefillableAt = 0;
  };

  void admitWaiting(Milliseconds Now);
  void startStep(Milliseconds Now);

  EngineParameters Parameters;
  std::deque<EngineRequest> Waiting;
  std::vector<RunningRequest> Batch;
  CacheModel Cache;
  std::uint64_t UsedTokens = 0;
  std::optional<Milliseconds> StepEndsAt;
  EngineCounts Counts;
};

} // namespace parsleywing::lab

#endif
