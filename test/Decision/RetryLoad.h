#ifndef PARSLEYWING_TEST_DECISION_RETRYLOAD_H
#define PARSLEYWING_TEST_DECISION_RETRYLOAD_H

#include "Decision/Request/RetryBudget.h"

#include <cstddef>
#include <memory>

namespace parsleywing::test {

/// The retry budget of one router under load, in simulated time.
class RetryLoad {
public:
  explicit RetryLoad(const RetrySettings &S) : Settings(S) { this->restart(); }

  void restart() {
    this->Budget = std::make_unique<RetryBudget>(this->Settings);
    this->Budget->advance(this->Now);
  }

  void advance(Duration Step) { this->Now += Step; }

  void request(AccountId Account) {
    this->Budget->countFirstAttempt(this->Now, Account, Service);
  }

  bool retry(AccountId Account) {
    if (!this->Budget->tryAcquire(this->Now, Account, Service))
      return false;
    this->Budget->settle(this->Now, Service);
    return true;
  }

  TimePoint now() const { return this->Now; }

private:
  static constexpr ServiceId Service{1};

  RetrySettings Settings;
  std::unique_ptr<RetryBudget> Budget;
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace parsleywing::test

#endif
