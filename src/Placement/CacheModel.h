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

  /// A prompt was sent there: all of its parts become the newest. Those that
  /// are new there are still to be read.
  void insert(const std::vector<PromptPart> &Parts);
  /// The prompt has been read: its parts are there.
  void markPrefilled(const std::vector<PromptPart> &Parts);
  /// The prompt was not read: what was only expected of it is not there.
  void evictUnfilled(const std::vector<PromptPart> &Parts);

  /// The engine says that it keeps these, with what it has been sent since the
  /// question: they are older than all that is known here. No more than fit.
  void addReported(const std::vector<PromptPart> &Parts);

  /// Tokens at the start of the prompt that are kept, or will be by the time at
  /// which a request that is sent now is begun: a part helps only if all before
  /// it are kept too.
  std::uint64_t expectedTokens(const std::vector<PromptPart> &Parts) const;
  /// The same of what is there already, for others to fetch.
  std::uint64_t residentTokens(const std::vector<PromptPart> &Parts) const;

  bool contains(std::uint64_t Part) const { return this->Index.contains(Part); }

  void clear();

private:
  struct Entry {
    PromptPart Part;
    bool Resident = false;
  };
  using LruList = std::list<Entry>;

  void evict(LruList::iterator Which);

  std::uint64_t Capacity = 0;
  std::uint64_t UsedTokens = 0;
  /// The newest first.
  LruList Lru;
  std::unordered_map<std::uint64_t, LruList::iterator> Index;
};

} // namespace parsleywing

#endif
