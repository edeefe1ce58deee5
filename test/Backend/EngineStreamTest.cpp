#include "Backend/EngineFixture.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>

using namespace parsleywing;
using parsleywing::test::EngineFixture;

namespace {

constexpr std::uint64_t Tokens = 20;

/// Resumes until the answer is whole or cannot be resumed.
EngineResult runToTheEnd(EngineFixture &Fixture) {
  EngineCall Call = Fixture.call(Tokens);
  EngineResult Result = Fixture.run(Call);
  for (int Try = 0; Try < 5 && Result.Resume; ++Try) {
    Call.ResumeFrom = Result.Resume;
    Result = Fixture.run(Call);
  }
  return Result;
}

void expectWhole(EngineFixture &Fixture, const EngineResult &Result) {
  cr_expect(Result.Outcome == AttemptOutcome::Completed);
  cr_expect_eq(Result.Tokens, Tokens);
  cr_expect(Fixture.Text == EngineFixture::wholeText(Tokens), "%s",
            Fixture.Text.c_str());
  cr_expect_eq(Fixture.Engine.executions().at("request-7.1"), 1);
}

} // namespace

// An attempt that hangs ends here: no limit of silence passes by itself.
TestSuite(EngineStream, .timeout = 60);

Test(EngineStream, AWholeAnswerIsPassedOnOnce) {
  EngineFixture Fixture;
  expectWhole(Fixture, Fixture.run(Fixture.call(Tokens)));
  cr_expect_eq(Fixture.SentCalls, 1);
}

// Symptom: a caller reads the same words twice.
// Sequence: the engine, or what lies between, sends each event a second time.
// Cause: events were passed on without a look at their number.
// Fails without the check of `sequence_number` in ResponseStreamCheck.
Test(EngineStream, DoubledEventsAreDroppedAndCounted) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.Doubled = true;
  Fixture.Engine.setFaults(Faults);
  expectWhole(Fixture, Fixture.run(Fixture.call(Tokens)));
  cr_expect_geq(Fixture.Counters.RepeatedEvents.load(), Tokens);
}

// Symptom: a word of somebody else's answer stands in a caller's answer.
// Sequence: after five tokens an event of another response comes through.
// Cause: the item's id was not compared.
// Fails without the check of `item_id` in ResponseStreamCheck.
Test(EngineStream, ACrossedEventIsDroppedAndTheStreamTakenUpBeforeIt) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.CrossedAfter = 5;
  Fixture.Engine.setFaults(Faults);
  expectWhole(Fixture, runToTheEnd(Fixture));
  cr_expect_eq(Fixture.Counters.ForeignEvents.load(), 1);
  cr_expect_eq(Fixture.Counters.Resumes.load(), 1);
}

// Symptom: a word is missing in the middle of an answer that looks whole.
// Sequence: one event gets lost on the way; the next ones arrive.
// Cause: gaps in the numbering were not noticed.
// Fails without the check of `sequence_number` in ResponseStreamCheck.
Test(EngineStream, AGapEndsTheAttemptAndIsFilledByTakingTheStreamUp) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.SkipAfter = 5;
  Fixture.Engine.setFaults(Faults);
  expectWhole(Fixture, runToTheEnd(Fixture));
  cr_expect_eq(Fixture.Counters.MissingEvents.load(), 1);
}

// Symptom: an answer stops in mid-sentence, or begins again from the start.
// Sequence: the connection ends after five tokens, between or within events.
// Cause: the end of the stream was taken for the end of the answer, or the
// request was sent again although the engine still held its response.
// Fails without `ResumeFrom`.
Test(EngineStream, ABrokenStreamIsTakenUpFromItsOffset) {
  for (const bool Truncate : {false, true}) {
    EngineFixture Fixture;
    standin::EngineFaults Faults;
    (Truncate ? Faults.TruncateAfter : Faults.CutAfter) = 5;
    Fixture.Engine.setFaults(Faults);
    expectWhole(Fixture, runToTheEnd(Fixture));
    cr_expect_eq(Fixture.Counters.Resumes.load(), 1);
  }
}

// Symptom: a caller gets the answer to another request.
// Sequence: the engine answers on this connection with another request's
// response.
// Cause: nobody compared the identity that the engine repeats.
// Fails without the check of the metadata in ResponseStreamCheck.
Test(EngineStream, AnAnswerToAnotherRequestIsNeverPassedOn) {
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

// Symptom: the router stops, or holds a line of any length in memory.
// Sequence: an engine sends an event that is not JSON, or a line without end.
// Cause: the parser's exception left the package; lines had no limit.
// Fails without the catch in ResponseStreamCheck::take and without the limit
// in EventStreamReader.
Test(EngineStream, MalformedAndOversizedEventsEndTheAttemptAsValues) {
  for (const bool Oversized : {false, true}) {
    EngineFixture Fixture;
    standin::EngineFaults Faults;
    (Oversized ? Faults.OversizedAfter : Faults.MalformedAfter) = 5;
    Fixture.Engine.setFaults(Faults);
    const EngineResult Result = Fixture.run(Fixture.call(Tokens));
    cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
    cr_expect(Fixture.Text == EngineFixture::wholeText(5));
    cr_expect(Result.Resume && Result.Resume->Tokens == 5);
    // What was generated is charged, though the attempt broke.
    cr_expect_eq(Result.Tokens, 5);
    cr_expect_eq((Oversized ? Fixture.Counters.OversizedEvents
                            : Fixture.Counters.MalformedEvents)
                     .load(),
                 1);
  }
}

Test(EngineStream, AMissingUsageLeavesTheCountedTokensAsTheCost) {
  EngineFixture Fixture;
  standin::EngineFaults Faults;
  Faults.NoUsage = true;
  Fixture.Engine.setFaults(Faults);
  expectWhole(Fixture, Fixture.run(Fixture.call(Tokens)));
  cr_expect_eq(Fixture.Counters.MissingUsages.load(), 1);
}

Test(EngineStream, OnlyARefusedConnectionCountsAsNotSent) {
  EngineFixture Fixture;
  EngineCall Call = Fixture.call(Tokens);
  {
    const Poco::Net::ServerSocket Once{
        Poco::Net::SocketAddress("127.0.0.1", 0)};
    Call.Address = Once.address().toString();
  }
  cr_expect(Fixture.run(Call).Outcome == AttemptOutcome::NotSent);
  cr_expect_eq(Fixture.SentCalls, 0);
  standin::EngineFaults Faults;
  Faults.Close = true;
  Fixture.Engine.setFaults(Faults);
  cr_expect(Fixture.run(Fixture.call(Tokens)).Outcome ==
            AttemptOutcome::Interrupted);
}

// Symptom: a caller is told "not run", and yet its request ran.
// Sequence: something between the two ends answers 503 after the engine has
// taken the request; or the engine runs it and its answer is lost.
// Cause: any 503 counted as the engine's own refusal.
// Fails without the look for the published error object in
// EngineAttempt::refused.
Test(EngineStream, OnlyAnEnginesOwnRefusalCountsAsNotRun) {
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
