#ifndef PARSLEYWING_TEST_CONTROL_CLAIMFIXTURE_H
#define PARSLEYWING_TEST_CONTROL_CLAIMFIXTURE_H

#include "Control/ControlLoop.h"

#include <atomic>
#include <criterion/criterion.h>

namespace parsleywing::test {

inline constexpr RequestId First{1};
inline constexpr Duration ControlLimit = std::chrono::seconds(10);

/// Longer than the wait for the reply to a claim.
inline constexpr auto Pause = std::chrono::seconds(2);

/// A control loop with a request that waits for the reply to its claim.
class ClaimFixture {
  std::atomic<bool> Claimed{false};
  std::atomic<int> ReadingsLeft{0};
  std::shared_ptr<RequestChannel> Channel;

public:
  ClaimFixture() {
    this->Time.setBeforeRead([this] { this->beforeRead(); });
    this->Loop.setSink([this](const Action &Emitted) {
      if (std::holds_alternative<ClaimRunRecord>(Emitted))
        this->Claimed = true;
    });
    this->Channel = this->Loop.openChannel(First);
    this->Loop.start();
    RequestDescription D;
    D.Request = First;
    D.Account = AccountId{1};
    D.Service = ServiceId{1};
    D.Repeatable = false;
    D.IdempotencyKey = "key";
    D.Identity = "r1-1-1";
    D.Deadline = TimePoint() + std::chrono::minutes(5);
    this->Loop.post(RequestArrived{D});
    cr_assert(this->Loop.ask([] {}, ControlLimit));
    cr_assert(this->Claimed);
  }

  /// Lets the process stand still. The reply is posted while the clock is read
  /// for the given time after it; zero for during the standstill.
  void pause(int ReplyAtReading) {
    cr_assert(this->Loop.ask(
        [&] {
          this->Time.advance(Pause);
          this->ReadingsLeft = ReplyAtReading;
          if (ReplyAtReading == 0)
            this->reply();
        },
        ControlLimit));
  }

  /// Whether the request is given up for want of a reply. Waits until no
  /// decision has come for half a second, which is many ticks.
  bool givenUp() {
    while (const auto Decision =
               this->Channel->take(std::chrono::milliseconds(500)))
      if (const auto *Finish = std::get_if<FinishRequest>(&*Decision))
        if (Finish->Reason == ResponseReason::RecordUnavailable)
          return true;
    return false;
  }

  Clock Time = Clock::paused();
  ControlLoop Loop{this->Time};

private:
  void beforeRead() {
    if (this->ReadingsLeft > 0 && --this->ReadingsLeft == 0)
      this->reply();
  }

  void reply() {
    this->Loop.post(RunRecordVerdictReceived{First, RunRecordVerdict::Claimed});
  }
};

} // namespace parsleywing::test

#endif
