#ifndef PARSLEYWING_DECISION_FAIRNESS_ACCOUNTLEDGER_H
#define PARSLEYWING_DECISION_FAIRNESS_ACCOUNTLEDGER_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// The name of an (account, service) pair in messages and tables.
PairId pairOf(AccountId Account, ServiceId Service);

/// Where one account stands in the virtual time of one service, as this
/// router knows it.
struct LedgerEntry {
  AccountId Account;
  ServiceId Service;
  double Share = 1;
  /// Tokens this process charged.
  double Own = 0;
  /// Tokens all other processes charged, as the home last said.
  double Others = 0;
  /// Tokens a share added for idle times. Merged by maximum everywhere.
  float Lift = 0;
  /// Tokens a share of debt that this router forgave.
  double Forgiven = 0;
  /// Tokens a share that stand in for what the home has not yet told. Never
  /// sent: added to a total that comes later, they would count twice.
  double Provisional = 0;
  /// Whether the home's word is recent enough to lift the position for good.
  bool Confirmed = false;
  /// When the home answered last.
  TimePoint ConfirmedAt;
  /// Tokens charged for requests that are not over.
  double InFlight = 0;
  std::uint32_t RequestsInFlight = 0;

  /// In tokens a share.
  double virtualTime() const {
    return (this->Own + this->Others) / this->Share + this->Lift +
           this->Provisional - this->Forgiven;
  }

  friend class AccountLedger;

private:
  RouterId Home;
  Incarnation HomeIncarnation = 0;
  std::uint32_t AnswerSequence = 0;
};

/// The positions of the accounts that entered here. It keeps what this process
/// charged for as long as it lives, because a contribution that forgot some of
/// it would look like a refund. Each operation costs one look-up.
class AccountLedger {
public:
  /// Finds or makes the position.
  LedgerEntry &open(AccountId Account, ServiceId Service, double Share);

  /// Nothing where the pair never entered here.
  LedgerEntry *find(PairId Pair);
  LedgerEntry &at(PairId Pair);

  /// Adds to, or takes back from, what this process charged.
  void charge(PairId Pair, double Change);

  /// Brings a position that re-enters within the bounds: at least the virtual
  /// time, at most MaxDebt ahead of it.
  void reenter(PairId Pair, double VirtualTime, double MaxDebt);

  /// Keeps a backlogged position within MaxDebt of the others, so that what a
  /// partition left is paid back in bounded time.
  void bound(PairId Pair, double Middle, double MaxDebt);

  /// Raises a position that lies below the floor.
  void raiseTo(PairId Pair, double Floor);

  /// Keeps the position where it is while the share changes.
  void setShare(PairId Pair, double Share);

  /// Takes a home's answer unless a newer one of the same home came before.
  bool applyReply(TimePoint Now, RouterId Home, Incarnation Life,
                  std::uint32_t Sequence, const ContributionReply &Answer);

  /// From now on the home's last word counts as old, until it answers again.
  void markUnconfirmed(PairId Pair);

  Contribution contributionOf(PairId Pair) const;

  /// The pairs charged or lifted since the last call, in order.
  std::set<PairId> takeChanged();

  const std::unordered_map<PairId, LedgerEntry> &all() const {
    return this->Entries;
  }

private:
  std::unordered_map<PairId, LedgerEntry> Entries;
  std::set<PairId> Changed;
};

} // namespace parsleywing

#endif
