#ifndef PARSLEYWING_PLACEMENT_CACHEMODEL_H
#define PARSLEYWING_PLACEMENT_CACHEMODEL_H

#include "Placement/PromptPart.h"

#include <list>
#include <unordered_map>

namespace parsleywing {

/// What one engine is likely to keep of the prompts that it has read: the most
/// recently used parts that fit its memory. A model of the engine's own rule,
/// fed with what is sent there; the engine is not asked.
class CacheModel {
public:
  /// Tokens that the engine keeps.
  void setCapacity(std::uint64_t Tokens) { this->Capacity = Tokens; }
  std::uint64_t capacity() const { return this->Capacity; }

  /// A prompt was sent there: all of its parts become the newest.
  void use(const std::vector<PromptPart> &Parts);

  /// Tokens at the start of the prompt that are kept: a part helps only if all
  /// before it are kept too.
  std::uint64_t kept(const std::vector<PromptPart> &Parts) const;

  bool holds(std::uint64_t Part) const { return this->Places.contains(Part); }

  void clear();

private:
  void dropOldest();

  std::uint64_t Capacity = 0;
  std::uint64_t Held = 0;
  /// The newest first.
  std::list<PromptPart> ByUse;
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> Places;
};

} // namespace parsleywing

#endif
