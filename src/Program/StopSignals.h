#ifndef PARSLEYWING_PROGRAM_STOPSIGNALS_H
#define PARSLEYWING_PROGRAM_STOPSIGNALS_H

#include "Runtime/Clock.h"

#include <csignal>
#include <optional>

namespace parsleywing {

/// Waits for SIGTERM, SIGINT and SIGHUP. Made before any other thread: it
/// blocks the signals in this thread and in all that are started later, so that
/// none of them is interrupted in the middle of its work.
class StopSignals {
public:
  StopSignals();

  /// Waits up to `Limit` (below one second) for a signal and gives its number.
  std::optional<int> wait(Duration Limit);

  /// Signals to stop that came so far.
  int stopCount() const { return this->StopCount; }

private:
  sigset_t Set;
  int StopCount = 0;
};

} // namespace parsleywing

#endif
