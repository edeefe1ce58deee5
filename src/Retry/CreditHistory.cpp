#include "Retry/CreditHistory.h"

#include <algorithm>

namespace parsleywing {

void CreditHistory::add(TimePoint Time, double Amount) {
  const std::int64_t Interval = this->intervalOf(Time);
  Entry &Found =
      this->Entries.at(static_cast<std::size_t>(Interval) % Capacity);
  if (Found.Interval < Interval)
    Found = {Interval, 0};
  if (Found.Interval == Interval)
    Found.Amount += Amount;
}

void CreditHistory::addOver(TimePoint From, TimePoint To, double Amount) {
  if (To <= From)
    return;
  const auto Total = static_cast<double>((To - From).count());
  // Older amounts would be forgotten at once.
  TimePoint Start =
      std::max(From, To - this->Length * static_cast<std::int64_t>(Capacity));
  while (Start < To) {
    const TimePoint IntervalEnd{this->Length * (this->intervalOf(Start) + 1)};
    const TimePoint End = std::min(To, IntervalEnd);
    this->add(Start,
              Amount * static_cast<double>((End - Start).count()) / Total);
    Start = End;
  }
}

double CreditHistory::at(std::int64_t Interval) const {
  if (Interval < 0)
    return 0;
  const Entry &Found =
      this->Entries.at(static_cast<std::size_t>(Interval) % Capacity);
  return Found.Interval == Interval ? Found.Amount : 0;
}

} // namespace parsleywing
