#ifndef PARSLEYWING_GATEWAY_FLEETNEWSITEMS_H
#define PARSLEYWING_GATEWAY_FLEETNEWSITEMS_H

#include "Gateway/FleetSource.h"
#include "Placement/RouterMessages.h"

#include <cstddef>
#include <vector>

namespace parsleywing {

/// The changes behind a revision, the oldest first. A configuration is too
/// large for a datagram; its revision is told instead.
std::vector<FleetUpdateItem> itemsAfter(const FleetHistory &History,
                                        Revision Seen);

/// The end of the changes that go into one message. Those of one step of the
/// store stay together, also where they need a datagram of several packets:
/// that a message of a step was lost could not be seen from its neighbours.
std::size_t endOfMessage(const std::vector<FleetUpdateItem> &Items,
                         std::size_t First);

/// The change that a relay has told of. Throws the library's errors for an
/// address that is none, and for an unknown kind.
FleetChange changeOf(const FleetUpdateItem &Item);

} // namespace parsleywing

#endif
