#include "Decision/Fairness/AccountLedger.h"

#include "Runtime/Invariant.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace parsleywing {

PairId pairOf(AccountId Account, ServiceId Service) {
  return rendezvousScore(Account.Value, Service.Value);
}

LedgerEntry &AccountLedger::open(AccountId Account, ServiceId Service,
                                 double Share) {
  LedgerEntry &Position = this->Entries[pairOf(Account, Service)];
  Position.Account = Account;
  Position.Service = Service;
  if (Position.Own == 0 && Position.Others == 0)
    Position.Share = Share;
  return Position;
}

LedgerEntry *AccountLedger::find(PairId Pair) {
  const auto Found = this->Entries.find(Pair);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

LedgerEntry &AccountLedger::at(PairId Pair) {
  const auto Found = this->Entries.find(Pair);
  PARSLEYWING_INVARIANT(Found != this->Entries.end(),
                        "a pair with requests has a position");
  return Found->second;
}

void AccountLedger::charge(PairId Pair, double Change) {
  LedgerEntry &Position = this->at(Pair);
  Position.Own += Change;
  PARSLEYWING_INVARIANT(Position.Own >= -0.5,
                        "no more is refunded than was charged");
  this->Changed.insert(Pair);
}

void AccountLedger::reenter(PairId Pair, double VirtualTime, double MaxDebt) {
  this->raiseTo(Pair, VirtualTime);
  LedgerEntry &Position = this->at(Pair);
  Position.Forgiven +=
      std::max(0.0, Position.virtualTime() - (VirtualTime + MaxDebt));
}

void AccountLedger::bound(PairId Pair, double Median, double MaxDebt) {
  this->raiseTo(Pair, Median - MaxDebt);
  LedgerEntry &Position = this->at(Pair);
  Position.Forgiven +=
      std::max(0.0, Position.virtualTime() - (Median + MaxDebt));
}

void AccountLedger::raiseTo(PairId Pair, double Floor) {
  LedgerEntry &Position = this->at(Pair);
  const double Missing = Floor - Position.virtualTime();
  if (Missing <= 0)
    return;
  if (!Position.Confirmed) {
    Position.Provisional += Missing;
    return;
  }
  // Rounded up, so that the position is not below the floor afterwards.
  Position.Lift = std::nextafterf(static_cast<float>(Position.Lift + Missing),
                                  std::numeric_limits<float>::infinity());
  this->Changed.insert(Pair);
}

void AccountLedger::setShare(PairId Pair, double Share) {
  LedgerEntry &Position = this->at(Pair);
  const double Before = Position.virtualTime();
  Position.Share = Share;
  Position.Forgiven += Position.virtualTime() - Before;
}

void AccountLedger::markUnconfirmed(PairId Pair) {
  this->at(Pair).Confirmed = false;
  this->Changed.insert(Pair);
}

bool AccountLedger::applyReply(TimePoint Now, RouterId Home,
                               Incarnation IncarnationNumber,
                               std::uint32_t Sequence,
                               const ContributionReply &Reply) {
  LedgerEntry *Position = this->find(Reply.Pair);
  if (Position == nullptr)
    return false;
  const bool SameHome =
      Position->Home == Home && Position->HomeIncarnation == IncarnationNumber;
  if (SameHome && Sequence <= Position->ReplySequence)
    return false;
  Position->Home = Home;
  Position->HomeIncarnation = IncarnationNumber;
  Position->ReplySequence = Sequence;
  Position->Others = Reply.Others;
  Position->ConfirmedAt = Now;
  Position->Confirmed = true;
  Position->Provisional = 0;
  Position->Lift = std::max(Position->Lift, Reply.Lift);
  return true;
}

Contribution AccountLedger::contributionOf(PairId Pair) const {
  const LedgerEntry &Position = this->Entries.at(Pair);
  return {Pair, std::max(0.0, Position.Own),
          static_cast<float>(Position.Others), Position.Lift};
}

std::set<PairId> AccountLedger::takeChanged() {
  return std::exchange(this->Changed, {});
}

} // namespace parsleywing
