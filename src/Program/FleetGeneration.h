#ifndef PARSLEYWING_PROGRAM_FLEETGENERATION_H
#define PARSLEYWING_PROGRAM_FLEETGENERATION_H

#include "Program/PlatformDeclarations.h"

#include <vector>

namespace parsleywing {

/// A live router that is not known to have a generation in force.
struct LaggingRouter {
  std::string Name;
  /// What it answered, or why there is no answer; for a person.
  std::string Reason;
};

/// Waits until every router that holds a lease in the store says at its
/// operator address that this generation or a later one is in force there. The
/// list is read anew each second, so one that starts meanwhile is waited for,
/// and one whose lease has lapsed is not. Gives the routers that are behind or
/// do not answer when the time is over; none where all have it. An error where
/// the list could not be read once. A router that died counts as live until
/// its lease lapses.
Result<std::vector<LaggingRouter>>
waitForGeneration(const PlatformEndpoint &Platform, std::uint64_t Generation,
                  Duration Wait);

} // namespace parsleywing

#endif
