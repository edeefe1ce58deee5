#ifndef PARSLEYWING_DECISION_FAIRNESS_ACCOUNTLEDGER_H
#define PARSLEYWING_DECISION_FAIRNESS_ACCOUNTLEDGER_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// Computes the name of an (account, service) pair in messages and tables.
PairId pairOf(AccountId Account, ServiceId Service);

/// The virtual time of one account at one service, as this router knows it: the
/// tokens charged to the account divided by its share, with the adjustments
/// below.
struct LedgerEntry {
  AccountId Account;
  ServiceId Service;
  double Share = 1;
  /// Tokens charged by this process.
  double Own = 0;
  /// Tokens charged by all other processes, as in the last reply of the home.
  double Others = 0;
  /// Tokens per share added for idle times. Merged by maximum at the home and
  /// at all entry routers.
  float Lift = 0;
  /// Tokens per share of debt that this router has forgiven.
  double Forgiven = 0;
  /// Tokens per share that are used until the home replies. Never sent: on top
  /// of a total that the home reports later, they would be counted twice.
  double Provisional = 0;
  /// Whether the reply of the home is recent enough to base a permanent
  /// increase of the virtual time on it.
  bool Confirmed = false;
  /// When the last reply of the home was received.
  TimePoint ConfirmedAt;
  /// Tokens charged for requests that have not ended.
  double InFlight = 0;
  std::uint32_t RequestsInFlight = 0;

  /// Tokens per share.
  double virtualTime() const {
    return (this->Own + this->Others) / this->Share + this->Lift +
           this->Provisional - this->Forgiven;
  }

  friend class AccountLedger;

private:
  RouterId Home;
  Incarnation HomeIncarnation = 0;
  std::uint32_t ReplySequence = 0;
};

/// The virtual times of the accounts whose requests entered the fleet at this
/// router. The tokens charged by this process are kept for its lifetime,
/// because a contribution that omitted some of them would look like a refund.
/// Each operation costs one lookup.
class AccountLedger {
public:
  /// Finds or creates the entry.
  LedgerEntry &open(AccountId Account, ServiceId Service, double Share);

  /// Returns null if no request of the pair has entered here.
  LedgerEntry *find(PairId Pair);
  LedgerEntry &at(PairId Pair);

  /// Adds to, or subtracts from, the tokens charged by this process.
  void charge(PairId Pair, double Change);

  /// Limits the virtual time of a pair that becomes active again: at least
  /// `VirtualTime`, at most `MaxDebt` above it.
  void reenter(PairId Pair, double VirtualTime, double MaxDebt);

  /// Keeps the virtual time of a backlogged pair within `MaxDebt` of `Median`,
  /// so that differences left by a partition are paid back in bounded time.
  void bound(PairId Pair, double Median, double MaxDebt);

  /// Raises the virtual time to `Floor` if it is lower.
  void raiseTo(PairId Pair, double Floor);

  /// Changes the share without changing the virtual time.
  void setShare(PairId Pair, double Share);

  /// Applies a reply of the home, unless a newer one of the same home process
  /// has been applied.
  bool applyReply(TimePoint Now, RouterId Home, Incarnation IncarnationNumber,
                  std::uint32_t Sequence, const ContributionReply &Reply);

  /// Treats the last reply of the home as outdated until the next one.
  void markUnconfirmed(PairId Pair);

  Contribution contributionOf(PairId Pair) const;

  /// Returns the pairs whose contribution has changed since the last call, in
  /// ascending order.
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
