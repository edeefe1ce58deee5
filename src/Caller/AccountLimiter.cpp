#include "Caller/AccountLimiter.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

bool AccountLimiter::tryAcquire(AccountId Account, std::uint32_t Max) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::uint32_t &Count = this->InFlight[Account];
  if (Count >= Max) {
    if (Count == 0)
      this->InFlight.erase(Account);
    return false;
  }
  ++Count;
  return true;
}

void AccountLimiter::release(AccountId Account) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->InFlight.find(Account);
  PARSLEYWING_INVARIANT(Found != this->InFlight.end(),
                        "each acquired request is released once");
  if (--Found->second == 0)
    this->InFlight.erase(Found);
}

} // namespace parsleywing
