#ifndef PARSLEYWING_CALLER_ACCOUNTLIMITER_H
#define PARSLEYWING_CALLER_ACCOUNTLIMITER_H

#include "Runtime/Id.h"

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace parsleywing {

/// Limits the requests that each client account has in flight at this router,
/// so that a single account cannot occupy all threads. Stores only accounts
/// with requests in flight. Thread-safe; each call takes one lock.
class AccountLimiter {
public:
  /// Counts one more request; false if the account already has `Max` in flight.
  bool tryAcquire(AccountId Account, std::uint32_t Max);

  /// Ends a request that `tryAcquire` counted.
  void release(AccountId Account);

private:
  std::mutex Mutex;
  std::unordered_map<AccountId, std::uint32_t> InFlight;
};

/// RAII guard that counts one request of an account as in flight. Check
/// `isAcquired` after construction.
class InFlightGuard {
public:
  InFlightGuard(AccountLimiter &L, AccountId A, std::uint32_t Max)
      : Limiter(L), Account(A), Acquired(L.tryAcquire(A, Max)) {}
  ~InFlightGuard() {
    if (this->Acquired)
      this->Limiter.release(this->Account);
  }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;

  bool isAcquired() const { return this->Acquired; }

private:
  AccountLimiter &Limiter;
  AccountId Account;
  bool Acquired;
};

} // namespace parsleywing

#endif
