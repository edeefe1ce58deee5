#ifndef PARSLEYWING_GATEWAY_FLEETUPDATEITEMS_H
#define PARSLEYWING_GATEWAY_FLEETUPDATEITEMS_H

#include "Gateway/FleetHistory.h"
#include "Gateway/FleetSource.h"
#include "Placement/RouterMessages.h"

#include <cstddef>
#include <vector>

namespace parsleywing {

/// The messages that bring a router from a revision, from which on the history
/// is complete for it, to the newest one. At most `MaxMessages`, the oldest
/// changes first. Configurations are left out, since one is too large for a
/// datagram; its revision is sent instead.
///
/// Changes of one revision stay together, even if they need a datagram of
/// several packets: the loss of one message out of several with the same
/// revision could not be detected. The same holds for the differences behind a
/// gap.
std::vector<FleetUpdate> updatesAfter(const FleetHistory &History,
                                      Revision Seen, Revision Newest,
                                      std::size_t MaxMessages);

/// The change that an item describes. Throws `Poco::Exception` for an invalid
/// address or an unknown kind.
FleetChange changeOf(const FleetUpdateItem &Item);

} // namespace parsleywing

#endif
