#include "Backend/EngineFixture.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>

using namespace parsleywing;
using parsleywing::test::EngineFixture;

namespace {

constexpr std::uint64_t Tokens = 20;

/// Runs a call and resumes it until it is complete or cannot be resumed, at
/// most five times.
EngineResult runToCompletion(EngineFixture &Fixture) {
  EngineCall Call = Fixture.call(Tokens);
  EngineResult Result = Fixture.run(Call);
  for (int Attempt = 0; Attempt < 5 && Result.Resume; ++Attempt) {
    Call.ResumeFrom = Result.Resume;
    Result = Fixture.run(Call);
  }
  return Result;
}

void expectComplete(EngineFixture &Fixture, const EngineResult &Result) {
  cr_expect(Result.Outcome == AttemptOutcome::Completed);
  cr_expect_eq(Result.Tokens, Tokens);
  cr_expect(Fixture.Text == EngineFixture::fullText(Tokens), "%s",
            Fixture.Text.c_str());
  cr_expect_eq(Fixture.Engine.executions().at("request-7.1"), 1);
}

} // namespace

// Ends an attempt that hangs, since the paused clock lets no timeout expire.
TestSuite(EngineStream, .timeout = 60);

Test(EngineStream, ForwardsACompleteResponseOnce) {
  EngineFixture Fixture;
  expectComplete(Fixture, Fixture.run(Fixture.call(Tokens)));
  cr_expect_eq(Fixture.SentCalls, 1);
}

// Guards against duplicate text: the engine or a proxy sends each event twice.
// Fails without the check of `sequence_number` in ResponseStreamCheck.
Test(EngineStream, DropsAndCountsDuplicateEvents) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.Doubled = true;
  Fixture.Engine.setFaults(Faults);
  expectComplete(Fixture, Fixture.run(Fixture.call(Tokens)));
  cr_expect_geq(Fixture.Counters.RepeatedEvents.load(), Tokens);
}

// Guards against text of another caller's response: after five tokens an event
// of another response arrives. Fails without the check of `item_id` in
// ResponseStreamCheck.
Test(EngineStream, DropsAForeignEventAndResumesBeforeIt) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.CrossedAfter = 5;
  Fixture.Engine.setFaults(Faults);
  expectComplete(Fixture, runToCompletion(Fixture));
  cr_expect_eq(Fixture.Counters.ForeignEvents.load(), 1);
  cr_expect_eq(Fixture.Counters.Resumes.load(), 1);
}

// Guards against missing text in a response that looks complete: one event is
// lost and the following ones arrive. Fails without the check of
// `sequence_number` in ResponseStreamCheck.
Test(EngineStream, AGapEndsTheAttemptAndIsFilledByResuming) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.SkipAfter = 5;
  Fixture.Engine.setFaults(Faults);
  expectComplete(Fixture, runToCompletion(Fixture));
  cr_expect_eq(Fixture.Counters.MissingEvents.load(), 1);
}

// Guards against a response that stops in mid-sentence or starts again. The
// connection ends after five tokens, between or within events; the end of the
// stream is taken for the end of the response, or the request is sent again
// although the engine still has its response. Fails without `ResumeFrom`.
Test(EngineStream, ResumesAnInterruptedStreamFromItsOffset) {
  for (const bool Truncate : {false, true}) {
    EngineFixture Fixture;
    standin::EngineFaults Faults;
    (Truncate ? Faults.TruncateAfter : Faults.CutAfter) = 5;
    Fixture.Engine.setFaults(Faults);
    expectComplete(Fixture, runToCompletion(Fixture));
    cr_expect_eq(Fixture.Counters.Resumes.load(), 1);
  }
}

// Guards against forwarding the response to another request, which the engine
// sends on this connection. Fails without the check of the identity in the
// response's metadata in ResponseStreamCheck.
Test(EngineStream, NeverForwardsAResponseToAnotherRequest) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.WrongMetadata = true;
  Fixture.Engine.setFaults(Faults);
  const EngineResult Result = Fixture.run(Fixture.call(Tokens));
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(!Result.Resume);
  cr_expect(Fixture.Text.empty());
  cr_expect_eq(Fixture.Counters.WrongIdentities.load(), 1);
}

// Guards against a router that terminates, or that buffers a line of unlimited
// length. An engine sends an event that is not JSON, whose parser exception
// leaves the package, or a line without an end. Fails without the catch in
// ResponseStreamCheck::processEvent and without the limit in EventStreamReader.
Test(EngineStream, MalformedAndOversizedEventsEndTheAttempt) {
  for (const bool Oversized : {false, true}) {
    EngineFixture Fixture;
    standin::EngineFaults Faults;
    (Oversized ? Faults.OversizedAfter : Faults.MalformedAfter) = 5;
    Fixture.Engine.setFaults(Faults);
    const EngineResult Result = Fixture.run(Fixture.call(Tokens));
    cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
    cr_expect(Fixture.Text == EngineFixture::fullText(5));
    cr_expect(Result.Resume && Result.Resume->Tokens == 5);
    // The generated tokens are charged although the attempt failed.
    cr_expect_eq(Result.Tokens, 5);
    cr_expect_eq((Oversized ? Fixture.Counters.OversizedEvents
                            : Fixture.Counters.MalformedEvents)
                     .load(),
                 1);
  }
}

Test(EngineStream, CountsTokensItselfWithoutUsage) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.NoUsage = true;
  Fixture.Engine.setFaults(Faults);
  expectComplete(Fixture, Fixture.run(Fixture.call(Tokens)));
  cr_expect_eq(Fixture.Counters.MissingUsages.load(), 1);
}

Test(EngineStream, OnlyARefusedConnectionCountsAsNotSent) {
  EngineFixture Fixture;
  EngineCall Call = Fixture.call(Tokens);
  {
    const Poco::Net::ServerSocket ClosedSocket{
        Poco::Net::SocketAddress("127.0.0.1", 0)};
    Call.Address = ClosedSocket.address().toString();
  }
  cr_expect(Fixture.run(Call).Outcome == AttemptOutcome::NotSent);
  cr_expect_eq(Fixture.SentCalls, 0);
  standin::EngineFaults Faults;
  Faults.Close = true;
  Fixture.Engine.setFaults(Faults);
  cr_expect(Fixture.run(Fixture.call(Tokens)).Outcome ==
            AttemptOutcome::Interrupted);
}

// Guards against reporting "not run" for a request that ran. A proxy sends a
// 503 after the engine has accepted the request, or the engine runs it and its
// response is lost; any 503 counts as a refusal of the engine. Fails without
// the check for the documented error object in
// EngineAttempt::handleErrorStatus.
Test(EngineStream, OnlyARefusalOfTheEngineCountsAsNotRun) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.BareRefuse = true;
  Fixture.Engine.setFaults(Faults);
  cr_expect(Fixture.run(Fixture.call(Tokens)).Outcome ==
            AttemptOutcome::Interrupted);
  Faults = {};
  Faults.LoseAnswer = true;
  Fixture.Engine.setFaults(Faults);
  cr_expect(Fixture.run(Fixture.call(Tokens)).Outcome ==
            AttemptOutcome::Interrupted);
  for (auto Refusal :
       {&standin::EngineFaults::Refuse, &standin::EngineFaults::Reject,
        &standin::EngineFaults::Leaving}) {
    Faults = {};
    Faults.*Refusal = true;
    Fixture.Engine.setFaults(Faults);
    const EngineResult Result = Fixture.run(Fixture.call(Tokens));
    cr_expect(Result.Outcome == AttemptOutcome::Rejected);
    cr_expect_eq(Result.ServerLeaving, Faults.Leaving);
  }
}

// Guards against missing what an engine states of itself in a response, with a
// success and with a refusal.
Test(EngineStream, ReportsLeavingAndPauses) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.LeavingServed = true;
  Fixture.Engine.setFaults(Faults);
  expectComplete(Fixture, Fixture.run(Fixture.call(Tokens)));
  cr_expect_eq(Fixture.LeavingNotices, 1);
  Faults = {};
  Faults.Refuse = true;
  Faults.PauseSeconds = 7;
  Fixture.Engine.setFaults(Faults);
  const EngineResult Refusal = Fixture.run(Fixture.call(Tokens));
  cr_expect(Refusal.Outcome == AttemptOutcome::Rejected);
  cr_expect(Refusal.Pause == Duration(std::chrono::seconds(7)));
  cr_expect_eq(Fixture.LeavingNotices, 1);
  cr_expect_eq(Fixture.Engine.arrivals(), 2U);
}
