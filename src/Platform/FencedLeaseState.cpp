#include "Platform/FencedLeaseState.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

FencedLeaseState::FencedLeaseState(FencedLeaseTiming T) : Timing(T) {
  PARSLEYWING_INVARIANT(this->Timing.SafetyMargin < this->Timing.Ttl,
                        "the safety margin is shorter than the lease's TTL");
  PARSLEYWING_INVARIANT(this->Timing.RenewInterval <
                            this->Timing.Ttl - this->Timing.SafetyMargin,
                        "a lease is renewed before its safety margin begins");
}

std::vector<LeaseAction> FencedLeaseState::handle(TimePoint Now,
                                                  const LeaseEvent &Event) {
  Actions Out;
  std::visit([&](const auto &Each) { this->on(Now, Each, Out); }, Event);
  return Out;
}

std::optional<FencingNumber>
FencedLeaseState::fencingNumber(TimePoint Now) const {
  if (!this->IsWanted || !this->Number || Now < this->ValidFrom ||
      Now >= this->ValidUntil)
    return std::nullopt;
  return this->Number;
}

std::optional<LeasePermit> FencedLeaseState::permit(TimePoint Now) const {
  const auto CurrentNumber = this->fencingNumber(Now);
  if (!CurrentNumber)
    return std::nullopt;
  return LeasePermit{*CurrentNumber, this->ValidUntil};
}

void FencedLeaseState::on(TimePoint Now, const LeaseWanted &, Actions &Out) {
  this->IsWanted = true;
  this->on(Now, LeaseTick{}, Out);
}

void FencedLeaseState::on(TimePoint, const LeaseUnwanted &, Actions &Out) {
  if (!this->IsWanted)
    return;
  this->IsWanted = false;
  // A call in progress is handled when its outcome arrives; the lease is
  // released then.
  if (this->CallInProgress)
    return;
  if (this->Number)
    Out.emplace_back(ReleaseLease{});
  this->Number.reset();
}

void FencedLeaseState::extendValidity(TimePoint SentAt) {
  this->ValidUntil = std::max(this->ValidUntil, SentAt + this->Timing.Ttl -
                                                    this->Timing.SafetyMargin);
}

void FencedLeaseState::on(TimePoint Now, const LeaseAcquired &Event,
                          Actions &Out) {
  this->CallInProgress = false;
  // A store that was reset to an earlier state would issue numbers that servers
  // have already seen.
  const bool IsHigher = Event.Number > this->HighestNumber;
  this->HighestNumber = std::max(this->HighestNumber, Event.Number);
  if (!this->IsWanted || !IsHigher) {
    Out.emplace_back(ReleaseLease{});
    this->NextCallAt = Now + this->Timing.RetryInterval;
    return;
  }
  this->Number = Event.Number;
  this->ValidFrom = Now + this->Timing.TakeoverDelay;
  this->ValidUntil = Event.SentAt;
  this->extendValidity(Event.SentAt);
  this->NextCallAt = Event.SentAt + this->Timing.RenewInterval;
}

void FencedLeaseState::on(TimePoint Now, const LeaseAcquisitionFailed &,
                          Actions &) {
  this->CallInProgress = false;
  this->NextCallAt = Now + this->Timing.RetryInterval;
}

void FencedLeaseState::on(TimePoint Now, const LeaseRenewed &Event,
                          Actions &Out) {
  this->CallInProgress = false;
  if (!this->IsWanted) {
    Out.emplace_back(ReleaseLease{});
    this->Number.reset();
    return;
  }
  if (!this->Number)
    return;
  // Whether the lease expired and was acquired by another holder in between is
  // unknown here, so a lease past its validity is lost and acquired again.
  if (Now >= this->ValidUntil) {
    Out.emplace_back(ReleaseLease{});
    this->markLost(Now);
    return;
  }
  this->extendValidity(Event.SentAt);
  this->NextCallAt = Event.SentAt + this->Timing.RenewInterval;
}

void FencedLeaseState::on(TimePoint Now, const LeaseRenewalFailed &,
                          Actions &Out) {
  this->CallInProgress = false;
  this->NextCallAt = Now + this->Timing.RetryInterval / 2;
  if (this->IsWanted)
    return;
  Out.emplace_back(ReleaseLease{});
  this->Number.reset();
}

void FencedLeaseState::on(TimePoint Now, const LeaseExpired &, Actions &) {
  this->CallInProgress = false;
  this->markLost(Now);
}

void FencedLeaseState::markLost(TimePoint Now) {
  this->Number.reset();
  this->NextCallAt = Now + this->Timing.RetryInterval;
}

void FencedLeaseState::on(TimePoint Now, const LeaseTick &, Actions &Out) {
  if (this->CallInProgress || !this->IsWanted)
    return;
  if (this->Number && Now >= this->ValidUntil) {
    Out.emplace_back(ReleaseLease{});
    this->markLost(Now);
    return;
  }
  if (Now < this->NextCallAt)
    return;
  this->CallInProgress = true;
  if (this->Number)
    Out.emplace_back(RenewLease{});
  else
    Out.emplace_back(AcquireLease{});
}

} // namespace parsleywing
