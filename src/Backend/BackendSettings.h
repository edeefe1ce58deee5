#ifndef PARSLEYWING_BACKEND_BACKENDSETTINGS_H
#define PARSLEYWING_BACKEND_BACKENDSETTINGS_H

#include "Runtime/Clock.h"

#include <cstdint>

namespace parsleywing {

/// Timeouts and limits of calls to backend servers.
struct BackendSettings {
  Duration ConnectTimeout = std::chrono::seconds(1);
  /// From sending the request to the first output, including the wait in the
  /// engine's queue.
  Duration FirstEventTimeout = std::chrono::seconds(10);
  /// Between two events of a stream whose output has started.
  Duration EventGapTimeout = std::chrono::seconds(10);
  /// For the probe that distinguishes an unresponsive server from a dead
  /// connection.
  Duration ProbeTimeout = std::chrono::milliseconds(500);
  /// For the call that cancels an abandoned response to free its slot.
  Duration CancelTimeout = std::chrono::seconds(1);
  /// Maximum size of a single event in bytes.
  std::size_t MaxEventBytes = 1 << 20;
  /// Maximum size in bytes of a response body that is read into memory.
  std::size_t MaxResponseBytes = 4 << 20;
  /// Maximum number of pooled idle connections per server.
  std::size_t MaxIdleConnections = 8;
  /// Connections idle for longer are closed: a middlebox may have dropped its
  /// state for them.
  Duration MaxIdleTime = std::chrono::seconds(5);
  /// Clock for the timeouts above, except `ConnectTimeout`, which the kernel
  /// measures.
  Clock Time = Clock::steady();
};

} // namespace parsleywing

#endif
