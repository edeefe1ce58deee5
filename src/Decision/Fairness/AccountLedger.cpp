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
  LedgerEntry &Entry = this->Entries[pairOf(Account, Service)];
  Entry.Account = Account;
  Entry.Service = Service;
  if (Entry.Own == 0 && Entry.Others == 0)
    Entry.Share = Share;
  return Entry;
}

LedgerEntry *AccountLedger::find(PairId Pair) {
  const auto Found = this->Entries.find(Pair);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

LedgerEntry &AccountLedger::at(PairId Pair) {
  const auto Found = this->Entries.find(Pair);
  PARSLEYWING_INVARIANT(Found != this->Entries.end(),
                        "a pair with requests has a ledger entry");
  return Found->second;
}

void AccountLedger::charge(PairId Pair, double Change) {
  LedgerEntry &Entry = this->at(Pair);
  Entry.Own += Change;
  PARSLEYWING_INVARIANT(Entry.Own >= -0.5,
                        "no more is refunded than was charged");
  this->Changed.insert(Pair);
}

void AccountLedger::reenter(PairId Pair, double VirtualTime, double MaxDebt) {
  this->raiseTo(Pair, VirtualTime);
  LedgerEntry &Entry = this->at(Pair);
  Entry.Forgiven +=
      std::max(0.0, Entry.virtualTime() - (VirtualTime + MaxDebt));
}

void AccountLedger::bound(PairId Pair, double Median, double MaxDebt) {
  this->raiseTo(Pair, Median - MaxDebt);
  LedgerEntry &Entry = this->at(Pair);
  Entry.Forgiven += std::max(0.0, Entry.virtualTime() - (Median + MaxDebt));
}

void AccountLedger::raiseTo(PairId Pair, double Floor) {
  LedgerEntry &Entry = this->at(Pair);
  const double Missing = Floor - Entry.virtualTime();
  if (Missing <= 0)
    return;
  if (!Entry.Confirmed) {
    Entry.Provisional += Missing;
    return;
  }
  // Rounded up, so that the virtual time is not below the floor afterwards.
  Entry.Lift = std::nextafterf(static_cast<float>(Entry.Lift + Missing),
                               std::numeric_limits<float>::infinity());
  this->Changed.insert(Pair);
}

void AccountLedger::setShare(PairId Pair, double Share) {
  LedgerEntry &Entry = this->at(Pair);
  const double Before = Entry.virtualTime();
  Entry.Share = Share;
  Entry.Forgiven += Entry.virtualTime() - Before;
}

void AccountLedger::markUnconfirmed(PairId Pair) {
  this->at(Pair).Confirmed = false;
  this->Changed.insert(Pair);
}

bool AccountLedger::applyReply(TimePoint Now, RouterId Home,
                               Incarnation IncarnationNumber,
                               std::uint32_t Sequence,
                               const ContributionReply &Reply) {
  LedgerEntry *Entry = this->find(Reply.Pair);
  if (Entry == nullptr)
    return false;
  const bool SameHome =
      Entry->Home == Home && Entry->HomeIncarnation == IncarnationNumber;
  if (SameHome && Sequence <= Entry->ReplySequence)
    return false;
  Entry->Home = Home;
  Entry->HomeIncarnation = IncarnationNumber;
  Entry->ReplySequence = Sequence;
  Entry->Others = Reply.Others;
  Entry->ConfirmedAt = Now;
  Entry->Confirmed = true;
  Entry->Provisional = 0;
  Entry->Lift = std::max(Entry->Lift, Reply.Lift);
  return true;
}

Contribution AccountLedger::contributionOf(PairId Pair) const {
  const LedgerEntry &Entry = this->Entries.at(Pair);
  return {Pair, std::max(0.0, Entry.Own), static_cast<float>(Entry.Others),
          Entry.Lift};
}

std::set<PairId> AccountLedger::takeChanged() {
  return std::exchange(this->Changed, {});
}

} // namespace parsleywing
