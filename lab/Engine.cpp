#include "lab/Engine.h"

#include <algorithm>

namespace parsleywing::lab {

void Engine::submit(EngineRequest Work, Milliseconds Now) {
  this->Waiting.push_back(std::move(Work));
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
    const std::uint64_t Needs = Next.PromptTokens + Next.OutputTokens;
    if (!this->Batch.empty() &&
        this->UsedTokens + Needs > this->Parameters.MemoryTokens)
      return;
    RunningRequest Made;
    std::uint64_t Kept = this->Cache.residentTokens(Next.Parts);
    this->Counts.CachedTokens += Kept;
    Made.ReadableAt = Now;
    if (this->Parameters.FetchTokensPerMs > 0 && Next.FetchableTokens > Kept) {
      const auto Fetched = static_cast<double>(Next.FetchableTokens - Kept);
      Made.ReadableAt += this->Parameters.FetchSetupTime +
                         Fetched / this->Parameters.FetchTokensPerMs;
      this->Counts.FetchedTokens += Next.FetchableTokens - Kept;
      Kept = Next.FetchableTokens;
    }
    Made.RemainingPrefillTokens = std::max<std::uint64_t>(
        Next.PromptTokens - std::min<std::uint64_t>(Kept, Next.PromptTokens),
        1);
    Made.RemainingOutputTokens = std::max(Next.OutputTokens, 1U);
    this->UsedTokens += Needs;
    Made.Request = std::move(Next);
    this->Waiting.pop_front();
    this->Batch.push_back(std::move(Made));
  }
}

/// A step reads up to a chunk of the prompts, the oldest first, and makes one
/// token for each request that has been read.
void Engine::startStep(Milliseconds Now) {
  this->admitWaiting(Now);
  if (this->Batch.empty()) {
    this->StepEndsAt.reset();
    return;
  }
  std::uint64_t Reads = 0;
  for (const RunningRequest &Each : this->Batch)
    if (Each.ReadableAt <= Now)
      Reads +=
          std::min<std::uint64_t>(Each.RemainingPrefillTokens,
                                  this->Parameters.PrefillChunkTokens - Reads);
  const Milliseconds Took =
      this->Parameters.StepTime +
      this->Parameters.StepTimePerRequest *
          static_cast<double>(this->Batch.size()) +
      static_cast<double>(Reads) / this->Parameters.PrefillTokensPerMs;
  this->StepEndsAt = Now + Took;
  this->Counts.BusyTime += Took;
}

std::vector<EngineEvent> Engine::step() {
  const Milliseconds Now = *this->StepEndsAt;
  std::vector<EngineEvent> News;
  std::uint64_t Chunk = this->Parameters.PrefillChunkTokens;
  for (RunningRequest &Each : this->Batch) {
    if (Each.ReadableAt > Now)
      continue;
    if (Each.RemainingPrefillTokens > 0) {
      const std::uint64_t Read = std::min(Each.RemainingPrefillTokens, Chunk);
      Each.RemainingPrefillTokens -= Read;
      Chunk -= Read;
      this->Counts.PrefilledTokens += Read;
      if (Each.RemainingPrefillTokens > 0)
        continue;
      this->Cache.setCapacity(
          this->Parameters.MemoryTokens -
          std::min(this->Parameters.MemoryTokens, this->UsedTokens));
      this->Cache.insert(Each.Request.Parts);
      this->Cache.markPrefilled(Each.Request.Parts);
      News.push_back({Each.Request.Id, true});
    }
    --Each.RemainingOutputTokens;
    ++this->Counts.GeneratedTokens;
    if (Each.RemainingOutputTokens == 0)
      News.push_back({Each.Request.Id, false});
  }
  std::erase_if(this->Batch, [this](const RunningRequest &Each) {
    if (Each.RemainingOutputTokens > 0)
      return false;
    this->UsedTokens -= Each.Request.PromptTokens + Each.Request.OutputTokens;
    return true;
  });
  this->startStep(Now);
  return News;
}

} // namespace parsleywing::lab
