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

/// The scheduler let a waiting request go to a server.
struct RequestAdmitted {
  RequestId Request;
  ServerId Server;
};

/// What the table of requests is told.
using RequestEvent =
    std::variant<RequestArrived, RequestAdmitted, CallerDisconnected,
                 AttemptSent, AttemptProgressed, AttemptEnded,
                 RunRecordVerdictReceived, HandOverEnded, DeclarationsChanged,
                 ViewChanged, Tick, DrainRequested>;

/// Put the request into the scheduler's queue.
struct QueueRequest {
  RequestDescription Description;
  /// The server at which it failed last, which is the last to choose; zero
  /// where there is none.
  ServerId AvoidServer;
};

/// Take the request out of the scheduler's queue.
struct WithdrawRequest {
  RequestId Request;
};

/// Tell the scheduler what the request has cost up to now.
struct ChargeRequest {
  RequestId Request;
  std::uint64_t Tokens;
};

/// Give the request's slot back, at this whole cost of the attempt.
struct ReleaseSlot {
  RequestId Request;
  std::uint64_t Tokens;
};

/// What the table of requests asks for.
using RequestAction =
    std::variant<QueueRequest, WithdrawRequest, ChargeRequest, ReleaseSlot,
                 StartAttempt, ResumeAttempt, HandOverRequest, CancelAttempt,
                 FinishRequest, ClaimRunRecord, CompleteRunRecord,
                 ReleaseRunRecord, DrainFinished>;

using RequestActions = std::vector<RequestAction>;

/// Holds the state of every request at this router from its arrival to its one
/// final answer. Does no I/O and reads no clock. docs/REQUESTS.md has the table
/// of states and failures.
///
/// An event costs a logarithm of the number of open requests; a tick with
/// nothing due costs a few comparisons.
class RequestTable {
public:
  explicit RequestTable(const RequestSettings &S = {});

  RequestActions handle(TimePoint Now, const RequestEvent &Event);

  /// Requests that have no final answer yet.
  std::size_t openRequests() const { return this->OpenRequests.size(); }

  const RequestCounters &counters() const { return this->Counters; }

  Poco::JSON::Object::Ptr dump() const;

private:
  /// An attempt that runs on though its request has its answer.
  struct OrphanedAttempt {
    AttemptNumber Attempt;
    std::uint64_t Tokens;
  };

  // RequestTable.cpp: arrival, waiting, the final answer.
  void on(const RequestArrived &Event);
  void on(const RequestAdmitted &Event);
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

  // RequestTableAttempts.cpp: from the order to send to the attempt's end.
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
  void scheduleRetry(RequestEntry &Request, AttemptOutcome Outcome);
  void releaseSlot(RequestEntry &Request);
  Duration backoff(std::uint32_t Tries);

  // RequestTableDrain.cpp: the graceful shutdown.
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

  template <typename ActionType> void emit(ActionType Wanted) {
    this->PendingActions.emplace_back(std::move(Wanted));
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
  /// The end of the caller's patience, of every open request.
  TimerQueue Deadlines;
  /// The end of what the state waits for: an answer to a claim, a backoff, the
  /// end of a cancelled attempt.
  TimerQueue StateTimers;
  /// The end of the grace of attempts in `Ending`.
  TimerQueue OrphanTimers;
  std::unordered_map<RequestId, RequestEntry> OpenRequests;
  std::unordered_map<RequestId, OrphanedAttempt> OrphanedAttempts;

  /// Of the event at hand.
  TimePoint Now;
  RequestActions PendingActions;
};

} // namespace parsleywing

#endif
