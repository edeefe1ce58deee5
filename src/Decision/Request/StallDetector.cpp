#include "Decision/Request/StallDetector.h"

namespace parsleywing {

void StallDetector::start(TimePoint Now, RequestId Request, ServiceKind Kind) {
  const Duration Timeout = Kind == ServiceKind::Plain
                               ? this->Settings.PlainResponseTimeout
                               : this->Settings.FirstTokenTimeout;
  this->Entries[Request] = Entry{Now, Timeout};
  this->Timers.set(Request, Now + Timeout);
}

void StallDetector::progressed(TimePoint Now, RequestId Request) {
  auto Found = this->Entries.find(Request);
  if (Found == this->Entries.end())
    return;
  Entry &E = Found->second;
  E.LastProgress = Now;
  if (E.Timeout == this->Settings.TokenTimeout)
    return;
  E.Timeout = this->Settings.TokenTimeout;
  this->Timers.set(Request, Now + E.Timeout);
}

void StallDetector::stop(RequestId Request) {
  this->Entries.erase(Request);
  this->Timers.clear(Request);
}

std::optional<RequestId> StallDetector::takeStalled(TimePoint Now) {
  while (std::optional<RequestId> Due = this->Timers.takeDue(Now)) {
    const auto Found = this->Entries.find(*Due);
    const TimePoint StalledAt =
        Found->second.LastProgress + Found->second.Timeout;
    if (StalledAt > Now) {
      this->Timers.set(*Due, StalledAt);
      continue;
    }
    this->Entries.erase(Found);
    return Due;
  }
  return std::nullopt;
}

} // namespace parsleywing
