#ifndef PARSLEYWING_DECISION_FAIRNESS_OUTBOX_H
#define PARSLEYWING_DECISION_FAIRNESS_OUTBOX_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"

#include <map>
#include <set>
#include <vector>

namespace parsleywing {

/// The data that is to be sent to each peer, by name only. The values are
/// filled in when the message is sent, so that data added twice is sent once
/// and is always up to date.
class Outbox {
public:
  /// Data that is not urgent waits for `FlushInterval` to share a datagram.
  explicit Outbox(Duration FlushInterval) : FlushDelay(FlushInterval) {}

  struct PendingMessage {
    bool Urgent = false;
    TimePoint Due;
    std::set<ServiceId> Digests;
    std::set<PairId> Contributions;
    std::map<PairId, ContributionReply> Replies;
    std::set<ServerId> Grants;
    std::set<ServerId> Reports;
  };

  /// Returns the message to this peer and creates it if necessary. An urgent
  /// message is sent as soon as the event that caused it has been handled.
  PendingMessage &to(TimePoint Now, RouterId Peer, bool Urgent);

  /// Whether any message must be sent immediately.
  bool anyUrgent() const { return this->Urgent; }

  /// Removes and returns the messages that are urgent or due.
  std::map<RouterId, PendingMessage> takeDue(TimePoint Now);

  void dropGone(const View &Current);

private:
  Duration FlushDelay;
  std::map<RouterId, PendingMessage> Messages;
  bool Urgent = false;
};

} // namespace parsleywing

#endif
