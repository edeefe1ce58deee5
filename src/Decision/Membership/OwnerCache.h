#ifndef PARSLEYWING_DECISION_MEMBERSHIP_OWNERCACHE_H
#define PARSLEYWING_DECISION_MEMBERSHIP_OWNERCACHE_H

#include "Decision/Membership/View.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// Caches the owner of each key that was looked up; returns the same owners as
/// the free function `ownerOf`. A view change costs one pass over the cached
/// keys, with one hash per key for each router that joined and a complete
/// computation for the keys of routers that left. The free function costs one
/// hash per member for each call. Keys that were not looked up cost nothing.
/// Uses about 40 bytes per key. Not intended for keys that do not recur, such
/// as requests.
class OwnerCache {
public:
  explicit OwnerCache(const View &Current);

  /// Applies a view and returns the cached keys whose owner changes, in no
  /// particular order.
  std::vector<std::uint64_t> update(const View &Next);

  /// The owner of this key in the view applied last.
  RouterId ownerOf(std::uint64_t Key);

  std::size_t size() const { return this->Owners.size(); }

  /// Removes all keys, for instance after the declarations were replaced.
  void clear() { this->Owners.clear(); }

private:
  struct Owner {
    RouterId Router;
    std::uint64_t Score = 0;
  };

  Owner compute(std::uint64_t Key) const;

  RouterId Self;
  std::vector<RouterId>
      Candidates; ///< Members that are not draining, in ascending order.
  std::unordered_map<std::uint64_t, Owner> Owners;
};

} // namespace parsleywing

#endif
