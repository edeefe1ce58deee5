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

AccountPosition &AccountLedger::open(AccountId Account, ServiceId Service,
                                     double Share) {
  AccountPosition &Position = this->Positions[pairOf(Account, Service)];
  Position.Account = Account;
  Position.Service = Service;
  if (Position.Own == 0 && Position.Others == 0)
    Position.Share = Share;
  return Position;
}

AccountPosition *AccountLedger::find(PairId Pair) {
  const auto Found = this->Positions.find(Pair);
  return Found == this->Positions.end() ? nullptr : &Found->second;
}

AccountPosition &AccountLedger::at(PairId Pair) {
  const auto Found = this->Positions.find(Pair);
  PARSLEYWING_INVARIANT(Found != this->Positions.end(),
                        "a pair with requests has a position");
  return Found->second;
}

void AccountLedger::charge(PairId Pair, double Change) {
  AccountPosition &Position = this->at(Pair);
  Position.Own += Change;
  PARSLEYWING_INVARIANT(Position.Own >= -0.5,
                        "no more is refunded than was charged");
  this->Changed.insert(Pair);
}

void AccountLedger::reenter(PairId Pair, double VirtualTime, double MaxDebt) {
  this->raiseTo(Pair, VirtualTime);
  AccountPosition &Position = this->at(Pair);
  Position.Forgiven +=
      std::max(0.0, Position.value() - (VirtualTime + MaxDebt));
}

void AccountLedger::bound(PairId Pair, double Middle, double MaxDebt) {
  this->raiseTo(Pair, Middle - MaxDebt);
  AccountPosition &Position = this->at(Pair);
  Position.Forgiven += std::max(0.0, Position.value() - (Middle + MaxDebt));
}

void AccountLedger::raiseTo(PairId Pair, double Floor) {
  AccountPosition &Position = this->at(Pair);
  const double Missing = Floor - Position.value();
  if (Missing <= 0)
    return;
  if (!Position.Settled) {
    Position.Provisional += Missing;
    return;
  }
  // Rounded up, so that the position is not below the floor afterwards.
  Position.Lift = std::nextafterf(static_cast<float>(Position.Lift + Missing),
                                  std::numeric_limits<float>::infinity());
  this->Changed.insert(Pair);
}

void AccountLedger::setShare(PairId Pair, double Share) {
  AccountPosition &Position = this->at(Pair);
  const double Before = Position.value();
  Position.Share = Share;
  Position.Forgiven += Position.value() - Before;
}

void AccountLedger::unsettle(PairId Pair) {
  this->at(Pair).Settled = false;
  this->Changed.insert(Pair);
}

bool AccountLedger::take(TimePoint Now, RouterId Home, Incarnation Life,
                         std::uint32_t Sequence, const PositionAnswer &Answer) {
  AccountPosition *Position = this->find(Answer.Pair);
  if (Position == nullptr)
    return false;
  const bool SameHome = Position->Home == Home && Position->HomeLife == Life;
  if (SameHome && Sequence <= Position->AnswerSequence)
    return false;
  Position->Home = Home;
  Position->HomeLife = Life;
  Position->AnswerSequence = Sequence;
  Position->Others = Answer.Others;
  Position->Answered = Now;
  Position->Settled = true;
  Position->Provisional = 0;
  Position->Lift = std::max(Position->Lift, Answer.Lift);
  return true;
}

Contribution AccountLedger::contributionOf(PairId Pair) const {
  const AccountPosition &Position = this->Positions.at(Pair);
  return {Pair, std::max(0.0, Position.Own),
          static_cast<float>(Position.Others), Position.Lift};
}

std::set<PairId> AccountLedger::takeChanged() {
  return std::exchange(this->Changed, {});
}

} // namespace parsleywing
