#include "Control/RequestChannel.h"

namespace parsleywing {

void RequestChannel::put(const Action &NewAction) {
  this->Actions.put(NewAction);
  const auto *Cancel = std::get_if<CancelAttempt>(&NewAction);
  if (Cancel == nullptr)
    return;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->CancelledAttempt = Cancel->Attempt;
  if (this->Canceller && this->CancelledAttempt == this->CurrentAttempt)
    this->Canceller();
}

void RequestChannel::beginAttempt(AttemptNumber Number) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->CurrentAttempt = Number;
}

void RequestChannel::setCanceller(std::function<void()> NewCanceller) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Canceller = std::move(NewCanceller);
  if (this->Canceller && this->CancelledAttempt == this->CurrentAttempt)
    this->Canceller();
}

} // namespace parsleywing
