#ifndef PARSLEYWING_DECISION_FAIRNESS_OUTBOX_H
#define PARSLEYWING_DECISION_FAIRNESS_OUTBOX_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"

#include <map>
#include <set>
#include <vector>

namespace parsleywing {

/// What is to be said to each peer, by name only: the figures are filled in
/// when the message leaves, so that a name noted twice costs nothing and what
/// leaves is never old.
class Outbox {
public:
  struct Letter {
    bool Urgent = false;
    TimePoint Since;
    std::set<ServiceId> Digests;
    std::set<PairId> Contributions;
    std::map<PairId, PositionAnswer> Answers;
    std::set<ServerId> Grants;
    std::set<ServerId> Reports;
  };

  /// The letter to this peer, begun if there is none. An urgent one leaves at
  /// the next tick.
  Letter &to(TimePoint Now, RouterId Peer, bool Urgent);

  /// Takes out the letters that are urgent or have waited for so long.
  std::map<RouterId, Letter> takeDue(TimePoint Now, Duration Interval);

  void dropGone(const View &Current);

private:
  std::map<RouterId, Letter> Letters;
};

} // namespace parsleywing

#endif
