#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTENTRY_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTENTRY_H

#include "Decision/Request/RequestState.h"
#include "Decision/Request/RequestTypes.h"

namespace parsleywing {

/// How a request stands to the run record of its key.
enum class RecordOwnership {
  None,          ///< It needs none, or another request has it.
  ClaimPending,  ///< A claim is under way and may take effect at any time.
  Held,          ///< The record bears this request's identity.
  HeldElsewhere, ///< The router that handed the request over holds it.
};

/// What the table knows of one open request.
struct RequestEntry {
  RequestDescription Description;
  RequestState State = RequestState::Received;
  RecordOwnership Record = RecordOwnership::None;

  /// The number given out last, to an attempt, a resumption or a hand-over.
  AttemptNumber Attempt = 0;
  /// The attempt whose stream the current one fetches; itself for a start.
  AttemptNumber OriginalAttempt = 0;
  ServerId Server;
  std::uint64_t Tokens = 0;
  std::uint64_t Offset = 0;

  std::uint32_t Starts = 0;
  std::uint32_t Resumes = 0;
  std::uint32_t HandOvers = 0;

  /// The attempt given out last has not been reported as ended.
  bool InFlight = false;
  /// Of that attempt: it was reported as sent, and as generating.
  bool SentReported = false;
  bool Progressed = false;
  /// It counts against its server in the scheduler.
  bool HasSlot = false;
  /// An attempt that is over may have run. Never taken back.
  bool MayHaveRun = false;

  bool isResume() const { return this->OriginalAttempt != this->Attempt; }

  /// An engine knows the stream, and the rest of it can be of use. A
  /// repeatable request of which nothing was passed on is better started anew.
  bool isWorthResuming() const {
    return this->Description.Kind == ServiceKind::Engine &&
           (this->Offset > 0 || !this->Description.Repeatable);
  }
};

} // namespace parsleywing

#endif
