#ifndef PARSLEYWING_PLACEMENT_ENGINEMEMORY_H
#define PARSLEYWING_PLACEMENT_ENGINEMEMORY_H

#include "Placement/PromptPart.h"

#include <unordered_map>

namespace parsleywing {

/// What a request needs of an engine's memory.
struct MemoryDemand {
  const std::vector<PromptPart> *Parts = nullptr;
  std::uint32_t PromptTokens = 0;
  /// The maximum number of tokens that may be generated.
  std::uint32_t MaxOutputTokens = 0;
};

/// The memory that the running requests of one engine use, in tokens. A prompt
/// part that several of them share is counted once. Each request counts with
/// the tokens that it may generate at most, until it ends.
class EngineMemory {
public:
  void add(const MemoryDemand &Demand);
  /// Removes a request that was added with the same values.
  void remove(const MemoryDemand &Demand);

  /// The tokens that the request would add.
  std::uint64_t neededTokens(const MemoryDemand &Demand) const;
  std::uint64_t usedTokens() const { return this->UsedTokens; }

private:
  struct UsedPart {
    std::uint32_t Tokens = 0;
    std::uint32_t Requests = 0;
  };

  std::unordered_map<std::uint64_t, UsedPart> Parts;
  std::uint64_t UsedTokens = 0;
};

} // namespace parsleywing

#endif
