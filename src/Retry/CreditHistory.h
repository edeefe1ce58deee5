#ifndef PARSLEYWING_RETRY_CREDITHISTORY_H
#define PARSLEYWING_RETRY_CREDITHISTORY_H

#include "Runtime/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace parsleywing {

/// Amounts added over time, summed in intervals of equal length, which number
/// `PerWindow` in a window. Keeps two windows and forgets older amounts. Times
/// must not decrease by more than a window.
class CreditHistory {
public:
  static constexpr std::int64_t PerWindow = 100;

  explicit CreditHistory(Duration Window) : Length(Window / PerWindow) {}

  /// The number of the interval that contains this time.
  std::int64_t intervalOf(TimePoint Time) const {
    return Time.time_since_epoch() / this->Length;
  }

  void add(TimePoint Time, double Amount);

  /// Adds an amount spread evenly over the time from `From` to `To`.
  void addOver(TimePoint From, TimePoint To, double Amount);

  /// What was added in the interval; zero if it is too old.
  double at(std::int64_t Interval) const;

private:
  static constexpr std::size_t Capacity = 2 * PerWindow + 2;

  struct Entry {
    std::int64_t Interval = -1;
    double Amount = 0;
  };

  Duration Length;
  std::array<Entry, Capacity> Entries{};
};

} // namespace parsleywing

#endif
