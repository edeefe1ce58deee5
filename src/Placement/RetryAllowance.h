#ifndef PARSLEYWING_PLACEMENT_RETRYALLOWANCE_H
#define PARSLEYWING_PLACEMENT_RETRYALLOWANCE_H

#include "Placement/FleetShare.h"
#include "Retry/RetryLedger.h"
#include "Runtime/Clock.h"

#include <cstdint>

namespace parsleywing {

/// The limit on retries to one service, for all routers together.
struct RetryBounds {
  /// The permitted retries per request within the window.
  double Ratio = 0.2;
  Duration Window = std::chrono::seconds(10);
  /// Additional retries per window, for the whole fleet.
  double Slack = 50;
};

/// What a decision on a retry rests on.
struct RetryUsage {
  /// Retries in the window that ends now, and those that are reserved but may
  /// not have reached a server.
  double Retries = 0;
  std::uint32_t Reserved = 0;
  /// What the requests of this window have earned.
  double EarnedByRequests = 0;
  /// The number of routers that share the slack; zero if this one has none.
  std::uint32_t SlackDivisor = 0;
};

/// Limits the retries that this router sends to one service. Without a limit, a
/// failing service gets twice its load just when it can handle it least. Each
/// router uses the ratio of its own requests and its share of the slack.
/// `RetryLedger` and `FleetShare` tell why the sum of all routers and all their
/// processes is bounded. All times are on the clock of the `FleetShare`.
class RetryAllowance {
public:
  explicit RetryAllowance(RetryBounds B) : Bounds(B), Ledger(B.Window) {}

  void recordRequest(TimePoint Now);

  /// Whether a retry is permitted now.
  bool hasRetry(TimePoint Now, FleetShare &Share) const;

  /// Reserves a retry if one is permitted, and returns whether it was.
  bool tryReserve(TimePoint Now, FleetShare &Share);

  /// Whether a reserved retry may be sent now, which may be long after.
  bool isWithinBound(TimePoint Now, FleetShare &Share) const;

  /// A reserved retry reached its server now or earlier.
  void settle(TimePoint Now) { this->Ledger.settle(Now); }
  /// A reserved retry was never sent.
  void cancel() { this->Ledger.cancel(); }

  RetryUsage usage(TimePoint Now, const FleetShare &Share) const;

private:
  RetryBounds Bounds;
  RetryLedger Ledger;
};

} // namespace parsleywing

#endif
