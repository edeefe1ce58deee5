#include "Placement/RetryAllowance.h"

namespace parsleywing {

namespace {

/// The part of the bound that is used. The rest covers the difference between
/// this router's windows and any other place from which one may be counted.
constexpr double UsedPart = 0.75;

} // namespace

void RetryAllowance::noteRequest(TimePoint Now) {
  this->Requests.push_back(Now);
  this->forget(Now);
}

bool RetryAllowance::has(TimePoint Now, std::uint32_t Routers) {
  this->forget(Now);
  const double OwnSlack = this->Bounds.Slack / static_cast<double>(Routers);
  const double Allowed =
      UsedPart *
      (this->Bounds.Ratio * static_cast<double>(this->Requests.size()) +
       OwnSlack);
  return static_cast<double>(this->Repeats.size()) + 1 <= Allowed;
}

bool RetryAllowance::take(TimePoint Now, std::uint32_t Routers) {
  const bool Left = this->has(Now, Routers);
  if (Left)
    this->Repeats.push_back(Now);
  return Left;
}

void RetryAllowance::forget(TimePoint Now) {
  const TimePoint Start = Now - this->Bounds.Window;
  while (!this->Requests.empty() && this->Requests.front() < Start)
    this->Requests.pop_front();
  while (!this->Repeats.empty() && this->Repeats.front() < Start)
    this->Repeats.pop_front();
}

} // namespace parsleywing
