#include "Decision/Membership/RumourQueue.h"

#include <algorithm>

namespace parsleywing {

std::vector<RouterId> RumourQueue::take(std::size_t MaxCount) {
  std::vector<std::pair<unsigned, RouterId>> ByRemainingSends;
  ByRemainingSends.reserve(this->RemainingSends.size());
  for (const auto &[Router, Times] : this->RemainingSends)
    ByRemainingSends.emplace_back(Times, Router);
  const std::size_t Count = std::min(MaxCount, ByRemainingSends.size());
  std::partial_sort(
      ByRemainingSends.begin(),
      ByRemainingSends.begin() + static_cast<std::ptrdiff_t>(Count),
      ByRemainingSends.end(), [](const auto &Left, const auto &Right) {
        if (Left.first != Right.first)
          return Left.first > Right.first;
        return Left.second < Right.second;
      });
  std::vector<RouterId> Selected;
  Selected.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const RouterId Router = ByRemainingSends[Index].second;
    Selected.push_back(Router);
    if (--this->RemainingSends[Router] == 0)
      this->RemainingSends.erase(Router);
  }
  return Selected;
}

} // namespace parsleywing
