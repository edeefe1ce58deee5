#ifndef PARSLEYWING_DECISION_FAIRNESS_ACCOUNTHOME_H
#define PARSLEYWING_DECISION_FAIRNESS_ACCOUNTHOME_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"

#include <map>
#include <unordered_map>

namespace parsleywing {

/// Aggregates the tokens that all routers charged to the (account, service)
/// pairs whose home is this router. Each contribution costs one lookup and a
/// pass over the routers that charge the pair.
class AccountHome {
public:
  explicit AccountHome(Duration TakeoverTime) : Takeover(TakeoverTime) {}

  /// Records the contribution, unless a newer one of the same process has been
  /// recorded, and returns the reply to the sender.
  ContributionReply applyContribution(TimePoint Now, RouterId From,
                                      Incarnation IncarnationNumber,
                                      std::uint32_t Version,
                                      const Contribution &Received);

  /// Removes the pairs whose home is now another router. If such a pair
  /// returned, its old contributions would make the total too small; a new
  /// entry takes the total over from the entry routers instead.
  template <typename Predicate> void keepOnly(Predicate IsHere) {
    std::erase_if(this->Totals,
                  [&](const auto &Entry) { return !IsHere(Entry.first); });
  }

  std::size_t pairs() const { return this->Totals.size(); }

private:
  struct RouterTotal {
    Incarnation IncarnationNumber = 0;
    std::uint32_t Version = 0;
    double Tokens = 0;
  };
  struct Total {
    std::map<RouterId, RouterTotal> RouterTotals;
    /// Tokens charged by processes that have ended, or that never reported to
    /// this home.
    double Base = 0;
    /// The largest total that an entry router reported during the takeover.
    double MaxReported = 0;
    bool TakingOver = true;
    TimePoint Since;
    float Lift = 0;

    double sum() const;
  };

  Duration Takeover;
  std::unordered_map<PairId, Total> Totals;
};

} // namespace parsleywing

#endif
