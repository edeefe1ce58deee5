#include "Decision/RequestHarness.h"

#include <criterion/criterion.h>

// Each promise of the table of requests, by state and failure.
//
// Taken out on a scratch copy and run: without the progress watch
// ASilentStreamIsCutAndResumed and AHopelessSilentAttemptIsAnsweredAtOnce fail;
// without the retry budget RetriesStopWhenTheBudgetIsSpent; without shedding by
// share TheHeaviestAccountMakesRoomWhenTheRouterIsFull. For the record, the
// offset and the certainty of "not run" see RequestRandomTest.

using namespace parsleywing;
using namespace parsleywing::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr RequestId First{1};
constexpr Duration LongBackoff = seconds(3);

} // namespace

// Symptom: a caller is told "not run" of a request that ran.
// Sequence: the attempt is ordered, the deadline passes, the event that it was
// sent is still on its way. Cause: "admitted" taken for "not sent".
Test(RequestTable, AnAdmittedRequestIsNeverToldAsNotRunBeforeItsEnd) {
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

// Symptom: a contract is drafted twice.
// Sequence: the connection breaks after the request was sent. Cause: a retry of
// what may not be repeated.
Test(RequestTable, WhatMayNotBeRepeatedIsResumedAndNeverStartedAgain) {
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

Test(RequestTable, WhatMayNotBeRepeatedIsTriedElsewhereIfItCertainlyDidNotRun) {
  RequestHarness H;
  H.admit(H.makeRequest(1, false));
  H.send(AttemptSent{First, 1});
  H.send(AttemptEnded{First, 1, AttemptOutcome::Rejected, 0});
  H.tickAfter(LongBackoff);
  cr_assert_eq(H.action<QueueRequest>().value().AvoidServer, Server1);
}

// Symptom: "not run" after a whole run. Sequence: sent, then an end as "not
// sent". Cause: two reports that contradict each other, the better one
// believed.
Test(RequestTable, ContradictingReportsAreTakenAtTheWorse) {
  RequestHarness H;
  RequestDescription D = H.makeRequest(1, false);
  D.Kind = ServiceKind::Plain;
  H.admit(D);
  H.send(AttemptSent{First, 1});
  H.send(AttemptEnded{First, 1, AttemptOutcome::NotSent, 0});
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::ServerFailed));
}

Test(RequestTable, ARepeatableRequestIsRetriedAwayFromTheFailedServer) {
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

// Symptom: "not run" though the first attempt ran. Sequence: attempt 1 breaks,
// attempt 2 is refused for certain, no attempts are left. Cause: only the last
// attempt looked at.
Test(RequestTable, AnEarlierAttemptThatMayHaveRunIsNotForgotten) {
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

// Symptom: an answer with its beginning twice. Sequence: the stream breaks
// after 5 pieces were passed on. Cause: a start anew in place of a resumption.
Test(RequestTable, ABrokenStreamGoesOnFromTheOffsetPassedOn) {
  RequestHarness H;
  H.stream(H.makeRequest(1), 7);
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 7, 5});
  cr_assert_eq(H.action<ResumeAttempt>().value().Offset, 5U);
  cr_assert_eq(H.action<ResumeAttempt>().value().Server, Server1);
  cr_assert(!H.action<ReleaseSlot>());
  H.send(AttemptEnded{First, 2, AttemptOutcome::Completed, 9, 9});
  cr_assert(H.finishedWith(RequestOutcome::Completed, ResponseReason::Served));
}

Test(RequestTable, AStreamThatCannotBeResumedIsToldAsIncomplete) {
  RequestHarness H;
  H.stream(H.makeRequest(1), 7);
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 7, 5});
  for (AttemptNumber Try = 2; H.Table.openRequests() > 0; ++Try) {
    cr_assert_leq(Try, 5U);
    H.send(AttemptEnded{First, Try, AttemptOutcome::NotSent, 7, 5});
    if (!H.action<FinishRequest>())
      H.tickAfter(LongBackoff);
  }
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::ServerFailed));
}

// Symptom: a caller waits for good. Sequence: the open connection goes silent.
// Cause: only the connection watched, not the progress on it.
Test(RequestTable, ASilentStreamIsCutAndResumed) {
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

Test(RequestTable, AHopelessSilentAttemptIsAnsweredAtOnceAndKeepsItsSlot) {
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

Test(RequestTable, ASlotComesBackWhenTheEndOfItsAttemptIsNeverReported) {
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

Test(RequestTable, LateAndDoubledEventsAreDroppedAndCounted) {
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

Test(RequestTable, AnAdmissionThatCrossedAWithdrawalGivesItsSlotBack) {
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
  std::size_t Spent = 0;
  for (std::uint64_t N = 1; N <= 100; ++N) {
    H.admit(H.makeRequest(N));
    H.send(AttemptEnded{RequestId{N}, 1, AttemptOutcome::Interrupted, 0});
    Spent += H.finishedWith(RequestOutcome::Unknown,
                            ResponseReason::RetryBudgetSpent)
                 ? 1
                 : 0;
  }
  cr_assert_eq(H.Table.counters().Retries,
               11U); // A tenth, and the floor's one.
  cr_assert_eq(Spent, 89U);
}

// Symptom: a flood of one account takes the others' places.
Test(RequestTable, TheHeaviestAccountMakesRoomWhenTheRouterIsFull) {
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
