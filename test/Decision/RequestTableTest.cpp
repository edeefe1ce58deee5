#include "Decision/RequestHarness.h"

#include <criterion/criterion.h>

// The guarantees of the request table, by state and failure.
//
// AStalledStreamIsCancelledAndResumed and
// AStalledAttemptWithoutRetryIsAnsweredAtOnceAndKeepsItsSlot fail without the
// stall detector, RetriesStopWhenTheBudgetIsSpent without the retry budget, and
// TheHeaviestAccountIsShedWhenTheRouterIsFull without shedding by share.
// RequestRandomTest covers the run record, the offset and the certainty of
// "not run".

using namespace parsleywing;
using namespace parsleywing::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr RequestId First{1};
constexpr Duration LongBackoff = seconds(3);

} // namespace

// Guards against reporting "not run" for a request that ran: the deadline
// passes after the attempt was ordered and before the event that it was sent
// arrives. Fails if "admitted" counts as "not sent".
Test(RequestTable, AnAdmittedRequestIsNeverReportedAsNotRunBeforeItsEnd) {
  RequestHarness H;
  H.admit(H.makeRequest(1));
  H.tickAfter(std::chrono::minutes(6));
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::DeadlinePassed));
  cr_assert(H.action<CancelAttempt>().has_value());
}

Test(RequestTable, AWaitingRequestIsGivenUpAtOnceWhenItsDeadlinePasses) {
  RequestHarness H;
  H.send(RequestArrived{H.makeRequest(1)});
  H.tickAfter(std::chrono::minutes(5));
  cr_assert(
      H.finishedWith(RequestOutcome::NotRun, ResponseReason::DeadlinePassed));
  cr_assert(H.action<WithdrawRequest>().has_value());
  cr_assert(H.action<FinishRequest>().value().RetryAfter >= seconds(1));
}

// Guards against running a non-repeatable request twice, by a retry after its
// connection broke.
Test(RequestTable, ANonRepeatableRequestIsResumedAndNeverRestarted) {
  RequestHarness H;
  H.admit(H.makeRequest(1, false));
  H.send(AttemptSent{First, 1});
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 0});
  cr_assert_eq(H.action<ResumeAttempt>().value().OriginalAttempt, 1U);
  H.send(AttemptEnded{First, 2, AttemptOutcome::Rejected, 0});
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::ServerFailed));
  cr_assert_eq(H.Table.openRequests(), 0U);
}

Test(RequestTable, ANonRepeatableRequestIsRetriedIfItCertainlyDidNotRun) {
  RequestHarness H;
  H.admit(H.makeRequest(1, false));
  H.send(AttemptSent{First, 1});
  H.send(AttemptEnded{First, 1, AttemptOutcome::Rejected, 0});
  H.tickAfter(LongBackoff);
  cr_assert_eq(H.action<QueueRequest>().value().AvoidServer, Server1);
}

// Guards against reporting "not run" after a complete run, if an attempt is
// reported first as sent and then as ended without being sent. Fails if the
// better of two contradictory reports counts.
Test(RequestTable, TheWorseOfContradictoryReportsCounts) {
  RequestHarness H;
  RequestDescription D = H.makeRequest(1, false);
  D.Kind = ServiceKind::Plain;
  H.admit(D);
  H.send(AttemptSent{First, 1});
  H.send(AttemptEnded{First, 1, AttemptOutcome::NotSent, 0});
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::ServerFailed));
}

Test(RequestTable, ARepeatableRequestIsRetriedAtAnotherServer) {
  RequestHarness H;
  H.admit(H.makeRequest(1));
  H.send(AttemptSent{First, 1});
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 0});
  cr_assert(H.action<ReleaseSlot>().has_value());
  cr_assert(!H.action<FinishRequest>());
  H.tickAfter(LongBackoff);
  cr_assert_eq(H.action<QueueRequest>().value().AvoidServer, Server1);
  H.send(RequestAdmitted{First, Server2});
  cr_assert_eq(H.action<StartAttempt>().value().Attempt, 2U);
}

// Guards against reporting "not run" although the first attempt ran: attempt 1
// breaks, attempt 2 is certainly not run, and no attempts remain. Fails if only
// the last attempt is considered.
Test(RequestTable, AnEarlierAttemptThatMayHaveRunStillCounts) {
  RequestSettings S;
  S.Retry.MaxAttempts = 2;
  RequestHarness H(S);
  H.admit(H.makeRequest(1));
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 0});
  H.tickAfter(LongBackoff);
  H.send(RequestAdmitted{First, Server2});
  H.send(AttemptEnded{First, 2, AttemptOutcome::Rejected, 0});
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::ServerFailed));
}

// Guards against a response with its beginning repeated: the stream breaks
// after 5 chunks were forwarded, and the request is restarted instead of
// resumed.
Test(RequestTable, ABrokenStreamIsResumedAtTheForwardedOffset) {
  RequestHarness H;
  H.stream(H.makeRequest(1), 7);
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 7, 5});
  cr_assert_eq(H.action<ResumeAttempt>().value().Offset, 5U);
  cr_assert_eq(H.action<ResumeAttempt>().value().Server, Server1);
  cr_assert(!H.action<ReleaseSlot>());
  H.send(AttemptEnded{First, 2, AttemptOutcome::Completed, 9, 9});
  cr_assert(H.finishedWith(RequestOutcome::Completed, ResponseReason::Served));
}

Test(RequestTable, AStreamThatCannotBeResumedIsReportedAsIncomplete) {
  RequestHarness H;
  H.stream(H.makeRequest(1), 7);
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 7, 5});
  for (AttemptNumber Attempt = 2; H.Table.openRequests() > 0; ++Attempt) {
    cr_assert_leq(Attempt, 5U);
    H.send(AttemptEnded{First, Attempt, AttemptOutcome::NotSent, 7, 5});
    if (!H.action<FinishRequest>())
      H.tickAfter(LongBackoff);
  }
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::ServerFailed));
}

// Guards against a caller that waits forever because a connection stays open
// without progress. Fails if only the connection is monitored.
Test(RequestTable, AStalledStreamIsCancelledAndResumed) {
  RequestHarness H;
  H.stream(H.makeRequest(1), 3);
  H.tickAfter(seconds(9));
  cr_assert(!H.action<CancelAttempt>());
  H.tickAfter(seconds(1));
  cr_assert(H.action<CancelAttempt>().has_value());
  cr_assert(!H.action<FinishRequest>());
  H.send(AttemptEnded{First, 1, AttemptOutcome::Cancelled, 3, 3});
  cr_assert_eq(H.action<ResumeAttempt>().value().Offset, 3U);
}

Test(RequestTable, AStalledAttemptWithoutRetryIsAnsweredAtOnceAndKeepsItsSlot) {
  RequestHarness H;
  RequestDescription D = H.makeRequest(1, false);
  D.Kind = ServiceKind::Plain;
  H.admit(D);
  H.tickAfter(seconds(120));
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::ServerFailed));
  cr_assert(!H.action<ReleaseSlot>());
  H.send(AttemptEnded{First, 1, AttemptOutcome::Cancelled, 4});
  cr_assert_eq(H.action<ReleaseSlot>().value().Tokens, 4U);
  cr_assert(!H.action<FinishRequest>());
}

Test(RequestTable, ASlotIsReleasedIfTheEndOfItsAttemptIsNeverReported) {
  RequestHarness H;
  H.stream(H.makeRequest(1), 3);
  H.send(CallerDisconnected{First});
  cr_assert(H.action<CancelAttempt>().has_value());
  cr_assert(H.finishedWith(RequestOutcome::Unknown,
                           ResponseReason::CallerDisconnected));
  H.tickAfter(seconds(5));
  cr_assert_eq(H.action<ReleaseSlot>().value().Tokens, 3U);
  H.send(AttemptEnded{First, 1, AttemptOutcome::Cancelled, 3});
  cr_assert(!H.action<ReleaseSlot>());
  cr_assert_eq(H.Table.counters().DroppedEvents, 1U);
}

Test(RequestTable, LateAndDuplicateEventsAreDroppedAndCounted) {
  RequestHarness H;
  H.admit(H.makeRequest(1));
  H.send(AttemptSent{First, 1});
  H.send(AttemptSent{First, 1});
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 0});
  H.send(AttemptEnded{First, 1, AttemptOutcome::Completed, 0});
  H.send(AttemptProgressed{First, 1, 5});
  cr_assert(!H.action<FinishRequest>());
  cr_assert_eq(H.Table.counters().DroppedEvents, 3U);
}

Test(RequestTable, AnAdmissionAfterAWithdrawalReleasesItsSlot) {
  RequestHarness H;
  H.send(RequestArrived{H.makeRequest(1)});
  H.send(CallerDisconnected{First});
  cr_assert(H.action<WithdrawRequest>().has_value());
  cr_assert(H.finishedWith(RequestOutcome::NotRun,
                           ResponseReason::CallerDisconnected));
  H.send(RequestAdmitted{First, Server1});
  cr_assert(H.action<ReleaseSlot>().has_value());
  cr_assert(!H.action<StartAttempt>());
}

Test(RequestTable, RetriesStopWhenTheBudgetIsSpent) {
  RequestHarness H;
  std::size_t RefusedCount = 0;
  for (std::uint64_t N = 1; N <= 100; ++N) {
    H.admit(H.makeRequest(N));
    H.send(AttemptEnded{RequestId{N}, 1, AttemptOutcome::Interrupted, 0});
    RefusedCount += H.finishedWith(RequestOutcome::Unknown,
                                   ResponseReason::RetryBudgetSpent)
                        ? 1
                        : 0;
  }
  cr_assert_eq(H.Table.counters().Retries,
               9U); // 0.4 of a tenth of the first attempts, 0.55 of the floor.
  cr_assert_eq(RefusedCount, 91U);
}

// Guards against a flood of one account that displaces the others' requests.
Test(RequestTable, TheHeaviestAccountIsShedWhenTheRouterIsFull) {
  RequestSettings S;
  S.Limits.MaxWaiting = 3;
  RequestHarness H(S);
  for (std::uint64_t N = 1; N <= 3; ++N)
    H.send(RequestArrived{H.makeRequest(N)});
  H.send(RequestArrived{H.makeRequest(4)});
  cr_assert(
      H.finishedWith(RequestOutcome::NotRun, ResponseReason::RouterQueueFull));
  RequestDescription Other = H.makeRequest(5);
  Other.Account = Account2;
  H.send(RequestArrived{Other});
  cr_assert_eq(H.action<FinishRequest>().value().Request, RequestId{3});
  cr_assert(H.finishedWith(RequestOutcome::NotRun, ResponseReason::Overloaded));
  cr_assert(H.action<FinishRequest>().value().RetryAfter >= seconds(1));
  cr_assert(H.action<QueueRequest>().has_value());
}

// Guards against a request that waits, or is told to come back, though its
// content crashes servers.
Test(RequestTable, AnArrivalWithRefusedContentIsRefusedAtOnce) {
  RequestHarness H;
  H.send(RequestArrived{H.makeRequest(1), /*CrashesServers=*/true});
  cr_assert(
      H.finishedWith(RequestOutcome::NotRun, ResponseReason::CrashesServers));
  cr_assert_eq(H.action<FinishRequest>().value().RetryAfter, Duration::zero());
  cr_assert_eq(H.Table.openRequests(), 0U);
}

// Guards against reporting "not run" for a refused request that is at a server,
// and against leaving it there.
Test(RequestTable, ARefusedRequestIsCancelledAtItsServer) {
  RequestHarness H;
  H.admit(H.makeRequest(1));
  H.send(RequestRefused{First});
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::CrashesServers));
  cr_assert(H.action<CancelAttempt>().has_value());
  cr_assert_eq(H.action<FinishRequest>().value().RetryAfter, Duration::zero());
}

Test(RequestTable, ARefusedRequestLeavesTheQueue) {
  RequestHarness H;
  H.send(RequestArrived{H.makeRequest(1)});
  H.send(RequestRefused{First});
  cr_assert(
      H.finishedWith(RequestOutcome::NotRun, ResponseReason::CrashesServers));
  cr_assert(H.action<WithdrawRequest>().has_value());
}

// Guards against a caller that returns before a server may be used again.
Test(RequestTable, aRequestForPausedServersIsRefusedWithTheTimeLeft) {
  RequestHarness H;
  H.send(RequestArrived{H.makeRequest(1, false)});
  H.send(AllServersPaused{First, seconds(120)});
  cr_assert(
      H.finishedWith(RequestOutcome::NotRun, ResponseReason::ServersPaused));
  cr_assert(H.action<WithdrawRequest>().has_value());
  cr_assert(H.action<FinishRequest>().value().RetryAfter >= seconds(120));
}
