#ifndef PARSLEYWING_PLATFORM_FENCEDLEASE_H
#define PARSLEYWING_PLATFORM_FENCEDLEASE_H

#include "Platform/FencedLeaseState.h"
#include "Platform/StoreClient.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace parsleywing {

/// Holds one named lease in the platform's store, with a fencing number, on a
/// thread of its own while it is wanted. Costs a call every few seconds while
/// held: for the few servers that get orders at a time, not for each one.
class FencedLease {
public:
  struct Options {
    /// The key that stands for the lease, such as `orders/<server>`.
    std::string Key;
    /// Names this process in the store, for a person: router and incarnation.
    std::string Holder;
    FencedLeaseTiming Timing;
    std::uint64_t Seed = 0;
  };

  FencedLease(Options O, const StoreSettings &S,
              const std::shared_ptr<StoreBudget> &B, const Clock &C);
  /// Gives the lease up if the store answers in time.
  ~FencedLease();

  FencedLease(const FencedLease &) = delete;
  FencedLease &operator=(const FencedLease &) = delete;

  /// Seeks the lease, or gives it up.
  void setWanted(bool Wanted);

  /// The number to give an order under at this very moment, by a fresh look at
  /// the clock; nothing where none may be given. Call it right before the first
  /// byte of each order, never ahead of time. Costs no call on the store.
  std::optional<FencingNumber> fencingNumber() const;

  /// The same, with the moment at which the use must end.
  std::optional<LeasePermit> permit() const;

  /// The number, after the store has confirmed that the key still has the
  /// number. For servers that ignore the number: it also catches a machine
  /// whose clock stood still with it. Costs one call; blocks for at most its
  /// deadline.
  std::optional<FencingNumber> confirmedFencingNumber();
  std::optional<LeasePermit> confirmedPermit();

private:
  void run();
  void perform(const LeaseAction &Action);
  LeaseEvent acquire();
  LeaseEvent renew();
  void release();
  void handleEvent(const LeaseEvent &Event);

  Options LeaseOptions;
  Clock Time;
  StoreClient Store;
  std::mutex ConfirmMutex;
  StoreClient ConfirmStore;

  mutable std::mutex Mutex;
  std::condition_variable Wakeup;
  FencedLeaseState State;
  std::vector<LeaseAction> PendingActions;
  bool Stopping = false;

  // Only the worker uses these.
  std::mt19937_64 Random;
  LeaseId Lease = 0;

  std::thread Worker;
};

} // namespace parsleywing

#endif
