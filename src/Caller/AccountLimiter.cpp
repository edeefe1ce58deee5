#include "Caller/AccountLimiter.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

bool AccountLimiter::tryAcquire(AccountId Account, std::uint32_t Max) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::uint32_t &Held = this->InFlight[Account];
  if (Held >= Max) {
    if (Held == 0)
      this->InFlight.erase(Account);
    return false;
  }
  ++Held;
  return true;
}

void AccountLimiter::release(AccountId Account) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->InFlight.find(Account);
  PARSLEYWING_INVARIANT(Found != this->InFlight.end(),
                        "a place is given back once");
  if (--Found->second == 0)
    this->InFlight.erase(Found);
}

} // namespace parsleywing
