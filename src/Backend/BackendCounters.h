#ifndef PARSLEYWING_BACKEND_BACKENDCOUNTERS_H
#define PARSLEYWING_BACKEND_BACKENDCOUNTERS_H

#include "Decision/Request/RequestTypes.h"

#include <atomic>
#include <cstdint>

namespace parsleywing {

/// Counters of this package since the start of the process. Atomic; updated by
/// all threads and read by the metrics export. One object per process.
struct BackendCounters {
  using Count = std::atomic<std::uint64_t>;

  Count Attempts{0};       ///< Attempts started, including resumed ones.
  Count Resumes{0};        ///< Attempts that resumed an interrupted stream.
  Count VersionChanges{0}; ///< Resumed streams that met other software.
  Count NotSent{0};        ///< Failed before any byte was sent.
  Count Rejected{0};    ///< The server stated that it did not run the request.
  Count Interrupted{0}; ///< Failed after the request may have been sent.
  Count Cancelled{0};   ///< Cancelled by this router.
  Count CallersDisconnected{0}; ///< Ended because the caller disconnected.
  Count RepeatedEvents{0};      ///< Duplicate events; dropped.
  Count MissingEvents{0};    ///< Gaps in the sequence numbers; end the attempt.
  Count ForeignEvents{0};    ///< Events of another response; dropped.
  Count WrongIdentities{0};  ///< Responses to another request; dropped.
  Count TruncatedStreams{0}; ///< Streams that ended before their last event.
  Count MalformedEvents{0};  ///< Events that violate the published format.
  Count OversizedEvents{0};  ///< Events larger than the limit.
  Count MissingUsages{0};    ///< Complete responses without a token count.
  Count ProgressTimeouts{0}; ///< Attempts ended because of no progress.
  Count SuspectServers{0};   ///< Timeouts after which the probe failed too.
  Count PooledConnectionsBroken{0}; ///< Failed before the first response byte.
  Count CancelOrders{0};            ///< Cancel calls confirmed by an engine.
  Count CancelOrdersFailed{0}; ///< Cancel calls that failed or lacked an id.
  Count EventBytes{0};         ///< Bytes received in streamed responses.
  Count PollCalls{0};          ///< Load reports and probes requested.
  Count PollBytes{0};          ///< Bytes of these calls in both directions.
  Count PollFailures{0};       ///< Load reports and probes that failed.
  Count OrderCalls{0};  ///< Orders to engines and reads of their model lists.
  Count StaleOrders{0}; ///< Orders refused because of an old fencing number.

  /// Counts the outcome of an attempt. Complete responses have no counter: they
  /// are the `Attempts` that no other outcome counts.
  void countOutcome(AttemptOutcome Outcome);
};

} // namespace parsleywing

#endif
