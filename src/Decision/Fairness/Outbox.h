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
  /// What is not urgent waits for `FlushInterval` to share a datagram.
  explicit Outbox(Duration FlushInterval) : Flush(FlushInterval) {}

  struct PendingMessage {
    bool Urgent = false;
    TimePoint Due;
    std::set<ServiceId> Digests;
    std::set<PairId> Contributions;
    std::map<PairId, ContributionReply> Replies;
    std::set<ServerId> Grants;
    std::set<ServerId> Reports;
  };

  /// The letter to this peer, begun if there is none. An urgent one leaves when
  /// the event that caused it has been handled.
  PendingMessage &to(TimePoint Now, RouterId Peer, bool Urgent);

  /// Whether anything should leave at once.
  bool anyUrgent() const { return this->Urgent; }

  /// Takes out the letters that are urgent or due.
  std::map<RouterId, PendingMessage> takeDue(TimePoint Now);

  void dropGone(const View &Current);

private:
  Duration Flush;
  std::map<RouterId, PendingMessage> Messages;
  bool Urgent = false;
};

} // namespace parsleywing

#endif
