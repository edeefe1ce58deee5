#include "lab/Engine.h"

#include <algorithm>

namespace parsleywing::lab {

void Engine::submit(EngineRequest Request, Milliseconds Now) {
  this->Waiting.push_back(std::move(Request));
  if (!this->StepEndsAt)
    this->startStep(Now);
}

void Engine::cancel(const CorrelationId &Id) {
  std::erase_if(this->Waiting,
                [&Id](const EngineRequest &Each) { return Each.Id == Id; });
  std::erase_if(this->Batch, [this, &Id](const RunningRequest &Each) {
    if (!(Each.Request.Id == Id))
      return false;
    this->UsedTokens -= Each.Request.PromptTokens + Each.Request.OutputTokens;
    return true;
  });
}

void Engine::admitWaiting(Milliseconds Now) {
  while (!this->Waiting.empty() &&
         this->Batch.size() < this->Parameters.Slots) {
    EngineRequest &Next = this->Waiting.front();
    const std::uint64_t NeededTokens = Next.PromptTokens + Next.OutputTokens;
    if (!this->Batch.empty() &&
        this->UsedTokens + NeededTokens > this->Parameters.MemoryTokens)
      return;
    RunningRequest Admitted;
    std::uint64_t CachedTokens = this->Cache.prefilledTokens(Next.Parts);
    this->Counts.CachedTokens += CachedTokens;
    Admitted.PrefillableAt = Now;
    if (this->Parameters.FetchTokensPerMs > 0 &&
        Next.FetchableTokens > CachedTokens) {
      const auto FetchedTokens =
          static_cast<double>(Next.FetchableTokens - CachedTokens);
      Admitted.PrefillableAt +=
          this->Parameters.FetchSetupTime +
          FetchedTokens / this->Parameters.FetchTokensPerMs;
      this->Counts.FetchedTokens += Next.FetchableTokens - CachedTokens;
      CachedTokens = Next.FetchableTokens;
    }
    Admitted.RemainingPrefillTokens = std::max<std::uint64_t>(
        Next.PromptTokens -
            std::min<std::uint64_t>(CachedTokens, Next.PromptTokens),
        1);
    Admitted.RemainingOutputTokens = std::max(Next.OutputTokens, 1U);
    this->UsedTokens += NeededTokens;
    Admitted.Request = std::move(Next);
    this->Waiting.pop_front();
    this->Batch.push_back(std::move(Admitted));
  }
}

/// A step prefills up to one chunk of prompt tokens, oldest requests first, and
/// generates one token for each request whose prefill is complete.
void Engine::startStep(Milliseconds Now) {
  this->admitWaiting(Now);
  if (this->Batch.empty()) {
    this->StepEndsAt.reset();
    return;
  }
  std::uint64_t PrefillTokens = 0;
  for (const RunningRequest &Each : this->Batch)
    if (Each.PrefillableAt <= Now)
      PrefillTokens += std::min<std::uint64_t>(
          Each.RemainingPrefillTokens,
          this->Parameters.PrefillChunkTokens - PrefillTokens);
  const Milliseconds StepTime =
      this->Parameters.StepTime +
      this->Parameters.StepTimePerRequest *
          static_cast<double>(this->Batch.size()) +
      static_cast<double>(PrefillTokens) / this->Parameters.PrefillTokensPerMs;
  this->StepEndsAt = Now + StepTime;
  this->Counts.BusyTime += StepTime;
}

std::vector<EngineEvent> Engine::step() {
  const Milliseconds Now = *this->StepEndsAt;
  std::vector<EngineEvent> Events;
  std::uint64_t ChunkLeft = this->Parameters.PrefillChunkTokens;
  for (RunningRequest &Each : this->Batch) {
    if (Each.PrefillableAt > Now)
      continue;
    if (Each.RemainingPrefillTokens > 0) {
      const std::uint64_t PrefillTokens =
          std::min(Each.RemainingPrefillTokens, ChunkLeft);
      Each.RemainingPrefillTokens -= PrefillTokens;
      ChunkLeft -= PrefillTokens;
      this->Counts.PrefilledTokens += PrefillTokens;
      if (Each.RemainingPrefillTokens > 0)
        continue;
      this->Cache.setCapacity(
          this->Parameters.MemoryTokens -
          std::min(this->Parameters.MemoryTokens, this->UsedTokens));
      this->Cache.insert(Each.Request.Parts);
      this->Cache.markPrefilled(Each.Request.Parts);
      Events.push_back({Each.Request.Id, true});
    }
    --Each.RemainingOutputTokens;
    ++this->Counts.GeneratedTokens;
    if (Each.RemainingOutputTokens == 0)
      Events.push_back({Each.Request.Id, false});
  }
  std::erase_if(this->Batch, [this](const RunningRequest &Each) {
    if (Each.RemainingOutputTokens > 0)
      return false;
    this->UsedTokens -= Each.Request.PromptTokens + Each.Request.OutputTokens;
    return true;
  });
  this->startStep(Now);
  return Events;
}

} // namespace parsleywing::lab
