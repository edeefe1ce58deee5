#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTENTRY_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTENTRY_H

#include "Decision/Request/RequestState.h"
#include "Decision/Request/RequestTypes.h"

namespace parsleywing {

/// Who owns the run record of a request's idempotency key.
enum class RecordOwnership {
  None,          ///< The request needs none, or another request owns it.
  ClaimPending,  ///< A claim is in progress and may take effect at any time.
  Held,          ///< The record has this request's identity.
  HeldElsewhere, ///< The router that handed the request over owns it.
};

/// What a request has of the retry budget for an attempt after its first.
enum class RetryReservation {
  None,     ///< Nothing is reserved.
  Reserved, ///< A retry is reserved and has not been sent.
  Sent,     ///< The retry was sent and may not have reached its server.
};

/// The state of one open request.
struct RequestEntry {
  RequestDescription Description;
  RequestState State = RequestState::Received;
  RecordOwnership Record = RecordOwnership::None;

  /// The number of the last attempt, resumption or hand-over.
  AttemptNumber Attempt = 0;
  /// The attempt whose stream the current one resumes; the current one itself
  /// if it is no resumption.
  AttemptNumber OriginalAttempt = 0;
  ServerId Server;
  std::uint64_t Tokens = 0;
  std::uint64_t Offset = 0;

  std::uint32_t Starts = 0;
  std::uint32_t Resumes = 0;
  std::uint32_t HandOvers = 0;

  /// The end of the last attempt has not been reported.
  bool InFlight = false;
  /// The last attempt has been reported as sent.
  bool SentReported = false;
  /// The last attempt has been reported as generating.
  bool Progressed = false;
  /// It occupies a slot of its server in the scheduler.
  bool HasSlot = false;
  RetryReservation Retry = RetryReservation::None;
  /// An ended attempt may have run. Never reset.
  bool MayHaveRun = false;

  /// The time until a paused server may be used again.
  Duration PauseLeft{0};

  bool isResume() const { return this->OriginalAttempt != this->Attempt; }

  /// Whether an engine knows the stream and the rest of it is useful. A
  /// repeatable request is restarted instead if nothing has been forwarded.
  bool isWorthResuming() const {
    return this->Description.Kind == ServiceKind::Engine &&
           (this->Offset > 0 || !this->Description.Repeatable);
  }
};

} // namespace parsleywing

#endif
