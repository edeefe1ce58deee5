#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTCOUNTERS_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTCOUNTERS_H

#include "Decision/Request/RequestTypes.h"

#include <Poco/JSON/Object.h>
#include <array>

namespace parsleywing {

/// Counters of the request table since the start of the process.
struct RequestCounters {
  std::uint64_t Arrived = 0;
  /// Final responses by outcome and by reason, indexed by enum value.
  std::array<std::uint64_t, RequestOutcomeNames.size()> Outcomes{};
  std::array<std::uint64_t, ResponseReasonNames.size()> Reasons{};
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  /// Retries that were charged to the retry budget, and those that it denied.
  std::uint64_t RetriesCharged = 0;
  std::uint64_t RetriesDenied = 0;
  std::uint64_t Resumes = 0;
  std::uint64_t HandOvers = 0;
  /// Waiting requests refused in favour of another account's.
  std::uint64_t Shed = 0;
  /// Attempts cancelled for lack of progress.
  std::uint64_t StalledAttempts = 0;
  /// Duplicate events, and events of ended attempts or requests.
  std::uint64_t DroppedEvents = 0;
  /// Attempts whose end was not reported within the cancel timeout.
  std::uint64_t CancelTimeouts = 0;
  std::uint64_t Claims = 0;
  std::uint64_t ClaimsUnanswered = 0;
  /// Duplicates of a key recognised here, without the store.
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
