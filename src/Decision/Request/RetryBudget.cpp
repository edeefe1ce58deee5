#include "Decision/Request/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

/// The time over which the retries to a service are bounded.
constexpr Duration Window = std::chrono::seconds(10);

/// Seconds of the floor rate that can accumulate.
constexpr double FloorSeconds = 5;

/// One retry, in thousandths.
constexpr std::int64_t OneRetry = 1000;

/// Tolerance for sums of fractions that are not exact in binary.
constexpr double Epsilon = 1e-6;

std::int64_t inThousandths(double Retries) {
  return std::llround(Retries * static_cast<double>(OneRetry));
}

double floorOfWindow(const RetrySettings &Settings) {
  return Settings.BudgetFloorPerSecond *
         std::chrono::duration<double>(Window).count();
}

} // namespace

RetryBudget::RetryBudget(const RetrySettings &S)
    : Settings(S), FloorEarned(Window) {}

RetryLedger &RetryBudget::ledger(TimePoint Now, ServiceId Service) {
  const auto Found = this->Ledgers.find(Service);
  if (Found != this->Ledgers.end())
    return Found->second;
  // Services may be declared and removed any number of times.
  std::erase_if(this->Ledgers,
                [Now](const auto &Each) { return Each.second.isIdle(Now); });
  return this->Ledgers.try_emplace(Service, Window).first->second;
}

RetryBudget::AccountBalance &RetryBudget::balance(TimePoint Now,
                                                  AccountId Account) {
  AccountBalance &Found = this->Balances[Account];
  const std::int64_t Period = Now.time_since_epoch() / Window;
  if (Found.Period == Period)
    return Found;
  Found.EarnedBefore = Found.Period + 1 == Period ? Found.Earned : 0;
  Found.Earned = 0;
  Found.Taken = 0;
  Found.Period = Period;
  return Found;
}

void RetryBudget::countFirstAttempt(TimePoint Now, AccountId Account,
                                    ServiceId Service) {
  this->advance(Now);
  AccountBalance &Balance = this->balance(Now, Account);
  Balance.Saved =
      std::min(Balance.Saved + inThousandths(this->Settings.BudgetFraction),
               inThousandths(this->Settings.BudgetBurst));
  Balance.Earned += this->Settings.BudgetFraction;
  this->ledger(Now, Service).earn(Now, this->Settings.BudgetFraction);
}

bool RetryBudget::tryAcquire(TimePoint Now, AccountId Account,
                             ServiceId Service) {
  this->advance(Now);
  RetryLedger &Ledger = this->ledger(Now, Service);
  const double FloorFactor = floorOfWindow(this->Settings);
  if (!Ledger.mayReserve(Now, this->FloorEarned, FloorFactor))
    return false;
  if (!takeSaved(this->balance(Now, Account)) && !this->takeFloor())
    return false;
  return Ledger.tryReserve(Now, this->FloorEarned, FloorFactor);
}

bool RetryBudget::takeSaved(AccountBalance &Balance) {
  const double OwnPart = RetryLedger::CurrentPart * Balance.Earned +
                         RetryLedger::EarlierPart * Balance.EarnedBefore;
  if (Balance.Saved < OneRetry ||
      Balance.Taken + 1 > std::max(1.0, OwnPart) + Epsilon)
    return false;
  Balance.Saved -= OneRetry;
  ++Balance.Taken;
  return true;
}

bool RetryBudget::takeFloor() {
  if (this->Floor < 1)
    return false;
  this->Floor -= 1;
  return true;
}

bool RetryBudget::isWithinBound(TimePoint Now, ServiceId Service) {
  this->advance(Now);
  return this->ledger(Now, Service)
      .isWithinBound(Now, this->FloorEarned, floorOfWindow(this->Settings));
}

void RetryBudget::settle(TimePoint Now, ServiceId Service) {
  this->ledger(Now, Service).settle(Now);
}

void RetryBudget::cancel(ServiceId Service) {
  this->Ledgers.at(Service).cancel();
}

Poco::JSON::Object::Ptr RetryBudget::dump(TimePoint Now) const {
  Poco::JSON::Object::Ptr Budgets = new Poco::JSON::Object;
  for (const auto &[Service, Ledger] : this->Ledgers) {
    Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
    Entry->set("retries", Ledger.retriesInWindow(Now));
    Entry->set("reserved", Ledger.reservedCount());
    Entry->set("earned", Ledger.earnedInWindow(Now));
    Budgets->set(std::to_string(Service.Value), Entry);
  }
  return Budgets;
}

void RetryBudget::advance(TimePoint Now) {
  const TimePoint Before = this->FloorRefilledAt.value_or(Now);
  this->FloorRefilledAt = Now;
  const double Elapsed = std::chrono::duration<double>(Now - Before).count();
  const double MaxFloor =
      std::max(1.0, FloorSeconds * this->Settings.BudgetFloorPerSecond);
  this->Floor = std::min(
      MaxFloor, this->Floor + Elapsed * this->Settings.BudgetFloorPerSecond);
  this->FloorEarned.addOver(Before, Now,
                            static_cast<double>((Now - Before).count()) /
                                static_cast<double>(Window.count()));
}

} // namespace parsleywing
