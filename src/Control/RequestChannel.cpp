#include "Control/RequestChannel.h"

namespace parsleywing {

void RequestChannel::put(const Action &Decision) {
  const bool Breaks = std::holds_alternative<CancelAttempt>(Decision);
  this->Decisions.put(Decision);
  if (!Breaks)
    return;
  std::lock_guard<std::mutex> Lock(this->Guard);
  if (this->Breaker)
    this->Breaker();
}

void RequestChannel::setBreaker(std::function<void()> NewBreaker) {
  std::lock_guard<std::mutex> Lock(this->Guard);
  this->Breaker = std::move(NewBreaker);
}

} // namespace parsleywing
