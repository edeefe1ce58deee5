#include "Platform/FencedLease.h"
#include "standin/StoreStandIn.h"

#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <rapidcheck.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

FencedLeaseTiming shortTimes() { return {2s, 800ms, 300ms, 300ms, 100ms}; }

template <typename Condition> bool eventually(Condition Holds) {
  for (int Try = 0; Try < 1000; ++Try) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

/// Two holders, a store and an engine that ignores the number, on a clock of
/// events. Holders are paused at any point: between tick and call, between
/// answer and its handling, between the look at the lease and the order's
/// arrival, the last for less than a successor waits.
class LeaseWorld {
public:
  explicit LeaseWorld(std::uint64_t Seed) : Random(Seed) {
    for (Holder &Each : this->Holders) {
      this->perform(Each, Each.State.handle(this->Now, LeaseWanted{}));
      this->wake(Each);
    }
  }

  /// How many orders arrived.
  std::size_t run(Duration Length) {
    const TimePoint End = this->Now + Length;
    while (!this->Queue.empty() && this->Queue.begin()->first < End) {
      auto Next = this->Queue.extract(this->Queue.begin());
      this->Now = Next.key();
      Next.mapped()();
      RC_ASSERT(!(this->Holders[0].State.fencingNumber(this->Now) &&
                  this->Holders[1].State.fencingNumber(this->Now)));
    }
    return this->Arrived;
  }

  FencingNumber highest() const { return this->Highest; }

private:
  static constexpr FencedLeaseTiming Times{20s, 8s, 10s, 4s, 2s};

  struct Holder {
    FencedLeaseState State{Times};
    TimePoint AwakeFrom;
  };

  Duration draw(Duration Limit) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, Limit.count() - 1)(this->Random));
  }
  bool chance(int OneIn) { return this->Random() % OneIn == 0; }

  void later(Duration Wait, std::function<void()> Act) {
    this->Queue.emplace(this->Now + Wait, std::move(Act));
  }

  /// Runs it at once, or when the holder is no longer paused.
  void whenAwake(Holder &Who, std::function<void()> Act) {
    if (this->Now >= Who.AwakeFrom)
      Act();
    else
      this->later(Who.AwakeFrom - this->Now, std::move(Act));
  }

  void wake(Holder &Who) {
    this->perform(Who, Who.State.handle(this->Now, LeaseTick{}));
    if (const auto Number = Who.State.fencingNumber(this->Now))
      this->later(this->draw(Times.TakeoverDelay),
                  [this, Number] { this->arrive(*Number); });
    if (this->chance(100))
      Who.AwakeFrom = this->Now + this->draw(60s);
    this->later(200ms, [this, &Who] {
      this->whenAwake(Who, [&] { this->wake(Who); });
    });
  }

  void arrive(FencingNumber Number) {
    RC_ASSERT(Number >= this->Highest);
    this->Highest = Number;
    ++this->Arrived;
  }

  void perform(Holder &Who, const std::vector<LeaseAction> &Actions) {
    for (const LeaseAction &Action : Actions) {
      const TimePoint SentAt = this->Now;
      this->later(this->draw(1s), [this, &Who, Action, SentAt] {
        const LeaseEvent Answer = this->effect(Who, Action, SentAt);
        if (std::holds_alternative<ReleaseLease>(Action))
          return;
        this->later(this->draw(1s), [this, &Who, Answer] {
          this->whenAwake(Who, [this, &Who, Answer] {
            this->perform(Who, Who.State.handle(this->Now, Answer));
          });
        });
      });
    }
  }

  LeaseEvent effect(Holder &Who, const LeaseAction &Action, TimePoint SentAt) {
    if (this->Now >= this->Lapses)
      this->Owner = nullptr;
    const bool Lost = this->chance(10);
    if (std::holds_alternative<ReleaseLease>(Action)) {
      if (this->Owner == &Who && !Lost)
        this->Owner = nullptr;
      return LeaseTick{};
    }
    const bool Acquire = std::holds_alternative<AcquireLease>(Action);
    if (Acquire ? this->Owner != nullptr : this->Owner != &Who)
      return Acquire ? LeaseEvent(LeaseAcquisitionFailed{})
                     : LeaseEvent(LeaseExpired{});
    this->Owner = &Who;
    this->Lapses = this->Now + Times.Ttl;
    if (Acquire)
      ++this->Created;
    if (Lost)
      return Acquire ? LeaseEvent(LeaseAcquisitionFailed{})
                     : LeaseEvent(LeaseRenewalFailed{});
    return Acquire ? LeaseEvent(LeaseAcquired{this->Created, SentAt})
                   : LeaseEvent(LeaseRenewed{SentAt});
  }

  std::mt19937_64 Random;
  TimePoint Now{1s};
  std::multimap<TimePoint, std::function<void()>> Queue;
  Holder Holders[2];
  Holder *Owner = nullptr;
  TimePoint Lapses;
  FencingNumber Created = 0;
  FencingNumber Highest = 0;
  std::size_t Arrived = 0;
};

} // namespace

// Symptom: an engine obeys an order that is older than one it obeyed. Sequence:
// pauses of both holders at any point, lost replies. Cause: a holder goes
// on with a lease that is another's, or its successor begins too early. Failed
// in one run each without the comparison with UsableUntil in
// FencedLeaseState::usable (two users after 1 test), and without SuccessorWait
// in UsableFrom (an older number arrived, after 2 tests).
Test(FencedLease, ordersOfPausedHoldersArriveWithRisingNumbers) {
  setenv("RC_PARAMS", "seed=1 max_success=100", 0);
  std::size_t Arrived = 0;
  FencingNumber Highest = 0;
  cr_assert(rc::check("numbers rise at the engine", [&] {
    LeaseWorld World(*rc::gen::inRange<std::uint64_t>(0, 1'000'000));
    Arrived += World.run(20min);
    Highest = std::max(Highest, World.highest());
  }));
  cr_assert_gt(Arrived, 1000U, "the run gave orders");
  cr_assert_gt(Highest, 5, "the lease changed hands");
}

// Symptom: a server gets an order of a holder that lost its lease. Sequence: a
// holder is paused past the life of its lease, another takes it, the first is
// woken and still believes it holds it. Cause: it asks no clock. Fails without
// the comparison with UsableUntil in FencedLeaseState::usable.
Test(FencedLease, aPausedHolderGivesNoOrderAfterItWakes) {
  FencedLeaseState State({20s, 8s, 10s, 4s, 2s});
  TimePoint Now{1s};
  cr_assert_eq(State.handle(Now, LeaseWanted{}).size(), 1U);
  State.handle(Now + 1s, LeaseAcquired{7, Now});
  cr_assert_not(State.fencingNumber(Now + 10s), "a successor must wait");
  cr_assert(State.fencingNumber(Now + 11s) == FencingNumber{7});
  // The life counts from before the call was sent.
  cr_assert_not(State.fencingNumber(Now + 12s));
  cr_assert_not(State.fencingNumber(Now + 60s));
  // A renewal answered too late does not bring it back.
  const auto Actions = State.handle(Now + 60s, LeaseRenewed{Now + 59s});
  cr_assert(std::holds_alternative<ReleaseLease>(Actions.at(0)));
  cr_assert_not(State.fencingNumber(Now + 61s));
}

Test(FencedLease, renewalsExtendItAndFailuresLetItEnd) {
  FencedLeaseState State({20s, 8s, 2s, 4s, 2s});
  TimePoint Now{1s};
  State.handle(Now, LeaseWanted{});
  State.handle(Now, LeaseAcquired{7, Now});
  cr_assert(std::holds_alternative<RenewLease>(
      State.handle(Now + 4s, LeaseTick{}).at(0)));
  State.handle(Now + 5s, LeaseRenewed{Now + 4s});
  cr_assert(State.fencingNumber(Now + 15s).has_value());
  State.handle(Now + 8s, LeaseTick{});
  State.handle(Now + 9s, LeaseRenewalFailed{});
  cr_assert_not(State.fencingNumber(Now + 16s));
  State.handle(Now + 10s, LeaseExpired{});
  cr_assert_not(State.fencingNumber(Now + 11s));
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
  A.setWanted(true);
  cr_assert(eventually([&] { return A.fencingNumber().has_value(); }));
  const FencingNumber First = *A.fencingNumber();
  FencedLease B({"orders/s1", "b", shortTimes(), 2}, Client, Budget,
                Clock::steady());
  B.setWanted(true);
  std::this_thread::sleep_for(500ms);
  cr_assert_not(B.fencingNumber().has_value());
  cr_assert(A.confirmedFencingNumber() == First);
  Store.changeFaults([](auto &Faults) { Faults.Silent = true; });
  cr_assert(eventually([&] { return !A.fencingNumber().has_value(); }));
  cr_assert_eq(Store.peek("orders/").Entries.size(), 1U,
               "the holder stops before the store lets the lease lapse");
  Store.changeFaults([](auto &Faults) { Faults.Silent = false; });
  A.setWanted(false);
  cr_assert(eventually([&] {
    const auto OfA = A.fencingNumber();
    const auto OfB = B.fencingNumber();
    cr_assert_not(OfA && OfB);
    return OfB.has_value();
  }));
  cr_assert_gt(*B.fencingNumber(), First);
}
