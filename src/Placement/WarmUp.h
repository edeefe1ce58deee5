#ifndef PARSLEYWING_PLACEMENT_WARMUP_H
#define PARSLEYWING_PLACEMENT_WARMUP_H

#include "Runtime/Clock.h"

namespace parsleywing {

/// The load that a server of a service can take while it warms up, from the
/// configuration. A rate of zero means no limit.
struct WarmUpLoad {
  /// The time from the server's start to the end of the warm-up.
  Duration Period{};
  double RequestsPerSecond = 0;
};

/// The upper bound on the requests of the whole fleet to one server that is
/// warming up, from the operators' settings: `RateFactor` times
/// `WarmUpLoad::RequestsPerSecond`, plus `Slack` requests, in any second. Above
/// this bound the server crashes.
struct WarmUpBounds {
  double RateFactor = 1.5;
  double Slack = 5;
};

/// A grant for a server that is warming up expires after this time. It covers
/// the transport of a datagram and an event loop that is a few iterations late.
/// A request that would be sent later, after a stall or a network outage, must
/// not be sent.
inline constexpr Duration WarmUpGrantLifetime = std::chrono::milliseconds(100);

/// The maximum time from such a grant to the first byte of the request: the
/// grant's lifetime and the router's timeout for a new connection to the
/// server, which must not be longer than 400 ms.
inline constexpr Duration MaxWarmUpSendDelay =
    WarmUpGrantLifetime + std::chrono::milliseconds(400);

/// A token bucket for the requests that one allocator grants to a server that
/// is warming up. Without it, servers that restart together get the load that
/// they had before, crash, restart, and crash again.
///
/// A request is sent up to `MaxWarmUpSendDelay` after its grant, so the
/// requests of one second stem from the grants of that second and of this delay
/// before it. Rate and burst keep these requests below the fleet's bound, with
/// a reserve for requests from routers that do not know of the warm-up.
///
/// Requests to warm servers are counted as well, since a server that turns out
/// to be cold has received requests within the last second.
class WarmUpLimiter {
public:
  WarmUpLimiter() = default;
  WarmUpLimiter(const WarmUpLoad &Load, const WarmUpBounds &Bounds);

  /// Whether servers of the service have a warm-up limit at all.
  bool isLimited() const { return this->Limited; }
  double ratePerSecond() const { return this->Rate; }

  bool hasToken(TimePoint Now) const;
  void recordSent(TimePoint Now);

  /// Copies rate and burst from another limiter. Keeps its own tokens, unless
  /// it was unlimited so far.
  void copyRateFrom(const WarmUpLimiter &Other);

private:
  double tokensAt(TimePoint Now) const;

  bool Limited = false;
  double Rate = 0;
  double Burst = 0;
  double Tokens = 0;
  TimePoint RefilledAt{};
};

} // namespace parsleywing

#endif
