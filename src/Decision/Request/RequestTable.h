#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTTABLE_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTTABLE_H

#include "Decision/Actions.h"
#include "Decision/Events.h"
#include "Decision/Request/AdmissionRate.h"
#include "Decision/Request/DrainPlan.h"
#include "Decision/Request/IdempotencyKeyCache.h"
#include "Decision/Request/LoadShedder.h"
#include "Decision/Request/RequestCounters.h"
#include "Decision/Request/RequestEntry.h"
#include "Decision/Request/RetryBudget.h"
#include "Decision/Request/StallDetector.h"

#include <unordered_map>
#include <variant>
#include <vector>

namespace parsleywing {

/// The scheduler admitted a queued request to a server.
struct RequestAdmitted {
  RequestId Request;
  ServerId Server;
};

/// The content of an open request has crashed several servers, so that the
/// request must not be sent any more.
struct RequestRefused {
  RequestId Request;
};

/// All usable servers of a queued request's service are paused.
struct AllServersPaused {
  RequestId Request;
  /// The time until the first pause ends.
  Duration PauseLeft;
};

/// The events of the request table.
using RequestEvent =
    std::variant<RequestArrived, RequestAdmitted, RequestRefused,
                 AllServersPaused, CallerDisconnected, AttemptSent,
                 AttemptProgressed, AttemptEnded, RunRecordVerdictReceived,
                 HandOverEnded, DeclarationsChanged, ViewChanged, Tick,
                 DrainRequested>;

/// Adds the request to the scheduler's queue.
struct QueueRequest {
  RequestDescription Description;
  /// The server at which it failed last, to be chosen only if no other is
  /// available; zero if there is none.
  ServerId AvoidServer;
};

/// Removes the request from the scheduler's queue.
struct WithdrawRequest {
  RequestId Request;
};

/// Reports the cost of the request so far to the scheduler.
struct ChargeRequest {
  RequestId Request;
  std::uint64_t Tokens;
};

/// Releases the request's slot and reports the total cost of the attempt.
struct ReleaseSlot {
  RequestId Request;
  std::uint64_t Tokens;
};

/// The actions of the request table.
using RequestAction =
    std::variant<QueueRequest, WithdrawRequest, ChargeRequest, ReleaseSlot,
                 StartAttempt, ResumeAttempt, HandOverRequest, CancelAttempt,
                 FinishRequest, ClaimRunRecord, CompleteRunRecord,
                 ReleaseRunRecord, DrainFinished>;

using RequestActions = std::vector<RequestAction>;

/// Keeps the state of every request at this router from its arrival to its one
/// final response. Does no I/O and reads no clock. docs/REQUESTS.md has the
/// table of states and failures.
///
/// An event takes logarithmic time in the number of open requests; a tick
/// without due timers takes a few comparisons.
class RequestTable {
public:
  explicit RequestTable(const RequestSettings &S = {});

  RequestActions handle(TimePoint Now, const RequestEvent &Event);

  /// The number of requests without a final response.
  std::size_t openRequests() const { return this->OpenRequests.size(); }

  const RequestCounters &counters() const { return this->Counters; }

  Poco::JSON::Object::Ptr dump() const;

private:
  /// An attempt that is still running after the final response of its request.
  struct OrphanedAttempt {
    AttemptNumber Attempt;
    std::uint64_t Tokens;
  };

  // RequestTable.cpp: arrival, queueing and the final response.
  void on(const RequestArrived &Event);
  void on(const RequestAdmitted &Event);
  void on(const RequestRefused &Event);
  void on(const AllServersPaused &Event);
  void on(const CallerDisconnected &Event);
  void on(const RunRecordVerdictReceived &Event);
  void on(const DeclarationsChanged &Event);
  void on(const Tick &Event);
  bool refuseDuplicate(const RequestDescription &Description);
  bool refuseByLimits(const RequestDescription &Description);
  void enqueue(RequestEntry &Request);
  void runDueTimers();
  void onStateTimer(RequestEntry &Request);
  void refuse(RequestId Request, RequestOutcome Outcome, ResponseReason Reason);
  void giveUp(RequestEntry &Request, ResponseReason Reason);
  void finish(RequestEntry &Request, RequestOutcome Outcome,
              ResponseReason Reason);
  void updateRunRecord(const RequestEntry &Request, RequestOutcome Outcome);

  // RequestTableAttempts.cpp: from the start of an attempt to its end.
  void on(const AttemptSent &Event);
  void on(const AttemptProgressed &Event);
  void on(const AttemptEnded &Event);
  void onOrphanEnded(const AttemptEnded &Event);
  void onAttemptFailed(RequestEntry &Request, AttemptOutcome Outcome);
  void onStalled(RequestEntry &Request);
  void startAttempt(RequestEntry &Request, RequestState Next);
  void endAttempt(RequestEntry &Request, std::uint64_t Offset);
  bool mayResume(const RequestEntry &Request) const;
  void scheduleResume(RequestEntry &Request);
  void resume(RequestEntry &Request);
  void scheduleRetry(RequestEntry &Request, bool LoadsServer);
  void releaseSlot(RequestEntry &Request);
  bool reserveRetry(RequestEntry &Request);
  /// Whether the request may go on elsewhere if its silent attempt is
  /// cancelled. Reserves the retry that this needs, so that the attempt is not
  /// cancelled in vain.
  bool reserveReplacement(RequestEntry &Request);
  /// Whether a reserved retry may be sent now.
  bool confirmRetry(RequestEntry &Request);
  /// The last attempt has reached its server, or no byte of it was sent.
  void settleRetry(RequestEntry &Request);
  void returnUnsentRetry(RequestEntry &Request);
  /// The router that took the request over may have sent the reserved retry.
  void settleHandedOverRetry(RequestEntry &Request);
  /// Settles or cancels what an ending request has reserved.
  void endRetry(RequestEntry &Request);
  Duration backoff(std::uint32_t FailedAttempts);
  Duration retryAfter(ResponseReason Reason);

  // RequestTableDrain.cpp: graceful shutdown.
  void on(const ViewChanged &Event);
  void on(const DrainRequested &Event);
  void on(const HandOverEnded &Event);
  void handOverQueued();
  bool handOverOrRefuse(RequestEntry &Request);
  bool handOver(RequestEntry &Request);
  void truncateOpen();

  void moveTo(RequestEntry &Request, RequestState Next);
  RequestEntry *findOpen(RequestId Request);
  RequestEntry *findAttempt(RequestId Request, AttemptNumber Attempt);
  bool isOrphaned(RequestId Request, AttemptNumber Attempt) const;

  template <typename ActionType> void emit(ActionType Emitted) {
    this->PendingActions.emplace_back(std::move(Emitted));
  }

  RequestSettings Settings;
  RequestCounters Counters;
  Jitter Random;
  LoadShedder Shedder;
  RetryBudget Budget;
  IdempotencyKeyCache Keys;
  AdmissionRate Rate;
  DrainPlan Drain;
  StallDetector Stalls;
  /// The caller's deadline of every open request.
  TimerQueue Deadlines;
  /// The timeouts of waiting states: a reply to a claim, a backoff, the end of
  /// a cancelled attempt.
  TimerQueue StateTimers;
  /// The cancel timeouts of `OrphanedAttempts`.
  TimerQueue OrphanTimers;
  std::unordered_map<RequestId, RequestEntry> OpenRequests;
  std::unordered_map<RequestId, OrphanedAttempt> OrphanedAttempts;

  /// The time of the current event.
  TimePoint Now;
  RequestActions PendingActions;
};

} // namespace parsleywing

#endif
