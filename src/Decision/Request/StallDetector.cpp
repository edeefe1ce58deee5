#include "Decision/Request/StallDetector.h"

namespace parsleywing {

void StallDetector::start(TimePoint Now, RequestId Request, ServiceKind Kind) {
  const Duration Limit = Kind == ServiceKind::Plain
                             ? this->Settings.PlainResponseTimeout
                             : this->Settings.FirstTokenTimeout;
  this->Watched[Request] = Watch{Now, Limit};
  this->Timers.set(Request, Now + Limit);
}

void StallDetector::progressed(TimePoint Now, RequestId Request) {
  auto Found = this->Watched.find(Request);
  if (Found == this->Watched.end())
    return;
  Watch &W = Found->second;
  W.Last = Now;
  if (W.Limit == this->Settings.TokenTimeout)
    return;
  W.Limit = this->Settings.TokenTimeout;
  this->Timers.set(Request, Now + W.Limit);
}

void StallDetector::stop(RequestId Request) {
  this->Watched.erase(Request);
  this->Timers.clear(Request);
}

std::optional<RequestId> StallDetector::takeStalled(TimePoint Now) {
  while (std::optional<RequestId> Due = this->Timers.takeDue(Now)) {
    const auto Found = this->Watched.find(*Due);
    const TimePoint Limit = Found->second.Last + Found->second.Limit;
    if (Limit > Now) {
      this->Timers.set(*Due, Limit);
      continue;
    }
    this->Watched.erase(Found);
    return Due;
  }
  return std::nullopt;
}

} // namespace parsleywing
