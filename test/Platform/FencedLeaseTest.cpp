#include "Platform/FencedLease.h"
#include "standin/StoreStandIn.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

FencedLeaseTimes shortTimes() { return {2s, 800ms, 300ms, 300ms, 100ms}; }

template <typename Condition> bool eventually(Condition Holds) {
  for (int Try = 0; Try < 1000; ++Try) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

} // namespace

// Symptom: a server gets an order of a holder that lost its lease. Sequence: a
// holder is paused past the life of its lease, another takes it, the first is
// woken and still believes it holds it. Cause: it asks no clock. Fails without
// the comparison with UsableUntil in FencedLeaseState::usable.
Test(FencedLease, aPausedHolderGivesNoOrderAfterItWakes) {
  FencedLeaseState State({20s, 8s, 10s, 4s, 2s});
  TimePoint Now{1s};
  cr_assert_eq(State.handle(Now, LeaseWanted{}).size(), 1U);
  State.handle(Now + 1s, LeaseAcquired{7, Now});
  cr_assert_not(State.usable(Now + 10s), "a successor must wait");
  cr_assert(State.usable(Now + 11s) == FencingNumber{7});
  // The life counts from before the call was sent.
  cr_assert_not(State.usable(Now + 12s));
  cr_assert_not(State.usable(Now + 60s));
  // A renewal answered too late does not bring it back.
  const auto Actions = State.handle(Now + 60s, LeaseRenewed{Now + 59s});
  cr_assert(std::holds_alternative<ReleaseLease>(Actions.at(0)));
  cr_assert_not(State.usable(Now + 61s));
}

Test(FencedLease, renewalsExtendItAndFailuresLetItEnd) {
  FencedLeaseState State({20s, 8s, 2s, 4s, 2s});
  TimePoint Now{1s};
  State.handle(Now, LeaseWanted{});
  State.handle(Now, LeaseAcquired{7, Now});
  cr_assert(std::holds_alternative<RenewLease>(
      State.handle(Now + 4s, LeaseTick{}).at(0)));
  State.handle(Now + 5s, LeaseRenewed{Now + 4s});
  cr_assert(State.usable(Now + 15s).has_value());
  State.handle(Now + 8s, LeaseTick{});
  State.handle(Now + 9s, LeaseRenewalFailed{});
  cr_assert_not(State.usable(Now + 16s));
  State.handle(Now + 10s, LeaseLapsed{});
  cr_assert_not(State.usable(Now + 11s));
}

// Symptom: two routers give orders to one server. Sequence: both want its
// lease; the holder loses the store; the lease lapses; the other takes it.
// Cause: the holder goes on until the store tells it otherwise. Fails without
// the margin in FencedLeaseState::extend.
Test(FencedLease, neverHasTwoUsersAndItsNumbersRise) {
  standin::StoreStandIn Store({"127.0.0.1:0"});
  Store.start();
  const auto Budget =
      std::make_shared<StoreBudget>(1000, 1000, Clock::steady().now());
  const StoreSettings Client{Store.address(), 200ms, 500ms};
  FencedLease A({"orders/s1", "a", shortTimes(), 1}, Client, Budget,
                Clock::steady());
  A.want(true);
  cr_assert(eventually([&] { return A.number().has_value(); }));
  const FencingNumber First = *A.number();
  FencedLease B({"orders/s1", "b", shortTimes(), 2}, Client, Budget,
                Clock::steady());
  B.want(true);
  std::this_thread::sleep_for(500ms);
  cr_assert_not(B.number().has_value());
  cr_assert(A.confirmedNumber() == First);
  Store.changeFaults([](auto &Faults) { Faults.Silent = true; });
  cr_assert(eventually([&] { return !A.number().has_value(); }));
  cr_assert_eq(Store.peek("orders/").Entries.size(), 1U,
               "the holder stops before the store lets the lease lapse");
  Store.changeFaults([](auto &Faults) { Faults.Silent = false; });
  A.want(false);
  cr_assert(eventually([&] {
    const auto OfA = A.number();
    const auto OfB = B.number();
    cr_assert_not(OfA && OfB);
    return OfB.has_value();
  }));
  cr_assert_gt(*B.number(), First);
}
