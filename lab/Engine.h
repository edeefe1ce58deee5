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
struct EngineFigures {
  /// Requests that it runs at once.
  std::uint32_t Slots = 64;
  /// A step without prompts to read, and what each running request adds.
  Milliseconds StepTime = 2.9;
  Milliseconds StepTimePerRequest = 0.1;
  /// Prompt tokens that it reads in a millisecond, and the most in one step.
  double ReadPerMs = 55;
  std::uint32_t ReadChunk = 1024;
  /// Tokens of its memory, for running requests and kept parts together.
  std::uint64_t Memory = 550'000;
  /// Kept tokens that come from another engine in a millisecond, and the time
  /// until the first does; no fetching where the speed is 0.
  double FetchPerMs = 1900;
  Milliseconds FetchSetup = 5;
};

/// A request at an engine.
struct EngineWork {
  AskId Id;
  std::vector<PromptPart> Parts;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 1;
  /// Tokens at the start of the prompt that another engine keeps for it.
  std::uint64_t FetchableTokens = 0;
};

/// What an engine tells at the end of a step.
struct EngineNews {
  AskId Id;
  /// The first token came in this step; else the last one.
  bool First = false;
};

/// What an engine has done so far, in tokens.
struct EngineCounts {
  std::uint64_t Read = 0;
  std::uint64_t FoundKept = 0;
  std::uint64_t Fetched = 0;
  std::uint64_t Generated = 0;
  Milliseconds Busy = 0;
};

/// A model engine that batches continuously: it admits in order of arrival,
/// reads prompts in chunks between the tokens of running requests, and keeps
/// the parts of prompts that it has read, the least recently used yielding. Not
/// modelled: preemption, the growth of a step with the context, failures.
class Engine {
public:
  explicit Engine(EngineFigures F) : Figures(F) {}

  void admit(EngineWork Work, Milliseconds Now);
  /// The caller has left: the request stops at the next step.
  void cancel(const AskId &Id);

  /// The end of the present step; nothing where the engine is idle.
  std::optional<Milliseconds> nextStepAt() const { return this->StepEnds; }
  /// Ends the present step and begins the next.
  std::vector<EngineNews> step();

  /// Tokens at the start of the prompt that it keeps.
  std::uint64_t kept(const std::vector<PromptPart> &Parts) const {
    return this->Cache.keptNow(Parts);
  }
  const EngineCounts &counts() const { return this->Counts; }

private:
  struct Running {
    EngineWork Work;
    std::uint64_t Unread = 0;
    std::uint32_t Left = 0;
    /// Fetched parts are there from this moment on.
    Milliseconds ReadableAt = 0;
  };

  void admitWaiting(Milliseconds Now);
  void beginStep(Milliseconds Now);

  EngineFigures Figures;
  std::deque<EngineWork> Waiting;
  std::vector<Running> Batch;
  CacheModel Cache;
  std::uint64_t InUse = 0;
  std::optional<Milliseconds> StepEnds;
  EngineCounts Counts;
};

} // namespace parsleywing::lab

#endif
