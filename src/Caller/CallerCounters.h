#ifndef PARSLEYWING_CALLER_CALLERCOUNTERS_H
#define PARSLEYWING_CALLER_CALLERCOUNTERS_H

#include "Caller/Problem.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace parsleywing {

/// Counters of the caller-facing server since the start of the process. All
/// members are atomic and may be accessed from any thread.
struct CallerCounters {
  using Count = std::atomic<std::uint64_t>;

  /// Final responses, indexed by `RequestOutcome`.
  std::array<Count, RequestOutcomeNames.size()> RequestsByOutcome{};
  /// Error responses, indexed by `ProblemType`. A request that exceeds a limit
  /// is counted under the problem that it is answered with.
  std::array<Count, ProblemTypeNames.size()> ProblemsByType{};

  Count ConnectionsAccepted{0};
  Count ConnectionsOpen{0};
  /// Connections rejected with 503 because all threads were in use.
  Count ConnectionsRefused{0};
  /// Connections closed because no request arrived within `IdleTimeout`.
  Count ConnectionsIdleClosed{0};
  /// Callers that disconnected before their final response.
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
