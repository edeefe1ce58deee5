#include "Decision/Request/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

/// Seconds of the floor that can be saved up.
constexpr double FloorSeconds = 5;

constexpr std::int64_t WholeRetry = 1000;

std::int64_t inThousandths(double Retries) {
  return std::llround(Retries * static_cast<double>(WholeRetry));
}

} // namespace

void RetryBudget::countFirstAttempt(AccountId Account) {
  std::int64_t &Left = this->Saved[Account];
  Left = std::min(Left + inThousandths(this->Settings.BudgetFraction),
                  inThousandths(this->Settings.BudgetBurst));
}

bool RetryBudget::tryAcquire(TimePoint Now, AccountId Account) {
  auto Found = this->Saved.find(Account);
  if (Found != this->Saved.end() && Found->second >= WholeRetry) {
    Found->second -= WholeRetry;
    return true;
  }
  this->refillFloor(Now);
  if (this->Floor < 1)
    return false;
  this->Floor -= 1;
  return true;
}

void RetryBudget::refillFloor(TimePoint Now) {
  const double Passed =
      std::chrono::duration<double>(Now - this->FloorFilled).count();
  const double Most =
      std::max(1.0, FloorSeconds * this->Settings.BudgetFloorPerSecond);
  this->Floor = std::min(
      Most, this->Floor + Passed * this->Settings.BudgetFloorPerSecond);
  this->FloorFilled = Now;
}

} // namespace parsleywing
