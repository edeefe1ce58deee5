#ifndef PARSLEYWING_TEST_RETRYRECORD_H
#define PARSLEYWING_TEST_RETRYRECORD_H

#include "Runtime/Clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace parsleywing::test {

/// The fleet's bound on the retries to one service in every window.
struct RetryRule {
  double Ratio = 0.2;
  Duration Window = std::chrono::seconds(10);
  double Slack = 50;
};

/// The requests for one service and the retries that reach it, and whether they
/// keep the rule in every sliding window. Times may be recorded in any order.
class RetryRecord {
public:
  explicit RetryRecord(RetryRule R) : Rule(R) {}

  void recordRequest(TimePoint Now) { this->Requests.push_back(Now); }
  void recordRetry(TimePoint Now) { this->Retries.push_back(Now); }

  /// The first window with more retries than allowed, as text. Allowed are the
  /// slack and the ratio of the requests in the window, in the window before
  /// it, or in the window half a window before it, whichever are most.
  std::optional<std::string> violation() const {
    const RetryRecord Sorted = this->sorted();
    for (const TimePoint Start : Sorted.Retries) {
      const std::size_t Count = Sorted.retriesFrom(Start);
      const std::size_t ForRequests = Sorted.requestsFrom(Start);
      const double Allowed =
          this->Rule.Ratio * static_cast<double>(ForRequests) +
          this->Rule.Slack;
      if (static_cast<double>(Count) > Allowed)
        return std::to_string(Count) + " retries for " +
               std::to_string(ForRequests) + " requests, allowed " +
               std::to_string(Allowed);
    }
    return std::nullopt;
  }

  /// The largest number of retries in any window.
  std::size_t most() const {
    const RetryRecord Sorted = this->sorted();
    std::size_t Most = 0;
    for (const TimePoint Start : Sorted.Retries)
      Most = std::max(Most, Sorted.retriesFrom(Start));
    return Most;
  }

private:
  RetryRecord sorted() const {
    RetryRecord Copy = *this;
    std::sort(Copy.Requests.begin(), Copy.Requests.end());
    std::sort(Copy.Retries.begin(), Copy.Retries.end());
    return Copy;
  }

  static std::size_t countIn(const std::vector<TimePoint> &Times,
                             TimePoint Start, TimePoint End) {
    return static_cast<std::size_t>(
        std::upper_bound(Times.begin(), Times.end(), End) -
        std::lower_bound(Times.begin(), Times.end(), Start));
  }

  std::size_t retriesFrom(TimePoint Start) const {
    return countIn(this->Retries, Start, Start + this->Rule.Window);
  }

  std::size_t requestsFrom(TimePoint Start) const {
    const Duration Window = this->Rule.Window;
    std::size_t Most = 0;
    for (const TimePoint From : {Start, Start - Window, Start - Window / 2})
      Most = std::max(Most, countIn(this->Requests, From, From + Window));
    return Most;
  }

  RetryRule Rule;
  std::vector<TimePoint> Requests;
  std::vector<TimePoint> Retries;
};

} // namespace parsleywing::test

#endif
