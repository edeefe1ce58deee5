#ifndef PARSLEYWING_LAB_ENGINE_H
#define PARSLEYWING_LAB_ENGINE_H

#include "Placement/CacheModel.h"
#include "Placement/RouterMessages.h"

#include <deque>
#include <optional>
#include <vector>

namespace parsleywing::lab {

/// Time within a play, in milliseconds from its start.
using Milliseconds = double;

/// What an engine can do. Speeds are those of the engine alone; how long a step
/// takes follows from what runs.
struct EngineParameters {
  /// Requests that it runs at once.
  std::uint32_t Slots = 64;
  /// A step without prompts to read, and what each running request adds.
  Milliseconds StepTime = 2.9;
  Milliseconds StepTimePerRequest = 0.1;
  /// Prompt tokens that it reads in a millisecond, and the most in one step.
  double PrefillTokensPerMs = 55;
  std::uint32_t PrefillChunkTokens = 1024;
  /// Tokens of its memory, for running requests and kept parts together.
  std::uint64_t MemoryTokens = 550'000;
  /// Kept tokens that come from another engine in a millisecond, and the time
  /// until the first does; no fetching where the speed is 0.
  double FetchTokensPerMs = 1900;
  Milliseconds FetchSetupTime = 5;
};

/// A request at an engine.
struct EngineRequest {
  CorrelationId Id;
  std::vector<PromptPart> Parts;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 1;
  /// Tokens at the start of the prompt that another engine keeps for it.
  std::uint64_t FetchableTokens = 0;
};

/// What an engine tells at the end of a step.
struct EngineEvent {
  CorrelationId Id;
  /// The first token came in this step; else the last one.
  bool IsFirstToken = false;
};

/// What an engine has done so far, in tokens.
struct EngineCounts {
  std::uint64_t PrefilledTokens = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t FetchedTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  Milliseconds BusyTime = 0;
};

/// A model engine that batches continuously: it admits in order of arrival,
/// reads prompts in chunks between the tokens of running requests, and keeps
/// the parts of prompts that it has read, the least recently used yielding. Not
/// modelled: preemption, the growth of a step with the context, failures.
class Engine {
public:
  explicit Engine(EngineParameters F) : Parameters(F) {}

  void submit(EngineRequest Work, Milliseconds Now);
  /// The caller has left: the request stops at the next step.
  void cancel(const CorrelationId &Id);

  /// The end of the present step; nothing where the engine is idle.
  std::optional<Milliseconds> nextStepAt() const { return this->StepEndsAt; }
  /// Ends the present step and begins the next.
  std::vector<EngineEvent> step();

  /// Tokens at the start of the prompt that it keeps.
  std::uint64_t cachedTokens(const std::vector<PromptPart> &Parts) const {
    return this->Cache.residentTokens(Parts);
  }
  const EngineCounts &counts() const { return this->Counts; }

private:
  struct RunningRequest {
    EngineRequest Request;
    std::uint64_t RemainingPrefillTokens = 0;
    std::uint32_t RemainingOutputTokens = 0;
    /// Fetched parts are there from this moment on.
    Milliseconds ReadableAt = 0;
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
