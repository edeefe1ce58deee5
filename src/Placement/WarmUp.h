#ifndef PARSLEYWING_PLACEMENT_WARMUP_H
#define PARSLEYWING_PLACEMENT_WARMUP_H

#include "Runtime/Clock.h"

namespace parsleywing {

/// What the servers of a service bear while they warm up, from the
/// configuration. A rate of zero: they bear what they bear later.
struct WarmUpLoad {
  /// From a start to the end of the warm-up.
  Duration Period{};
  /// Requests a second.
  double PerSecond = 0;
};

/// How far the fleet as a whole may go beyond that rate at one server, from the
/// operators' settings: in no second more than `Over` times the rate, and
/// `Slack` requests. Above, the server crashes.
struct WarmUpBounds {
  double RateFactor = 1.5;
  double Slack = 5;
};

/// A grant to a server that warms up is void at its router after this. It
/// covers a datagram's way and a loop that is a few turns late; what comes
/// later, after a freeze or a cut, must not be sent.
inline constexpr Duration WarmUpGrantLifetime = std::chrono::milliseconds(100);

/// The longest from such a grant to the request's first byte: its life, and a
/// new connection to the server.
inline constexpr Duration MaxWarmUpSendDelay =
    WarmUpGrantLifetime + std::chrono::milliseconds(400);

/// The requests that one allocator lets a server have while it warms up: a
/// token bucket. What fails without it: servers that come back together get
/// the load that they had before, crash, come back, and crash again.
///
/// A grant leads to a send up to `WarmUpSlip` later, so the sends of one second
/// come from the grants of a second and that much more; rate and burst are such
/// that these stay below the bound, with a part left for requests that were
/// sent by routers that did not know of the warm-up.
///
/// Sends are counted at all times, also to warm servers: one that says that it
/// has turned cold has had requests in the second before.
class WarmUpLimiter {
public:
  WarmUpLimiter() = default;
  WarmUpLimiter(const WarmUpLoad &Load, const WarmUpBounds &Bounds);

  /// Whether the service's servers are limited at all.
  bool isLimited() const { return this->Limited; }
  double ratePerSecond() const { return this->Rate; }

  bool hasToken(TimePoint Now) const;
  void recordSent(TimePoint Now);

  /// Takes rate and burst over from another limit, and keeps the count.
  void copyRateFrom(const WarmUpLimiter &Load);

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
