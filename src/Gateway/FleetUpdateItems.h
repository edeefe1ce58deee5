#ifndef PARSLEYWING_GATEWAY_FLEETUPDATEITEMS_H
#define PARSLEYWING_GATEWAY_FLEETUPDATEITEMS_H

#include "Gateway/FleetHistory.h"
#include "Gateway/FleetSource.h"
#include "Placement/RouterMessages.h"

#include <cstddef>
#include <vector>

namespace parsleywing {

/// The changes after a revision, the oldest first. Configurations are left out,
/// since one is too large for a datagram; its revision is sent instead.
std::vector<FleetUpdateItem> itemsAfter(const FleetHistory &History,
                                        Revision Seen);

/// The end of the changes that go into one message. Changes of one revision
/// stay together, even if they need a datagram of several packets: the loss of
/// one message out of several with the same revision could not be detected.
std::size_t endOfMessage(const std::vector<FleetUpdateItem> &Items,
                         std::size_t First);

/// The change that an item describes. Throws `Poco::Exception` for an invalid
/// address or an unknown kind.
FleetChange changeOf(const FleetUpdateItem &Item);

} // namespace parsleywing

#endif
