#ifndef PARSLEYWING_BACKEND_BACKENDSETTINGS_H
#define PARSLEYWING_BACKEND_BACKENDSETTINGS_H

#include "Runtime/Clock.h"

#include <cstdint>

namespace parsleywing {

/// Limits of calls to backend servers.
struct BackendSettings {
  Duration ConnectTimeout = std::chrono::seconds(1);
  /// From the request to the first piece of output: covers the wait in the
  /// engine's own queue.
  Duration FirstEventTimeout = std::chrono::seconds(10);
  /// Between two events of a stream that has begun its output.
  Duration EventGapTimeout = std::chrono::seconds(10);
  /// For the probe that tells a silent server from a silent connection.
  Duration ProbeTimeout = std::chrono::milliseconds(500);
  /// For the order that frees the slot of an abandoned response.
  Duration CancelTimeout = std::chrono::seconds(1);
  /// Largest single event, in bytes.
  std::size_t MaxEventBytes = 1 << 20;
  /// Largest answer that is read whole, in bytes.
  std::size_t MaxResponseBytes = 4 << 20;
  /// Idle connections kept for one server.
  std::size_t MaxIdleConnections = 8;
  /// An idle connection older than this is closed: what lies between the two
  /// ends may have lost track of it.
  Duration MaxIdleTime = std::chrono::seconds(5);
  /// What the limits above are measured by, but for `ConnectLimit`, which the
  /// system measures.
  Clock Time = Clock::steady();
};

} // namespace parsleywing

#endif
