#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTTYPES_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTTYPES_H

#include "Decision/Declarations.h"
#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"
#include "Runtime/Id.h"

#include <cstdint>
#include <string>

namespace parsleywing {

/// Counts the attempts of one request, from 1.
using AttemptNumber = std::uint32_t;

/// What a request needs decided about it. The body stays with the thread that
/// serves the caller.
struct RequestDescription {
  RequestId Request;
  AccountId Account;
  ServiceId Service;
  /// Whether the request may be sent again after it may have run.
  bool Repeatable = true;
  /// From the caller's `Idempotency-Key`; empty where there is none.
  std::string IdempotencyKey;
  /// The caller's rough hint of the cost, in tokens; at least 1.
  std::uint64_t EstimatedTokens = 1;
  /// When the caller no longer wants the answer.
  TimePoint Deadline;
  /// The request's identity, unlike any other's in the fleet and across
  /// restarts of its router. A run record bears it, so that a claim whose reply
  /// was lost is recognised as one's own. Needed where there is a key.
  std::string Identity;
  /// Engines report progress and can resume a stream; plain services cannot.
  ServiceKind Kind = ServiceKind::Engine;
  /// A router that drains handed the request over and holds its run record.
  bool RecordHeldElsewhere = false;
  /// A router that drains handed the request over. It is not handed on, so that
  /// two routers that drain cannot pass it to and fro.
  bool HandedOver = false;
};

/// How one attempt at a backend server ended.
enum class AttemptOutcome {
  Completed,          ///< The whole answer was passed on.
  NotSent,            ///< No byte of the request can have left this process.
  Rejected,           ///< The server said for certain that it did not run it.
  Interrupted,        ///< It broke after the request may have left.
  Cancelled,          ///< It was cancelled on this router's order.
  CallerDisconnected, ///< The caller closed its connection while it ran.
};

inline constexpr EnumNames<AttemptOutcome, 6> AttemptOutcomeNames{{
    {AttemptOutcome::Completed, "completed"},
    {AttemptOutcome::NotSent, "not-sent"},
    {AttemptOutcome::Rejected, "rejected"},
    {AttemptOutcome::Interrupted, "interrupted"},
    {AttemptOutcome::Cancelled, "cancelled"},
    {AttemptOutcome::CallerDisconnected, "caller-left"},
}};

/// The final word to a caller on its request. Every answer carries it.
enum class RequestOutcome {
  /// It ran to its end and the answer is whole. With the reason `AlreadyRun`:
  /// an earlier request with the same idempotency key did, and this one brings
  /// no answer.
  Completed,
  NotRun,  ///< It certainly did not run and never will.
  Unknown, ///< It may have run; the answer is missing or incomplete.
};

inline constexpr EnumNames<RequestOutcome, 3> RequestOutcomeNames{{
    {RequestOutcome::Completed, "completed"},
    {RequestOutcome::NotRun, "not-run"},
    {RequestOutcome::Unknown, "unknown"},
}};

/// Why a request got its final answer.
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
};

inline constexpr EnumNames<ResponseReason, 12> ResponseReasonNames{{
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
}};

/// What the store of run records says to a claim.
enum class RunRecordVerdict {
  Claimed,         ///< The record is this request's, made now or found as such.
  TakenByOther,    ///< Another request holds it, which may have run.
  CompletedBefore, ///< Another request held it and ran to its end.
  Unavailable,     ///< No answer; a claim may still take effect later.
};

inline constexpr EnumNames<RunRecordVerdict, 4> RunRecordVerdictNames{{
    {RunRecordVerdict::Claimed, "claimed"},
    {RunRecordVerdict::TakenByOther, "taken-by-other"},
    {RunRecordVerdict::CompletedBefore, "completed-before"},
    {RunRecordVerdict::Unavailable, "unavailable"},
}};

} // namespace parsleywing

#endif
