#ifndef PARSLEYWING_PROGRAM_FLEETGENERATION_H
#define PARSLEYWING_PROGRAM_FLEETGENERATION_H

#include "Program/PlatformDeclarations.h"

#include <vector>

namespace parsleywing {

/// A live router that is not known to have reached a generation.
struct LaggingRouter {
  std::string Name;
  /// Its response, or why there is none, as text for operators.
  std::string Reason;
};

/// Waits until every router that holds a lease in the store reports at its
/// operator address that this generation or a later one is active. The list is
/// read again every second, so that routers that start in the meantime are
/// included and those whose lease has expired are not. Returns the routers that
/// lag or do not answer when the timeout passes; none if all have the
/// generation. Fails if the list could never be read. A router that died counts
/// as live until its lease expires.
Result<std::vector<LaggingRouter>>
waitForGeneration(const PlatformEndpoint &Platform, std::uint64_t Generation,
                  Duration Timeout);

} // namespace parsleywing

#endif
