#include "Decision/RequestHarness.h"

#include <criterion/criterion.h>

// At-most-once execution of requests with an idempotency key, and graceful
// shutdown.

using namespace parsleywing;
using namespace parsleywing::test;
using std::chrono::seconds;

namespace {

constexpr RequestId First{1};
constexpr RequestId Second{2};

} // namespace

// Guards against running a request twice: two routers receive the same key, and
// one starts an attempt before it has the reply to its claim of the run record.
Test(RequestRecord, ARequestIsQueuedOnlyAfterItsRecordIsClaimed) {
  RequestHarness H;
  H.send(RequestArrived{H.makeRequest(1, false, "k")});
  cr_assert_eq(H.action<ClaimRunRecord>().value().Identity, "r1-1-1");
  cr_assert(!H.action<QueueRequest>());
  H.send(RunRecordVerdictReceived{First, RunRecordVerdict::TakenByOther});
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::AlreadyRun));
}

Test(RequestRecord, ARequestIsRefusedIfTheStoreIsUnreachable) {
  RequestHarness H;
  H.send(RequestArrived{H.makeRequest(1, false, "k")});
  H.tickAfter(seconds(1));
  cr_assert(H.finishedWith(RequestOutcome::NotRun,
                           ResponseReason::RecordUnavailable));
  cr_assert(H.action<FinishRequest>().value().RetryAfter >= seconds(1));
  // The claim may still take effect, so the record is released.
  cr_assert(H.action<ReleaseRunRecord>().has_value());
  H.send(RunRecordVerdictReceived{First, RunRecordVerdict::Claimed});
  cr_assert(!H.action<QueueRequest>());
  cr_assert_eq(H.Table.counters().DroppedEvents, 1U);
}

Test(RequestRecord, ADuplicateAtThisRouterIsRecognisedWithoutTheStore) {
  RequestHarness H;
  H.admit(H.makeRequest(1, false, "k"));
  H.send(RequestArrived{H.makeRequest(2, false, "k")});
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::AlreadyRun));
  H.send(AttemptEnded{First, 1, AttemptOutcome::Completed, 3, 3});
  cr_assert(H.action<CompleteRunRecord>().has_value());
  H.send(RequestArrived{H.makeRequest(3, false, "k")});
  cr_assert(
      H.finishedWith(RequestOutcome::Completed, ResponseReason::AlreadyRun));
  cr_assert(!H.action<ClaimRunRecord>());
}

Test(RequestRecord, AKeyMayBeUsedAgainIfItsRequestDidNotRun) {
  RequestHarness H;
  H.send(RequestArrived{H.makeRequest(1, false, "k")});
  H.send(RunRecordVerdictReceived{First, RunRecordVerdict::Claimed});
  H.tickAfter(std::chrono::minutes(5));
  cr_assert(
      H.finishedWith(RequestOutcome::NotRun, ResponseReason::DeadlinePassed));
  cr_assert(H.action<ReleaseRunRecord>().has_value());
  H.send(RequestArrived{H.makeRequest(2, false, "k")});
  cr_assert(H.action<ClaimRunRecord>().has_value());
}

Test(RequestRecord, AnUnknownOutcomeKeepsItsRecord) {
  RequestHarness H;
  H.admit(H.makeRequest(1, false, "k"));
  H.send(CallerDisconnected{First});
  cr_assert(!H.action<ReleaseRunRecord>());
  cr_assert(!H.action<CompleteRunRecord>());
}

// Guards against failed requests whenever a router is replaced: during a drain,
// a running request must be finished and a queued one handed over.
Test(RequestDrain, FinishesRunningRequestsAndHandsOverQueuedOnes) {
  RequestHarness H;
  H.send(ViewChanged{viewOf({2})});
  H.stream(H.makeRequest(1), 1);
  H.send(RequestArrived{H.makeRequest(2)});
  H.send(DrainRequested{});
  cr_assert_eq(H.action<HandOverRequest>().value().Router, RouterId{2});
  cr_assert_eq(H.action<HandOverRequest>().value().Request, Second);
  cr_assert(H.action<WithdrawRequest>().has_value());
  cr_assert(!H.action<CancelAttempt>());
  H.send(RequestArrived{H.makeRequest(3)});
  cr_assert(H.finishedWith(RequestOutcome::NotRun, ResponseReason::Draining));
  cr_assert(H.action<FinishRequest>().value().RetryAfter >= seconds(1));
  H.send(HandOverEnded{Second, 1, AttemptOutcome::Completed});
  cr_assert(H.finishedWith(RequestOutcome::Completed, ResponseReason::Served));
  H.send(AttemptEnded{First, 1, AttemptOutcome::Completed, 2, 2});
  cr_assert_eq(H.action<DrainFinished>().value().Unfinished, 0U);
}

Test(RequestDrain, AClaimedRequestIsHandedOverWithItsRecord) {
  RequestHarness H;
  H.send(ViewChanged{viewOf({2, 3})});
  H.send(RequestArrived{H.makeRequest(1, false, "k")});
  H.send(DrainRequested{});
  H.send(RunRecordVerdictReceived{First, RunRecordVerdict::Claimed});
  cr_assert(H.action<HandOverRequest>().value().RecordHeld);
  H.send(HandOverEnded{First, 1, AttemptOutcome::Rejected});
  cr_assert_eq(H.action<HandOverRequest>().value().Router, RouterId{3});
  H.send(HandOverEnded{First, 1, AttemptOutcome::Completed});
  cr_assert(!H.action<FinishRequest>());
  H.send(HandOverEnded{First, 2, AttemptOutcome::Interrupted});
  cr_assert(
      H.finishedWith(RequestOutcome::Unknown, ResponseReason::ServerFailed));
  cr_assert(!H.action<ReleaseRunRecord>());
}

Test(RequestDrain, AHandedOverRequestLeavesTheRecordToItsOwner) {
  RequestHarness H;
  RequestDescription D = H.makeRequest(1, false, "k");
  D.RecordHeldElsewhere = true;
  H.send(RequestArrived{D});
  cr_assert(H.action<QueueRequest>().has_value());
  H.tickAfter(std::chrono::minutes(5));
  cr_assert(
      H.finishedWith(RequestOutcome::NotRun, ResponseReason::DeadlinePassed));
  cr_assert(!H.action<ReleaseRunRecord>());
}

// Guards against a draining router that keeps a queued request which it can
// neither serve nor hand over, because there is no other router or none accepts
// it.
Test(RequestDrain, ARequestThatNoRouterAcceptsIsRefusedAndItsRecordReleased) {
  for (const bool Alone : {true, false}) {
    RequestHarness H;
    if (!Alone)
      H.send(ViewChanged{viewOf({2})});
    H.send(RequestArrived{H.makeRequest(1, false, "k")});
    H.send(RunRecordVerdictReceived{First, RunRecordVerdict::Claimed});
    H.send(DrainRequested{});
    for (AttemptNumber Offer = 1; !Alone && Offer <= 3; ++Offer) {
      cr_assert(!H.action<FinishRequest>());
      H.send(HandOverEnded{First, Offer, AttemptOutcome::NotSent});
    }
    cr_assert(H.finishedWith(RequestOutcome::NotRun, ResponseReason::Draining));
    cr_assert(H.action<FinishRequest>().value().RetryAfter >= seconds(1));
    cr_assert(H.action<ReleaseRunRecord>().has_value());
    cr_assert_eq(H.action<DrainFinished>().value().Unfinished, 0U);
  }
}

// Guards against a request that is handed back and forth between two draining
// routers: after the hand-over, its new router is ordered to drain as well.
// Fails without the check of `HandedOver` in RequestTable::handOver. The first
// router gets the response that the request did not run, and offers it to
// another one.
Test(RequestDrain, AHandedOverRequestIsNotHandedOverAgain) {
  RequestHarness H;
  H.send(ViewChanged{viewOf({2})});
  RequestDescription D = H.makeRequest(1);
  D.HandedOver = true;
  H.send(RequestArrived{D});
  H.send(DrainRequested{});
  cr_assert(!H.action<HandOverRequest>());
  cr_assert(H.finishedWith(RequestOutcome::NotRun, ResponseReason::Draining));
}

Test(RequestDrain, ARequestThatMayHaveRunIsRetriedAtThisRouter) {
  RequestHarness H;
  H.admit(H.makeRequest(1));
  H.send(AttemptSent{First, 1});
  H.send(AttemptEnded{First, 1, AttemptOutcome::Interrupted, 0, 0});
  H.send(DrainRequested{});
  H.tickAfter(seconds(2));
  cr_assert(!H.action<FinishRequest>());
  H.send(RequestAdmitted{First, Server1});
  cr_assert(H.action<StartAttempt>().has_value());
}

Test(RequestDrain, TheHardLimitAbortsAndCountsOpenRequests) {
  RequestHarness H;
  RequestDescription D = H.makeRequest(1);
  D.Deadline = H.Now + std::chrono::hours(1);
  H.stream(D, 1);
  H.send(DrainRequested{});
  for (int Minute = 1; Minute < 10; ++Minute)
    for (int Step = 0; Step < 10; ++Step) {
      H.send(AttemptProgressed{First, 1, 2});
      H.tickAfter(seconds(6));
    }
  cr_assert_eq(H.Table.openRequests(), 1U);
  H.tickAfter(std::chrono::minutes(1));
  cr_assert_eq(H.Table.openRequests(), 0U);
  cr_assert(H.finishedWith(RequestOutcome::Unknown, ResponseReason::Draining));
  cr_assert_eq(H.action<DrainFinished>().value().Unfinished, 1U);
}
