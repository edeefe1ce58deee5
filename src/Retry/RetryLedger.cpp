#include "Retry/RetryLedger.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

namespace {

constexpr std::int64_t PerWindow = CreditHistory::PerWindow;

/// Tolerance for sums of credits that are not exact in binary.
constexpr double Epsilon = 1e-6;

double sumOfWindow(const CreditHistory &History, TimePoint Now) {
  const std::int64_t Last = History.intervalOf(Now);
  double Sum = 0;
  for (std::int64_t I = Last - PerWindow; I <= Last; ++I)
    Sum += History.at(I);
  return Sum;
}

} // namespace

/// Checks all windows that contain `Now`, by the interval in which they begin.
/// The credit of that interval itself is before the window's begin or in the
/// window; the smaller part counts.
bool RetryLedger::holdsWith(double Additional, TimePoint Now,
                            const CreditHistory &Shared,
                            double SharedFactor) const {
  const auto CreditAt = [&](std::int64_t Interval) {
    return this->Earned.at(Interval) + SharedFactor * Shared.at(Interval);
  };
  const std::int64_t Last = this->Retries.intervalOf(Now);
  // The credit of the window that ends where the last interval begins, without
  // the interval that it contains in part only.
  double Earlier = 0;
  for (std::int64_t I = Last - PerWindow + 1; I < Last; ++I)
    Earlier += CreditAt(I);
  double Current = 0;
  double Count = static_cast<double>(this->Reserved) + Additional;
  for (std::int64_t Begin = Last; Begin >= Last - PerWindow; --Begin) {
    Count += this->Retries.at(Begin);
    const double BeginCredit = CreditAt(Begin);
    const double Permitted = CurrentPart * Current + EarlierPart * Earlier +
                             std::min(CurrentPart, EarlierPart) * BeginCredit;
    if (Count > Permitted + Epsilon)
      return false;
    Current += BeginCredit;
    Earlier += CreditAt(Begin - PerWindow) - CreditAt(Begin - 1);
  }
  return true;
}

bool RetryLedger::mayReserve(TimePoint Now, const CreditHistory &Shared,
                             double SharedFactor) const {
  return this->holdsWith(1, Now, Shared, SharedFactor);
}

bool RetryLedger::tryReserve(TimePoint Now, const CreditHistory &Shared,
                             double SharedFactor) {
  const bool Permitted = this->mayReserve(Now, Shared, SharedFactor);
  this->Reserved += Permitted ? 1 : 0;
  return Permitted;
}

bool RetryLedger::isWithinBound(TimePoint Now, const CreditHistory &Shared,
                                double SharedFactor) const {
  return this->holdsWith(0, Now, Shared, SharedFactor);
}

void RetryLedger::settle(TimePoint Now) {
  this->cancel();
  this->Retries.add(Now, 1);
}

void RetryLedger::cancel() {
  PARSLEYWING_INVARIANT(this->Reserved > 0,
                        "only a reserved retry is settled or canceled");
  --this->Reserved;
}

double RetryLedger::retriesInWindow(TimePoint Now) const {
  return sumOfWindow(this->Retries, Now);
}

double RetryLedger::earnedInWindow(TimePoint Now) const {
  return sumOfWindow(this->Earned, Now);
}

bool RetryLedger::isIdle(TimePoint Now) const {
  const std::int64_t Last = this->Retries.intervalOf(Now);
  for (std::int64_t I = Last - 2 * PerWindow; I <= Last; ++I)
    if (this->Retries.at(I) > 0 || this->Earned.at(I) > 0)
      return false;
  return this->Reserved == 0;
}

} // namespace parsleywing
