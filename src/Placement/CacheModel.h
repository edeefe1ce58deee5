#ifndef PARSLEYWING_PLACEMENT_CACHEMODEL_H
#define PARSLEYWING_PLACEMENT_CACHEMODEL_H

#include "Placement/PromptPart.h"
#include "Runtime/Clock.h"

#include <list>
#include <unordered_map>

namespace parsleywing {

/// Models the prompt cache of one engine: the most recently used parts that fit
/// its memory, like the engine's own LRU eviction. The model is updated from
/// the requests that are sent to the engine; it does not query the engine.
class CacheModel {
public:
  /// The cache capacity in tokens.
  void setCapacity(std::uint64_t Tokens) { this->Capacity = Tokens; }
  std::uint64_t capacity() const { return this->Capacity; }

  /// Records that a prompt was sent to the engine. All of its parts become the
  /// most recently used ones; new parts are not prefilled yet.
  void insert(const std::vector<PromptPart> &Parts, TimePoint Now = {});
  /// Marks the parts of a prompt as prefilled, and so as cached.
  void markPrefilled(const std::vector<PromptPart> &Parts);
  /// Removes the parts of a prompt that was never prefilled, except parts that
  /// were prefilled for another prompt.
  void evictUnprefilled(const std::vector<PromptPart> &Parts);

  /// Adds parts that the engine reports as cached. They count as less recently
  /// used than all known parts, since they are older than everything sent since
  /// the query. Parts that do not fit are ignored.
  void addReported(const std::vector<PromptPart> &Parts);

  /// The number of tokens at the start of the prompt that the engine is
  /// expected to have cached when it starts a request that is sent now: those
  /// of parts that are prefilled or were sent. A part counts only if all parts
  /// before it count too.
  std::uint64_t expectedTokens(const std::vector<PromptPart> &Parts) const;
  /// Like `expectedTokens`, but counts only prefilled parts, which other
  /// engines can fetch.
  std::uint64_t prefilledTokens(const std::vector<PromptPart> &Parts) const;

  /// The tokens of shared parts, used after `InUseSince`, that the engine has
  /// to evict to cache this many more tokens. Parts that were last used before
  /// are evicted first, since the least recently used ones are.
  std::uint64_t evictedInUse(std::uint64_t NewTokens,
                             TimePoint InUseSince) const;

  /// Whether the part is prefilled or was sent.
  bool contains(std::uint64_t Part) const { return this->Index.contains(Part); }

  void clear();

private:
  struct Entry {
    PromptPart Part;
    bool Prefilled = false;
    /// Another part of its prompt follows it, so other prompts may begin with
    /// it.
    bool Shared = false;
    TimePoint LastUsedAt{};
  };
  using LruList = std::list<Entry>;

  void evict(LruList::iterator Position);

  std::uint64_t Capacity = 0;
  std::uint64_t UsedTokens = 0;
  /// The most recently used part first.
  LruList Lru;
  std::unordered_map<std::uint64_t, LruList::iterator> Index;
};

} // namespace parsleywing

#endif
