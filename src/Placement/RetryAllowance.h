#ifndef PARSLEYWING_PLACEMENT_RETRYALLOWANCE_H
#define PARSLEYWING_PLACEMENT_RETRYALLOWANCE_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <deque>

namespace parsleywing {

/// The bound on repeated sends to one service, all routers together.
struct RetryBounds {
  /// Repeats for each request of the window.
  double Ratio = 0.2;
  Duration Window = std::chrono::seconds(10);
  /// Repeats beyond the ratio in each window, for the whole fleet.
  double Slack = 50;
};

/// Decides whether a request may be sent once more. Without it, a service that
/// fails gets all its requests twice just when it can bear them least. Each
/// router spends the ratio of its own requests and its even part of the slack,
/// so that no word between routers is needed.
class RetryAllowance {
public:
  explicit RetryAllowance(RetryBounds B) : Bounds(B) {}

  void recordRequest(TimePoint Now);

  /// Whether a repeat is left; `Routers` share the slack.
  bool hasRetry(TimePoint Now, std::uint32_t Routers);

  /// Takes one repeat where there is one left.
  bool tryAcquire(TimePoint Now, std::uint32_t Routers);

private:
  void dropExpired(TimePoint Now);

  RetryBounds Bounds;
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
};

} // namespace parsleywing

#endif
