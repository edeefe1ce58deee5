#include "lab/Engine.h"

#include <algorithm>

namespace parsleywing::lab {

void Engine::admit(EngineWork Work, Milliseconds Now) {
  this->Waiting.push_back(std::move(Work));
  if (!this->StepEnds)
    this->beginStep(Now);
}

void Engine::cancel(const AskId &Id) {
  std::erase_if(this->Waiting,
                [&Id](const EngineWork &Each) { return Each.Id == Id; });
  std::erase_if(this->Batch, [this, &Id](const Running &Each) {
    if (!(Each.Work.Id == Id))
      return false;
    this->InUse -= Each.Work.PromptTokens + Each.Work.OutputTokens;
    return true;
  });
}

void Engine::admitWaiting(Milliseconds Now) {
  while (!this->Waiting.empty() && this->Batch.size() < this->Figures.Slots) {
    EngineWork &Next = this->Waiting.front();
    const std::uint64_t Needs = Next.PromptTokens + Next.OutputTokens;
    if (!this->Batch.empty() && this->InUse + Needs > this->Figures.Memory)
      return;
    Running Made;
    std::uint64_t Kept = this->Cache.keptNow(Next.Parts);
    this->Counts.FoundKept += Kept;
    Made.ReadableAt = Now;
    if (this->Figures.FetchPerMs > 0 && Next.FetchableTokens > Kept) {
      const auto Fetched = static_cast<double>(Next.FetchableTokens - Kept);
      Made.ReadableAt +=
          this->Figures.FetchSetup + Fetched / this->Figures.FetchPerMs;
      this->Counts.Fetched += Next.FetchableTokens - Kept;
      Kept = Next.FetchableTokens;
    }
    Made.Unread = std::max<std::uint64_t>(
        Next.PromptTokens - std::min<std::uint64_t>(Kept, Next.PromptTokens),
        1);
    Made.Left = std::max(Next.OutputTokens, 1U);
    this->InUse += Needs;
    Made.Work = std::move(Next);
    this->Waiting.pop_front();
    this->Batch.push_back(std::move(Made));
  }
}

/// A step reads up to a chunk of the prompts, the oldest first, and makes one
/// token for each request that has been read.
void Engine::beginStep(Milliseconds Now) {
  this->admitWaiting(Now);
  if (this->Batch.empty()) {
    this->StepEnds.reset();
    return;
  }
  std::uint64_t Reads = 0;
  for (const Running &Each : this->Batch)
    if (Each.ReadableAt <= Now)
      Reads +=
          std::min<std::uint64_t>(Each.Unread, this->Figures.ReadChunk - Reads);
  const Milliseconds Took =
      this->Figures.StepTime +
      this->Figures.StepTimePerRequest *
          static_cast<double>(this->Batch.size()) +
      static_cast<double>(Reads) / this->Figures.ReadPerMs;
  this->StepEnds = Now + Took;
  this->Counts.Busy += Took;
}

std::vector<EngineNews> Engine::step() {
  const Milliseconds Now = *this->StepEnds;
  std::vector<EngineNews> News;
  std::uint64_t Chunk = this->Figures.ReadChunk;
  for (Running &Each : this->Batch) {
    if (Each.ReadableAt > Now)
      continue;
    if (Each.Unread > 0) {
      const std::uint64_t Read = std::min(Each.Unread, Chunk);
      Each.Unread -= Read;
      Chunk -= Read;
      this->Counts.Read += Read;
      if (Each.Unread > 0)
        continue;
      this->Cache.setCapacity(this->Figures.Memory -
                              std::min(this->Figures.Memory, this->InUse));
      this->Cache.use(Each.Work.Parts);
      this->Cache.noteRead(Each.Work.Parts);
      News.push_back({Each.Work.Id, true});
    }
    --Each.Left;
    ++this->Counts.Generated;
    if (Each.Left == 0)
      News.push_back({Each.Work.Id, false});
  }
  std::erase_if(this->Batch, [this](const Running &Each) {
    if (Each.Left > 0)
      return false;
    this->InUse -= Each.Work.PromptTokens + Each.Work.OutputTokens;
    return true;
  });
  this->beginStep(Now);
  return News;
}

} // namespace parsleywing::lab
