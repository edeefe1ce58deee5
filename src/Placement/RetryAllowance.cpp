#include "Placement/RetryAllowance.h"

namespace parsleywing {

namespace {

/// The fraction of the bounds that is used. The rest is a reserve, since the
/// bounds also hold in windows that begin at other times than this router's.
constexpr double UsedFraction = 0.75;

} // namespace

void RetryAllowance::recordRequest(TimePoint Now) {
  this->Requests.push_back(Now);
  this->dropExpired(Now);
}

RetryUsage RetryAllowance::usage(TimePoint Now, std::uint32_t RouterCount) {
  this->dropExpired(Now);
  const double SlackShare =
      this->Bounds.Slack / static_cast<double>(RouterCount);
  const double Allowed =
      UsedFraction *
      (this->Bounds.Ratio * static_cast<double>(this->Requests.size()) +
       SlackShare);
  return {this->Requests.size(), this->Retries.size(), Allowed};
}

bool RetryAllowance::hasRetry(TimePoint Now, std::uint32_t RouterCount) {
  const RetryUsage Usage = this->usage(Now, RouterCount);
  return static_cast<double>(Usage.Retries) + 1 <= Usage.Allowed;
}

bool RetryAllowance::tryAcquire(TimePoint Now, std::uint32_t RouterCount) {
  const bool Permitted = this->hasRetry(Now, RouterCount);
  if (Permitted)
    this->Retries.push_back(Now);
  return Permitted;
}

void RetryAllowance::dropExpired(TimePoint Now) {
  const TimePoint Start = Now - this->Bounds.Window;
  while (!this->Requests.empty() && this->Requests.front() < Start)
    this->Requests.pop_front();
  while (!this->Retries.empty() && this->Retries.front() < Start)
    this->Retries.pop_front();
}

} // namespace parsleywing
