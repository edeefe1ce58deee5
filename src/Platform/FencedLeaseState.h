#ifndef PARSLEYWING_PLATFORM_FENCEDLEASESTATE_H
#define PARSLEYWING_PLATFORM_FENCEDLEASESTATE_H

#include "Platform/StoreTypes.h"
#include "Runtime/Clock.h"

#include <optional>
#include <variant>
#include <vector>

namespace parsleywing {

/// Numbers the holders of one named lease: each later holder's is higher. It is
/// the revision at which the store created the lease's key.
using FencingNumber = Revision;

/// Leave to give orders: under which number, and until when by the holder's
/// own clock.
struct LeasePermit {
  FencingNumber Number = 0;
  TimePoint ValidUntil;
};

struct FencedLeaseTiming {
  /// After so long without a renewal the store lets the lease lapse.
  std::chrono::seconds Ttl = std::chrono::seconds(20);
  /// A holder stops this long before the lease can lapse, by its own clock.
  Duration SafetyMargin = std::chrono::seconds(8);
  /// A new holder gives no order for so long: longer than any pause between a
  /// holder's last look at its clock and the arrival of its order.
  Duration TakeoverDelay = std::chrono::seconds(10);
  Duration RenewInterval = std::chrono::seconds(4);
  Duration RetryInterval = std::chrono::seconds(2);
};

/// Somebody here needs the lease, or no longer does.
struct LeaseWanted {};
struct LeaseUnwanted {};

/// The store gave the lease. The time is from before the call was sent: the
/// store's own count of the life began no earlier.
struct LeaseAcquired {
  FencingNumber Number;
  TimePoint SentAt;
};

/// The lease is another's, or the store did not answer.
struct LeaseAcquisitionFailed {};

struct LeaseRenewed {
  TimePoint SentAt;
};

/// A renewal got no answer; it is tried again while there is time.
struct LeaseRenewalFailed {};

/// The store says that the lease has lapsed.
struct LeaseExpired {};

struct LeaseTick {};

using LeaseEvent = std::variant<LeaseWanted, LeaseUnwanted, LeaseAcquired,
                                LeaseAcquisitionFailed, LeaseRenewed,
                                LeaseRenewalFailed, LeaseExpired, LeaseTick>;

struct AcquireLease {};
struct RenewLease {};
/// Give the lease up, or whatever stands of it.
struct ReleaseLease {};

using LeaseAction = std::variant<AcquireLease, RenewLease, ReleaseLease>;

/// Decides when a named lease with a fencing number is sought, renewed and
/// given up, and when an order may be given under it. Does no I/O.
///
/// A holder that is paused still believes that it holds the lease. So it asks
/// `usable` with a fresh time right before each order, and the answer ends a
/// margin before the store can let the lease lapse, counted from before the
/// last renewal was sent. A pause after that last look is what the successor's
/// wait covers, and what a server that checks the number refuses.
class FencedLeaseState {
public:
  explicit FencedLeaseState(FencedLeaseTiming T);

  std::vector<LeaseAction> handle(TimePoint Now, const LeaseEvent &Event);

  /// The number to give an order under now; nothing where none may be given.
  std::optional<FencingNumber> fencingNumber(TimePoint Now) const;

  /// The same, with the moment at which the use must end. An order is bounded
  /// by it, so that none is still on its way when the lease can have lapsed.
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
  bool Wanted = false;
  /// A call is under way; its outcome comes as an event.
  bool CallInProgress = false;
  std::optional<FencingNumber> Number;
  FencingNumber HighestNumber = 0;
  TimePoint ValidFrom;
  TimePoint ValidUntil;
  TimePoint NextCallAt;
};

} // namespace parsleywing

#endif
