#ifndef PARSLEYWING_DECISION_REQUEST_TIMERQUEUE_H
#define PARSLEYWING_DECISION_REQUEST_TIMERQUEUE_H

#include "Runtime/Clock.h"
#include "Runtime/Id.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace parsleywing {

/// At most one moment for each request, the earliest first. Setting and
/// clearing cost a logarithm of the number of requests; a look when nothing is
/// due costs one comparison.
class TimerQueue {
public:
  /// Sets the moment, in place of an earlier one.
  void set(RequestId Request, TimePoint At) {
    this->clear(Request);
    this->Moments.emplace(Request, At);
    this->Order.emplace(At, Request);
  }

  void clear(RequestId Request) {
    auto Found = this->Moments.find(Request);
    if (Found == this->Moments.end())
      return;
    this->Order.erase({Found->second, Request});
    this->Moments.erase(Found);
  }

  /// Takes out one request whose moment has come.
  std::optional<RequestId> takeDue(TimePoint Now) {
    if (this->Order.empty() || this->Order.begin()->first > Now)
      return std::nullopt;
    const RequestId Request = this->Order.begin()->second;
    this->clear(Request);
    return Request;
  }

  std::size_t size() const { return this->Order.size(); }

private:
  std::unordered_map<RequestId, TimePoint> Moments;
  std::set<std::pair<TimePoint, RequestId>> Order;
};

} // namespace parsleywing

#endif
