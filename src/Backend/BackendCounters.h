#ifndef PARSLEYWING_BACKEND_BACKENDCOUNTERS_H
#define PARSLEYWING_BACKEND_BACKENDCOUNTERS_H

#include "Decision/Request/RequestTypes.h"

#include <atomic>
#include <cstdint>

namespace parsleywing {

/// What the package counts, from the start of the process. Every thread adds;
/// whoever exports metrics reads. One object for a process.
struct BackendCounters {
  using Count = std::atomic<std::uint64_t>;

  Count Attempts{0};            ///< Calls begun, resumed ones included.
  Count Resumes{0};             ///< Calls that took a broken stream up again.
  Count NotSent{0};             ///< Ended before a byte can have left.
  Count Rejected{0};            ///< The server said that it did not run them.
  Count Interrupted{0};         ///< Broke after the request may have left.
  Count Cancelled{0};           ///< Ended on this router's order.
  Count CallersDisconnected{0}; ///< Ended because the caller was gone.
  Count RepeatedEvents{0};      ///< Events seen before; dropped.
  Count MissingEvents{0};       ///< Gaps in the numbering; ended the attempt.
  Count ForeignEvents{0};       ///< Events of another response; dropped.
  Count WrongIdentities{0};     ///< Answers to another request; dropped.
  Count TruncatedStreams{0};    ///< Streams that ended before their last event.
  Count MalformedEvents{0};  ///< Events that do not follow the published form.
  Count OversizedEvents{0};  ///< Events beyond the limit of size.
  Count MissingUsages{0};    ///< Whole answers that did not state their cost.
  Count ProgressTimeouts{0}; ///< Attempts ended by lack of progress.
  Count SuspectServers{0};   ///< Silences after which the probe failed too.
  Count PooledConnectionsBroken{0}; ///< Broke before the first answer byte.
  Count CancelOrders{0};            ///< Cancels that an engine confirmed.
  Count CancelOrdersFailed{0}; ///< Cancels without an answer, or without an id.
  Count EventBytes{0};         ///< Bytes received in streamed answers.
  Count PollCalls{0};          ///< Load reports and probes asked for.
  Count PollBytes{0};          ///< Bytes of these in both directions.
  Count PollFailures{0};       ///< Load reports that did not come.
  Count OrderCalls{0};  ///< Orders to engines and checks of their report.
  Count StaleOrders{0}; ///< Orders refused for an old fencing number.

  /// Counts how an attempt ended. Whole answers are those of `Attempts` that
  /// no other outcome counts.
  void countOutcome(AttemptOutcome Outcome);
};

} // namespace parsleywing

#endif
