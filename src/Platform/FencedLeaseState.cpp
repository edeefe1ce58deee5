#include "Platform/FencedLeaseState.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

FencedLeaseState::FencedLeaseState(FencedLeaseTimes T) : Times(T) {
  PARSLEYWING_INVARIANT(this->Times.Margin < this->Times.Life,
                        "a lease can be used for some time");
  PARSLEYWING_INVARIANT(this->Times.RenewEvery <
                            this->Times.Life - this->Times.Margin,
                        "a lease is renewed before its use must end");
}

std::vector<LeaseAction> FencedLeaseState::handle(TimePoint Now,
                                                  const LeaseEvent &Event) {
  Actions Out;
  std::visit([&](const auto &Each) { this->on(Now, Each, Out); }, Event);
  return Out;
}

std::optional<FencingNumber> FencedLeaseState::usable(TimePoint Now) const {
  if (!this->Wanted || !this->Number || Now < this->UsableFrom ||
      Now >= this->UsableUntil)
    return std::nullopt;
  return this->Number;
}

std::optional<LeaseUse> FencedLeaseState::use(TimePoint Now) const {
  const auto Usable = this->usable(Now);
  if (!Usable)
    return std::nullopt;
  return LeaseUse{*Usable, this->UsableUntil};
}

void FencedLeaseState::on(TimePoint Now, const LeaseWanted &, Actions &Out) {
  this->Wanted = true;
  this->on(Now, LeaseTick{}, Out);
}

void FencedLeaseState::on(TimePoint, const LeaseUnwanted &, Actions &Out) {
  if (!this->Wanted)
    return;
  this->Wanted = false;
  // What is under way is given up as soon as its outcome is known.
  if (this->Busy)
    return;
  if (this->Number)
    Out.emplace_back(ReleaseLease{});
  this->Number.reset();
}

void FencedLeaseState::extend(TimePoint SentAt) {
  this->UsableUntil = std::max(this->UsableUntil,
                               SentAt + this->Times.Life - this->Times.Margin);
}

void FencedLeaseState::on(TimePoint Now, const LeaseAcquired &Event,
                          Actions &Out) {
  this->Busy = false;
  // A store that was set back would give numbers again that servers have seen.
  const bool Rises = Event.Number > this->HighestNumber;
  this->HighestNumber = std::max(this->HighestNumber, Event.Number);
  if (!this->Wanted || !Rises) {
    Out.emplace_back(ReleaseLease{});
    this->NextCall = Now + this->Times.RetryEvery;
    return;
  }
  this->Number = Event.Number;
  this->UsableFrom = Now + this->Times.SuccessorWait;
  this->UsableUntil = Event.SentAt;
  this->extend(Event.SentAt);
  this->NextCall = Event.SentAt + this->Times.RenewEvery;
}

void FencedLeaseState::on(TimePoint Now, const LeaseRefused &, Actions &) {
  this->Busy = false;
  this->NextCall = Now + this->Times.RetryEvery;
}

void FencedLeaseState::on(TimePoint Now, const LeaseRenewed &Event,
                          Actions &Out) {
  this->Busy = false;
  if (!this->Wanted) {
    Out.emplace_back(ReleaseLease{});
    this->Number.reset();
    return;
  }
  if (!this->Number)
    return;
  // Whether the lease lapsed and came back in between cannot be told from
  // here: what ran past its end is lost and sought anew.
  if (Now >= this->UsableUntil) {
    Out.emplace_back(ReleaseLease{});
    this->lose(Now);
    return;
  }
  this->extend(Event.SentAt);
  this->NextCall = Event.SentAt + this->Times.RenewEvery;
}

void FencedLeaseState::on(TimePoint Now, const LeaseRenewalFailed &,
                          Actions &Out) {
  this->Busy = false;
  this->NextCall = Now + this->Times.RetryEvery / 2;
  if (this->Wanted)
    return;
  Out.emplace_back(ReleaseLease{});
  this->Number.reset();
}

void FencedLeaseState::on(TimePoint Now, const LeaseLapsed &, Actions &) {
  this->Busy = false;
  this->lose(Now);
}

void FencedLeaseState::lose(TimePoint Now) {
  this->Number.reset();
  this->NextCall = Now + this->Times.RetryEvery;
}

void FencedLeaseState::on(TimePoint Now, const LeaseTick &, Actions &Out) {
  if (this->Busy || !this->Wanted)
    return;
  if (this->Number && Now >= this->UsableUntil) {
    Out.emplace_back(ReleaseLease{});
    this->lose(Now);
    return;
  }
  if (Now < this->NextCall)
    return;
  this->Busy = true;
  if (this->Number)
    Out.emplace_back(RenewLease{});
  else
    Out.emplace_back(AcquireLease{});
}

} // namespace parsleywing
