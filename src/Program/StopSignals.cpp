#include "Program/StopSignals.h"

#include <ctime>

namespace parsleywing {

StopSignals::StopSignals() {
  sigemptyset(&this->Set);
  sigaddset(&this->Set, SIGTERM);
  sigaddset(&this->Set, SIGINT);
  sigaddset(&this->Set, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &this->Set, nullptr);
}

std::optional<int> StopSignals::wait(Duration Limit) {
  timespec Wait{};
  Wait.tv_nsec = std::chrono::nanoseconds(Limit).count();
  const int Signal = sigtimedwait(&this->Set, nullptr, &Wait);
  if (Signal < 0)
    return std::nullopt;
  if (Signal != SIGHUP)
    ++this->StopCount;
  return Signal;
}

} // namespace parsleywing
