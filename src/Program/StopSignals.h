#ifndef PARSLEYWING_PROGRAM_STOPSIGNALS_H
#define PARSLEYWING_PROGRAM_STOPSIGNALS_H

#include "Runtime/Clock.h"

#include <csignal>
#include <optional>

namespace parsleywing {

/// Waits for SIGTERM, SIGINT and SIGHUP. Must be created before any other
/// thread: it blocks the signals in this thread and in all threads started
/// later, so that none of them is interrupted by a signal.
class StopSignals {
public:
  StopSignals();

  /// Waits up to `Limit` (less than one second) for a signal and returns its
  /// number.
  std::optional<int> wait(Duration Limit);

  /// The number of stop signals received so far.
  int stopCount() const { return this->StopCount; }

private:
  sigset_t Set;
  int StopCount = 0;
};

} // namespace parsleywing

#endif
