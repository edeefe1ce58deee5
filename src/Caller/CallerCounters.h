#ifndef PARSLEYWING_CALLER_CALLERCOUNTERS_H
#define PARSLEYWING_CALLER_CALLERCOUNTERS_H

#include "Caller/Problem.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace parsleywing {

/// What happened at the front to callers since the start of the process.
/// Every member may be read and raised from any thread.
struct CallerCounters {
  using Count = std::atomic<std::uint64_t>;

  /// Final answers by `RequestOutcome`, in the order of its values.
  std::array<Count, RequestOutcomeNames.size()> RequestsByOutcome{};
  /// Error answers by `ProblemType`, in the order of its values. A limit that
  /// is met is counted here under the problem that answers it.
  std::array<Count, ProblemTypeNames.size()> ProblemsByType{};

  Count ConnectionsAccepted{0};
  Count ConnectionsOpen{0};
  /// Connections answered with 503 for want of a thread.
  Count ConnectionsRefused{0};
  /// Connections closed after `IdleTimeout` without a request.
  Count ConnectionsIdleClosed{0};
  /// Callers noticed to be gone before their final answer.
  Count CallersDisconnected{0};
  Count BytesReceived{0};
  Count BytesSent{0};

  void countOutcome(RequestOutcome Outcome) {
    ++this->RequestsByOutcome[static_cast<std::size_t>(Outcome)];
  }
  void countProblem(ProblemType Type) {
    ++this->ProblemsByType[static_cast<std::size_t>(Type)];
  }
  std::uint64_t problems(ProblemType Type) const {
    return this->ProblemsByType[static_cast<std::size_t>(Type)];
  }
};

} // namespace parsleywing

#endif
