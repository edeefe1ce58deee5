#ifndef PARSLEYWING_DECISION_REQUEST_TIMERQUEUE_H
#define PARSLEYWING_DECISION_REQUEST_TIMERQUEUE_H

#include "Runtime/Clock.h"
#include "Runtime/Id.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace parsleywing {

/// At most one timer per request, ordered by due time. Setting and clearing a
/// timer takes logarithmic time in the number of requests; a check while none
/// is due takes one comparison.
class TimerQueue {
public:
  /// Sets the request's timer and replaces an earlier one.
  void set(RequestId Request, TimePoint DueAt) {
    this->clear(Request);
    this->DueTimes.emplace(Request, DueAt);
    this->Order.emplace(DueAt, Request);
  }

  void clear(RequestId Request) {
    auto Found = this->DueTimes.find(Request);
    if (Found == this->DueTimes.end())
      return;
    this->Order.erase({Found->second, Request});
    this->DueTimes.erase(Found);
  }

  /// Removes and returns one request whose timer is due.
  std::optional<RequestId> takeDue(TimePoint Now) {
    if (this->Order.empty() || this->Order.begin()->first > Now)
      return std::nullopt;
    const RequestId Request = this->Order.begin()->second;
    this->clear(Request);
    return Request;
  }

  std::size_t size() const { return this->Order.size(); }

private:
  std::unordered_map<RequestId, TimePoint> DueTimes;
  std::set<std::pair<TimePoint, RequestId>> Order;
};

} // namespace parsleywing

#endif
