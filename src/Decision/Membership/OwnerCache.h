#ifndef PARSLEYWING_DECISION_MEMBERSHIP_OWNERCACHE_H
#define PARSLEYWING_DECISION_MEMBERSHIP_OWNERCACHE_H

#include "Decision/Membership/View.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// Remembers the owner of each key that was asked for, and gives the same
/// answers as `ownerOf`. A change of the view costs one pass over the
/// remembered keys with one hash a key for each owner that joined, and a full
/// computation for the keys of owners that left; `ownerOf` costs one hash a
/// member at each call. Keys not asked for cost nothing. About 40 bytes a key.
/// Not for keys that never recur, such as requests.
class OwnerCache {
public:
  explicit OwnerCache(const View &Current);

  /// Takes over a view and returns the remembered keys whose owner it moves, in
  /// no particular order.
  std::vector<std::uint64_t> update(const View &Next);

  /// The owner of this key in the view taken over last.
  RouterId ownerOf(std::uint64_t Key);

  std::size_t size() const { return this->Owners.size(); }

  /// Forgets all keys, as when the declarations were replaced.
  void clear() { this->Owners.clear(); }

private:
  struct Owner {
    RouterId Router;
    std::uint64_t Score = 0;
  };

  Owner compute(std::uint64_t Key) const;

  RouterId Self;
  std::vector<RouterId> Candidates; ///< Members that do not drain, in order.
  std::unordered_map<std::uint64_t, Owner> Owners;
};

} // namespace parsleywing

#endif
