#include "Decision/Request/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

/// Seconds of the floor rate that can accumulate.
constexpr double FloorSeconds = 5;

/// One retry, in thousandths.
constexpr std::int64_t OneRetry = 1000;

std::int64_t inThousandths(double Retries) {
  return std::llround(Retries * static_cast<double>(OneRetry));
}

} // namespace

void RetryBudget::countFirstAttempt(AccountId Account) {
  std::int64_t &Balance = this->Saved[Account];
  Balance = std::min(Balance + inThousandths(this->Settings.BudgetFraction),
                     inThousandths(this->Settings.BudgetBurst));
}

bool RetryBudget::tryAcquire(TimePoint Now, AccountId Account) {
  auto Found = this->Saved.find(Account);
  if (Found != this->Saved.end() && Found->second >= OneRetry) {
    Found->second -= OneRetry;
    return true;
  }
  this->refillFloor(Now);
  if (this->Floor < 1)
    return false;
  this->Floor -= 1;
  return true;
}

void RetryBudget::refillFloor(TimePoint Now) {
  const double Elapsed =
      std::chrono::duration<double>(Now - this->FloorRefilledAt).count();
  const double MaxFloor =
      std::max(1.0, FloorSeconds * this->Settings.BudgetFloorPerSecond);
  this->Floor = std::min(
      MaxFloor, this->Floor + Elapsed * this->Settings.BudgetFloorPerSecond);
  this->FloorRefilledAt = Now;
}

} // namespace parsleywing
