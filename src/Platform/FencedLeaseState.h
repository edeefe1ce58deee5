#ifndef PARSLEYWING_PLATFORM_FENCEDLEASESTATE_H
#define PARSLEYWING_PLATFORM_FENCEDLEASESTATE_H

#include "Platform/StoreTypes.h"
#include "Runtime/Clock.h"

#include <optional>
#include <variant>
#include <vector>

namespace parsleywing {

/// Identifies a holder of one named lease; each later holder's number is
/// higher. It is the create revision of the lease's key in the store.
using FencingNumber = Revision;

/// Permission to send orders with this number until this time, by the holder's
/// own clock.
struct LeasePermit {
  FencingNumber Number = 0;
  TimePoint ValidUntil;
};

struct FencedLeaseTiming {
  /// The lease expires in the store after this long without a renewal.
  std::chrono::seconds Ttl = std::chrono::seconds(20);
  /// A holder stops this long before the lease can expire, by its own clock.
  Duration SafetyMargin = std::chrono::seconds(8);
  /// A new holder sends no orders for this long. It must exceed any pause
  /// between a holder's last check of its clock and the arrival of its order.
  Duration TakeoverDelay = std::chrono::seconds(10);
  Duration RenewInterval = std::chrono::seconds(4);
  Duration RetryInterval = std::chrono::seconds(2);
};

/// This process needs the lease, or no longer does.
struct LeaseWanted {};
struct LeaseUnwanted {};

/// The store granted the lease. `SentAt` is taken before the call was sent: the
/// TTL in the store started no earlier.
struct LeaseAcquired {
  FencingNumber Number;
  TimePoint SentAt;
};

/// Another process holds the lease, or the store did not answer.
struct LeaseAcquisitionFailed {};

struct LeaseRenewed {
  TimePoint SentAt;
};

/// A renewal got no response; it is retried while the lease is valid.
struct LeaseRenewalFailed {};

/// The store reported that the lease has expired.
struct LeaseExpired {};

struct LeaseTick {};

using LeaseEvent = std::variant<LeaseWanted, LeaseUnwanted, LeaseAcquired,
                                LeaseAcquisitionFailed, LeaseRenewed,
                                LeaseRenewalFailed, LeaseExpired, LeaseTick>;

struct AcquireLease {};
struct RenewLease {};
/// Revoke the lease, including one whose acquisition is incomplete.
struct ReleaseLease {};

using LeaseAction = std::variant<AcquireLease, RenewLease, ReleaseLease>;

/// State machine that decides when a named lease with a fencing number is
/// acquired, renewed and released, and when an order may be sent under it. Does
/// no I/O.
///
/// A holder that was paused still believes that it holds the lease. It
/// therefore calls `fencingNumber` with the current time right before each
/// order. The number is valid until a safety margin before the lease can expire
/// in the store, counted from before the last renewal was sent. A pause after
/// that check is covered by the takeover delay of the next holder, and by
/// servers that check the number and refuse an old one.
class FencedLeaseState {
public:
  explicit FencedLeaseState(FencedLeaseTiming T);

  std::vector<LeaseAction> handle(TimePoint Now, const LeaseEvent &Event);

  /// Returns the number for an order sent now, or nothing if none may be sent.
  std::optional<FencingNumber> fencingNumber(TimePoint Now) const;

  /// Same as `fencingNumber`, with the time until which orders may be sent.
  /// Orders time out by then, so that none is still in transit once the lease
  /// can have expired.
  std::optional<LeasePermit> permit(TimePoint Now) const;

  bool isHeld() const { return this->Number.has_value(); }

private:
  using Actions = std::vector<LeaseAction>;

  void on(TimePoint Now, const LeaseWanted &, Actions &Out);
  void on(TimePoint Now, const LeaseUnwanted &, Actions &Out);
  void on(TimePoint Now, const LeaseAcquired &Event, Actions &Out);
  void on(TimePoint Now, const LeaseAcquisitionFailed &, Actions &Out);
  void on(TimePoint Now, const LeaseRenewed &Event, Actions &Out);
  void on(TimePoint Now, const LeaseRenewalFailed &, Actions &Out);
  void on(TimePoint Now, const LeaseExpired &, Actions &Out);
  void on(TimePoint Now, const LeaseTick &, Actions &Out);
  void extendValidity(TimePoint SentAt);
  void markLost(TimePoint Now);

  FencedLeaseTiming Timing;
  bool IsWanted = false;
  /// A call to the store is in progress; its outcome arrives as an event.
  bool CallInProgress = false;
  std::optional<FencingNumber> Number;
  FencingNumber HighestNumber = 0;
  TimePoint ValidFrom;
  TimePoint ValidUntil;
  TimePoint NextCallAt;
};

} // namespace parsleywing

#endif
