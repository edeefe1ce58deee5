#include "Decision/Request/RetryBudget.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Seconds of the floor that can be saved up.
constexpr double FloorSeconds = 5;

} // namespace

void RetryBudget::countFirstAttempt(AccountId Account) {
  double &Left = this->Saved[Account];
  Left = std::min(Left + this->Settings.BudgetFraction,
                  this->Settings.BudgetBurst);
}

bool RetryBudget::take(TimePoint Now, AccountId Account) {
  auto Found = this->Saved.find(Account);
  if (Found != this->Saved.end() && Found->second >= 1) {
    Found->second -= 1;
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
