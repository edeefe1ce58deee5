#include "Decision/Fairness/Outbox.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

Outbox::PendingMessage &Outbox::to(TimePoint Now, RouterId Peer, bool Urgent) {
  const TimePoint Due = Urgent ? Now : Now + this->FlushDelay;
  auto [Found, New] = this->Messages.try_emplace(Peer);
  if (New || Due < Found->second.Due)
    Found->second.Due = Due;
  Found->second.Urgent = Found->second.Urgent || Urgent;
  this->Urgent = this->Urgent || Urgent;
  return Found->second;
}

std::map<RouterId, Outbox::PendingMessage> Outbox::takeDue(TimePoint Now) {
  std::map<RouterId, PendingMessage> Due;
  this->Urgent = false;
  for (auto Next = this->Messages.begin(); Next != this->Messages.end();) {
    const auto Current = Next++;
    if (Now >= Current->second.Due)
      Due.insert(this->Messages.extract(Current));
  }
  return Due;
}

void Outbox::dropGone(const View &Current) {
  std::erase_if(this->Messages, [&](const auto &Entry) {
    return std::ranges::none_of(Current.Members, [&](const Member &M) {
      return M.Router == Entry.first;
    });
  });
}

} // namespace parsleywing
