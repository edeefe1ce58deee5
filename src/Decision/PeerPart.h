#ifndef PARSLEYWING_DECISION_PEERPART_H
#define PARSLEYWING_DECISION_PEERPART_H

#include "Decision/Configuration/ConfigurationMessages.h"
#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/MembershipTypes.h"
#include "Decision/Servers/ServerNotice.h"

#include <variant>

namespace parsleywing {

/// One message from a decision module of one router to the same module of
/// another. Several travel in one datagram. An alternative is known on the
/// wire by its index, so new ones are appended at the end.
using PeerPart = std::variant<MembershipMessage, FairMessage,
                              ConfigurationMessage, ServerNotices>;

/// A part came from a router process; the transport checked its origin.
struct PeerPartReceived {
  RouterId From;
  Incarnation IncarnationNumber = 0;
  PeerPart Part;
  /// IP:port it came from; empty for bulk.
  std::string Address;
};

/// Asks the transport to send a part. It may be lost, late or doubled.
struct SendToPeer {
  RouterId To;
  PeerPart Part;
  bool Urgent = false; ///< Leaves within about 2 ms, before other parts.
  bool Bulk = false;   ///< Too large for a datagram: goes over TCP.
};

} // namespace parsleywing

#endif
