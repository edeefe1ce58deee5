#ifndef PARSLEYWING_DECISION_PEERPART_H
#define PARSLEYWING_DECISION_PEERPART_H

#include "Decision/Configuration/ConfigurationMessages.h"
#include "Decision/Crashes/CrashFacts.h"
#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/MembershipTypes.h"
#include "Decision/Servers/ServerNotice.h"

#include <variant>

namespace parsleywing {

/// One message from a decision module of one router to the same module of
/// another. A datagram may contain several. The wire format identifies an
/// alternative by its index, so new ones are appended at the end.
using PeerPart = std::variant<MembershipMessage, FairMessage,
                              ConfigurationMessage, ServerNotices, CrashFacts>;

/// A part arrived from a router process. The transport has verified its origin.
struct PeerPartReceived {
  RouterId From;
  Incarnation IncarnationNumber = 0;
  PeerPart Part;
  /// IP:port of the sender; empty for bulk messages.
  std::string Address;
};

/// Sends a part to another router. It may be lost, delayed or duplicated.
struct SendToPeer {
  RouterId To;
  PeerPart Part;
  bool Urgent = false; ///< Sent within about 2 ms, before other parts.
  bool Bulk = false;   ///< Too large for a datagram; sent over TCP.
};

} // namespace parsleywing

#endif
