#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTTYPES_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTTYPES_H

#include "Crash/RequestIdentity.h"
#include "Decision/Declarations.h"
#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"
#include "Runtime/Id.h"

#include <cstdint>
#include <string>

namespace parsleywing {

/// The number of an attempt of one request, starting at 1.
using AttemptNumber = std::uint32_t;

/// The properties of a request that decisions depend on. The body stays in the
/// thread that serves the caller.
struct RequestDescription {
  RequestId Request;
  AccountId Account;
  ServiceId Service;
  /// Whether the request may be retried after it may have run.
  bool Repeatable = true;
  /// The caller's `Idempotency-Key` header; empty if there is none.
  std::string IdempotencyKey;
  /// The caller's rough estimate of the cost, in tokens; at least 1.
  std::uint64_t EstimatedTokens = 1;
  /// When the response is of no more use to the caller.
  TimePoint Deadline;
  /// The request's identity, unique in the fleet and across restarts of its
  /// router. Stored in the run record to recognise this request's own claim if
  /// the reply to it was lost. Required if there is a key.
  std::string Identity;
  /// Engines report progress and can resume a stream; plain services cannot.
  ServiceKind Kind = ServiceKind::Engine;
  /// A draining router handed the request over and owns its run record.
  bool RecordHeldElsewhere = false;
  /// A draining router handed the request over. It is not handed over again:
  /// otherwise, two draining routers could do so back and forth.
  bool HandedOver = false;
  /// Identifies equal requests of the account, also at other routers.
  RequestIdentity Content;
};

/// How one attempt at a backend server ended.
enum class AttemptOutcome {
  Completed,          ///< The complete response was forwarded.
  NotSent,            ///< No byte of the request can have left this process.
  Rejected,           ///< The server stated that it did not run the request.
  Interrupted,        ///< It failed after the request may have been sent.
  Cancelled,          ///< This router cancelled it.
  CallerDisconnected, ///< The caller closed its connection during the attempt.
};

inline constexpr EnumNames<AttemptOutcome, 6> AttemptOutcomeNames{{
    {AttemptOutcome::Completed, "completed"},
    {AttemptOutcome::NotSent, "not-sent"},
    {AttemptOutcome::Rejected, "rejected"},
    {AttemptOutcome::Interrupted, "interrupted"},
    {AttemptOutcome::Cancelled, "cancelled"},
    {AttemptOutcome::CallerDisconnected, "caller-left"},
}};

/// The outcome of a request as reported to its caller in every response.
enum class RequestOutcome {
  /// It ran to its end and the response is complete. With the reason
  /// `AlreadyRun`, an earlier request with the same idempotency key did, and
  /// this response does not include the earlier one.
  Completed,
  NotRun,  ///< It certainly did not run and never will.
  Unknown, ///< It may have run; the response is missing or incomplete.
};

inline constexpr EnumNames<RequestOutcome, 3> RequestOutcomeNames{{
    {RequestOutcome::Completed, "completed"},
    {RequestOutcome::NotRun, "not-run"},
    {RequestOutcome::Unknown, "unknown"},
}};

/// The reason for the final response to a request.
enum class ResponseReason {
  Served,
  DeadlinePassed,
  AccountQueueFull,
  RouterQueueFull,
  Overloaded,
  NoServer,
  ServerFailed,
  RetryBudgetSpent,
  AlreadyRun,
  RecordUnavailable,
  Draining,
  CallerDisconnected,
  CrashesServers,
  ServersPaused,
};

inline constexpr EnumNames<ResponseReason, 14> ResponseReasonNames{{
    {ResponseReason::Served, "served"},
    {ResponseReason::DeadlinePassed, "deadline-passed"},
    {ResponseReason::AccountQueueFull, "account-queue-full"},
    {ResponseReason::RouterQueueFull, "router-queue-full"},
    {ResponseReason::Overloaded, "overloaded"},
    {ResponseReason::NoServer, "no-server"},
    {ResponseReason::ServerFailed, "server-failed"},
    {ResponseReason::RetryBudgetSpent, "retry-budget-spent"},
    {ResponseReason::AlreadyRun, "already-run"},
    {ResponseReason::RecordUnavailable, "record-unavailable"},
    {ResponseReason::Draining, "draining"},
    {ResponseReason::CallerDisconnected, "caller-left"},
    {ResponseReason::CrashesServers, "crashes-servers"},
    {ResponseReason::ServersPaused, "servers-paused"},
}};

/// The result of claiming a run record in the store.
enum class RunRecordVerdict {
  Claimed,         ///< This request owns the record, created now or before.
  TakenByOther,    ///< Another request owns it and may have run.
  CompletedBefore, ///< Another request owns it and has run to its end.
  Unavailable,     ///< No reply; the claim may still take effect later.
};

inline constexpr EnumNames<RunRecordVerdict, 4> RunRecordVerdictNames{{
    {RunRecordVerdict::Claimed, "claimed"},
    {RunRecordVerdict::TakenByOther, "taken-by-other"},
    {RunRecordVerdict::CompletedBefore, "completed-before"},
    {RunRecordVerdict::Unavailable, "unavailable"},
}};

} // namespace parsleywing

#endif
