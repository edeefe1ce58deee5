#include "Control/RequestChannel.h"

namespace parsleywing {

void RequestChannel::put(const Action &Decision) {
  this->Decisions.put(Decision);
  const auto *Cancel = std::get_if<CancelAttempt>(&Decision);
  if (Cancel == nullptr)
    return;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Cancelled = Cancel->Attempt;
  if (this->Canceller && this->Cancelled == this->Current)
    this->Canceller();
}

void RequestChannel::beginAttempt(AttemptNumber Number) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Current = Number;
}

void RequestChannel::setCanceller(std::function<void()> NewBreaker) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Canceller = std::move(NewBreaker);
  if (this->Canceller && this->Cancelled == this->Current)
    this->Canceller();
}

} // namespace parsleywing
