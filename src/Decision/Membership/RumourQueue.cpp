#include "Decision/Membership/RumourQueue.h"

#include <algorithm>

namespace parsleywing {

std::vector<RouterId> RumourQueue::take(std::size_t MaxCount) {
  std::vector<std::pair<unsigned, RouterId>> ByNews;
  ByNews.reserve(this->RemainingSends.size());
  for (const auto &[Router, Times] : this->RemainingSends)
    ByNews.emplace_back(Times, Router);
  const std::size_t Count = std::min(MaxCount, ByNews.size());
  std::partial_sort(ByNews.begin(),
                    ByNews.begin() + static_cast<std::ptrdiff_t>(Count),
                    ByNews.end(), [](const auto &Left, const auto &Right) {
                      if (Left.first != Right.first)
                        return Left.first > Right.first;
                      return Left.second < Right.second;
                    });
  std::vector<RouterId> Taken;
  Taken.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const RouterId Router = ByNews[Index].second;
    Taken.push_back(Router);
    if (--this->RemainingSends[Router] == 0)
      this->RemainingSends.erase(Router);
  }
  return Taken;
}

} // namespace parsleywing
