#ifndef PARSLEYWING_PROGRAM_ROUTER_H
#define PARSLEYWING_PROGRAM_ROUTER_H

#include "Program/Settings.h"

namespace parsleywing {

/// Runs a router until it is asked to stop, by SIGTERM or SIGINT. Fails where
/// it cannot start.
Result<void> runRouter(const Settings &Wanted);

} // namespace parsleywing

#endif
