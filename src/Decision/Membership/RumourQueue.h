#ifndef PARSLEYWING_DECISION_MEMBERSHIP_RUMOURQUEUE_H
#define PARSLEYWING_DECISION_MEMBERSHIP_RUMOURQUEUE_H

#include "Runtime/Id.h"

#include <cstddef>
#include <map>
#include <vector>

namespace parsleywing {

/// The routers of which there is news, each with how often it still is to be
/// passed on. What went out least goes first, so that fresh news is not held
/// up by old news.
class RumourQueue {
public:
  /// Starts passing on news of this router afresh, `Times` times.
  void add(RouterId Router, unsigned Times) { this->Left[Router] = Times; }

  /// Up to `Most` routers whose news goes into the next message.
  std::vector<RouterId> take(std::size_t Most);

  bool empty() const { return this->Left.empty(); }
  std::size_t size() const { return this->Left.size(); }

private:
  std::map<RouterId, unsigned> Left;
};

} // namespace parsleywing

#endif
