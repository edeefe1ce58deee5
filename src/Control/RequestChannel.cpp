#include "Control/RequestChannel.h"

namespace parsleywing {

void RequestChannel::put(const Action &Decision) {
  this->Decisions.put(Decision);
  const auto *Cancel = std::get_if<CancelAttempt>(&Decision);
  if (Cancel == nullptr)
    return;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Cancelled = Cancel->Attempt;
  if (this->Breaker && this->Cancelled == this->Current)
    this->Breaker();
}

void RequestChannel::beginAttempt(AttemptNumber Number) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Current = Number;
}

void RequestChannel::setBreaker(std::function<void()> NewBreaker) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Breaker = std::move(NewBreaker);
  if (this->Breaker && this->Cancelled == this->Current)
    this->Breaker();
}

} // namespace parsleywing
