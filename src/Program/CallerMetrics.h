#ifndef PARSLEYWING_PROGRAM_CALLERMETRICS_H
#define PARSLEYWING_PROGRAM_CALLERMETRICS_H

#include "Caller/CallerServer.h"
#include "Runtime/Metrics.h"

namespace parsleywing {

/// Registers the counters of the caller server, and histograms of the time of a
/// request until its first attempt, until the first chunk of the response and
/// until the final response. Call before `Callers` starts; both arguments must
/// outlive every request. Adds up to three observations per request.
void addCallerMetrics(Metrics &Registry, CallerServer &Callers);

} // namespace parsleywing

#endif
