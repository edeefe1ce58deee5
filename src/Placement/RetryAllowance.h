#ifndef PARSLEYWING_PLACEMENT_RETRYALLOWANCE_H
#define PARSLEYWING_PLACEMENT_RETRYALLOWANCE_H

#include "Runtime/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace parsleywing {

/// The limit on retries to one service, for all routers together.
struct RetryBounds {
  /// The permitted retries per request within the window.
  double Ratio = 0.2;
  Duration Window = std::chrono::seconds(10);
  /// Additional retries per window, for the whole fleet.
  double Slack = 50;
};

/// What the limit on retries rests on at one moment.
struct RetryUsage {
  /// Requests and retries within the window.
  std::size_t Requests = 0;
  std::size_t Retries = 0;
  /// The limit on `Retries`.
  double Allowed = 0;
};

/// Limits the retries that this router sends to one service. Without a limit, a
/// failing service gets twice its load just when it can handle it least. Each
/// router uses the ratio of its own requests and an equal share of the slack,
/// so that routers need not communicate.
class RetryAllowance {
public:
  explicit RetryAllowance(RetryBounds B) : Bounds(B) {}

  void recordRequest(TimePoint Now);

  /// Whether a retry is permitted now; the slack is shared by `RouterCount`
  /// routers.
  bool hasRetry(TimePoint Now, std::uint32_t RouterCount);

  /// Consumes a retry if one is permitted, and returns whether it was.
  bool tryAcquire(TimePoint Now, std::uint32_t RouterCount);

  RetryUsage usage(TimePoint Now, std::uint32_t RouterCount);

private:
  void dropExpired(TimePoint Now);

  RetryBounds Bounds;
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
};

} // namespace parsleywing

#endif
