#include "Placement/RetryAllowance.h"

namespace parsleywing {

namespace {

/// The part of the bound that is used. The rest covers the difference between
/// this router's windows and any other place from which one may be counted.
constexpr double UsedPart = 0.75;

} // namespace

void RetryAllowance::recordRequest(TimePoint Now) {
  this->Requests.push_back(Now);
  this->dropExpired(Now);
}

bool RetryAllowance::hasRetry(TimePoint Now, std::uint32_t Routers) {
  this->dropExpired(Now);
  const double OwnSlack = this->Bounds.Slack / static_cast<double>(Routers);
  const double Allowed =
      UsedPart *
      (this->Bounds.Ratio * static_cast<double>(this->Requests.size()) +
       OwnSlack);
  return static_cast<double>(this->Retries.size()) + 1 <= Allowed;
}

bool RetryAllowance::tryAcquire(TimePoint Now, std::uint32_t Routers) {
  const bool Left = this->hasRetry(Now, Routers);
  if (Left)
    this->Retries.push_back(Now);
  return Left;
}

void RetryAllowance::dropExpired(TimePoint Now) {
  const TimePoint Start = Now - this->Bounds.Window;
  while (!this->Requests.empty() && this->Requests.front() < Start)
    this->Requests.pop_front();
  while (!this->Retries.empty() && this->Retries.front() < Start)
    this->Retries.pop_front();
}

} // namespace parsleywing
