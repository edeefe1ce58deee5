#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTCOUNTERS_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTCOUNTERS_H

#include "Decision/Request/RequestTypes.h"

#include <Poco/JSON/Object.h>
#include <array>

namespace parsleywing {

/// What the table of requests has done since its process started.
struct RequestCounters {
  std::uint64_t Arrived = 0;
  /// Final answers, by outcome and by reason, in the order of their values.
  std::array<std::uint64_t, RequestOutcomeNames.size()> Outcomes{};
  std::array<std::uint64_t, ResponseReasonNames.size()> Reasons{};
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Resumes = 0;
  std::uint64_t HandOvers = 0;
  /// Waiting requests that made room for another account's.
  std::uint64_t Shed = 0;
  /// Attempts cancelled since they stood still.
  std::uint64_t StalledAttempts = 0;
  /// Events of an attempt or a request that was over, or said twice.
  std::uint64_t DroppedEvents = 0;
  /// Slots given back though the end of their attempt was never reported.
  std::uint64_t CancelTimeouts = 0;
  std::uint64_t Claims = 0;
  std::uint64_t ClaimsUnanswered = 0;
  /// Repeats of a key recognised here, without the store.
  std::uint64_t KeyCacheHits = 0;

  std::uint64_t of(RequestOutcome Outcome) const {
    return this->Outcomes[static_cast<std::size_t>(Outcome)];
  }
  std::uint64_t of(ResponseReason Reason) const {
    return this->Reasons[static_cast<std::size_t>(Reason)];
  }

  void countFinished(RequestOutcome Outcome, ResponseReason Reason) {
    ++this->Outcomes[static_cast<std::size_t>(Outcome)];
    ++this->Reasons[static_cast<std::size_t>(Reason)];
  }

  Poco::JSON::Object::Ptr dump() const;
};

} // namespace parsleywing

#endif
