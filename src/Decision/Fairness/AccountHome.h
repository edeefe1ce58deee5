#ifndef PARSLEYWING_DECISION_FAIRNESS_ACCOUNTHOME_H
#define PARSLEYWING_DECISION_FAIRNESS_ACCOUNTHOME_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"

#include <map>
#include <unordered_map>

namespace parsleywing {

/// Adds up what all routers charged the accounts whose home is here. Costs one
/// look-up and a pass over the pair's routers for each contribution.
class AccountHome {
public:
  explicit AccountHome(Duration TakeoverTime) : Takeover(TakeoverTime) {}

  /// Counts the contribution unless a newer one of that process came before,
  /// and gives what the sender is to be told.
  ContributionReply applyContribution(TimePoint Now, RouterId From,
                                      Incarnation Life, std::uint32_t Version,
                                      const Contribution &Said);

  /// Forgets the pairs whose home is elsewhere now. If they come back, old
  /// parts would make the total too small; an empty start takes over instead.
  template <typename Predicate> void keepOnly(Predicate IsHere) {
    std::erase_if(this->Totals,
                  [&](const auto &Entry) { return !IsHere(Entry.first); });
  }

  std::size_t pairs() const { return this->Totals.size(); }

private:
  struct Part {
    Incarnation IncarnationNumber = 0;
    std::uint32_t Version = 0;
    double Tokens = 0;
  };
  struct Total {
    std::map<RouterId, Part> Parts;
    /// Tokens of processes that are gone or never reported here.
    double Base = 0;
    /// The largest total that an entry router believed during the takeover.
    double Believed = 0;
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
