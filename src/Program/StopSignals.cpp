#include "Program/StopSignals.h"

#include <ctime>

namespace parsleywing {

StopSignals::StopSignals() {
  sigemptyset(&this->Set);
  sigaddset(&this->Set, SIGTERM);
  sigaddset(&this->Set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &this->Set, nullptr);
}

bool StopSignals::wait(Duration Limit) {
  timespec Wait{};
  Wait.tv_nsec = std::chrono::nanoseconds(Limit).count();
  if (sigtimedwait(&this->Set, nullptr, &Wait) < 0)
    return false;
  ++this->Received;
  return true;
}

} // namespace parsleywing
