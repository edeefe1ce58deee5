#include "Decision/Fairness/Outbox.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

Outbox::Letter &Outbox::to(TimePoint Now, RouterId Peer, bool Urgent) {
  auto [Found, New] = this->Letters.try_emplace(Peer);
  if (New)
    Found->second.Since = Now;
  Found->second.Urgent = Found->second.Urgent || Urgent;
  return Found->second;
}

std::map<RouterId, Outbox::Letter> Outbox::takeDue(TimePoint Now,
                                                   Duration Interval) {
  std::map<RouterId, Letter> Due;
  for (auto At = this->Letters.begin(); At != this->Letters.end();) {
    const auto This = At++;
    if (This->second.Urgent || Now >= This->second.Since + Interval)
      Due.insert(this->Letters.extract(This));
  }
  return Due;
}

void Outbox::dropGone(const View &Current) {
  std::erase_if(this->Letters, [&](const auto &Entry) {
    return std::ranges::none_of(Current.Members, [&](const Member &M) {
      return M.Router == Entry.first;
    });
  });
}

} // namespace parsleywing
