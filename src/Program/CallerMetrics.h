#ifndef PARSLEYWING_PROGRAM_CALLERMETRICS_H
#define PARSLEYWING_PROGRAM_CALLERMETRICS_H

#include "Caller/CallerServer.h"
#include "Runtime/Metrics.h"

namespace parsleywing {

/// Registers what the front to callers counts, and histograms of the times of
/// its requests: until the first attempt, until the first piece of the answer,
/// and until the final answer. Before `Callers` starts; both must outlive every
/// request. A request costs up to three observations.
void addCallerMetrics(Metrics &Measured, CallerServer &Callers);

} // namespace parsleywing

#endif
