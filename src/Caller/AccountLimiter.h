#ifndef PARSLEYWING_CALLER_ACCOUNTLIMITER_H
#define PARSLEYWING_CALLER_ACCOUNTLIMITER_H

#include "Runtime/Id.h"

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace parsleywing {

/// Counts what each client account has in flight at this router, so that one
/// flooding account cannot take all threads. Holds only accounts with
/// something in flight. Safe from every thread; each call costs one lock.
class AccountLimiter {
public:
  /// Takes a place; false where the account holds `Max` already.
  bool tryAcquire(AccountId Account, std::uint32_t Max);

  /// Gives a place back.
  void release(AccountId Account);

private:
  std::mutex Mutex;
  std::unordered_map<AccountId, std::uint32_t> InFlight;
};

/// Holds a place of an account until it goes out of scope.
class InFlightGuard {
public:
  InFlightGuard(AccountLimiter &L, AccountId A, std::uint32_t Max)
      : Limiter(L), Account(A), Taken(L.tryAcquire(A, Max)) {}
  ~InFlightGuard() {
    if (this->Taken)
      this->Limiter.release(this->Account);
  }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;

  bool isAcquired() const { return this->Taken; }

private:
  AccountLimiter &Limiter;
  AccountId Account;
  bool Taken;
};

} // namespace parsleywing

#endif
