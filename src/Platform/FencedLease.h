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

/// Holds one named lease with a fencing number in the platform's store, for as
/// long as it is wanted; runs its own thread. A held lease costs one call to
/// the store every few seconds, so leases are for the few servers that receive
/// orders at a time, not for every server.
class FencedLease {
public:
  struct Options {
    /// The key that represents the lease, such as `orders/<server>`.
    std::string Key;
    /// Identifies this process to people who read the store, for instance by
    /// router and incarnation.
    std::string Holder;
    FencedLeaseTiming Timing;
    std::uint64_t Seed = 0;
  };

  FencedLease(Options O, const StoreSettings &S,
              const std::shared_ptr<StoreBudget> &B, const Clock &C);
  /// Releases the lease if the store answers in time.
  ~FencedLease();

  FencedLease(const FencedLease &) = delete;
  FencedLease &operator=(const FencedLease &) = delete;

  /// Starts to acquire and renew the lease, or releases it.
  void setWanted(bool Wanted);

  /// Returns the fencing number for an order sent right now, checked against
  /// the current time, or nothing if no order may be sent. Call it immediately
  /// before the first byte of each order, never ahead of time. Makes no call to
  /// the store.
  std::optional<FencingNumber> fencingNumber() const;

  /// Same as `fencingNumber`, with the time until which orders may be sent.
  std::optional<LeasePermit> permit() const;

  /// Returns the fencing number after the store has confirmed that the key
  /// still has it. For servers that ignore the number: it also covers a machine
  /// whose clock was suspended together with the process. Makes one call to the
  /// store and blocks for at most the call's timeout.
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

  // Used by the worker thread only.
  std::mt19937_64 Random;
  LeaseId Lease = 0;

  std::thread Worker;
};

} // namespace parsleywing

#endif
