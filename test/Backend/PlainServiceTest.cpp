#include "Backend/EngineFixture.h"
#include "Backend/PlainServiceClient.h"
#include "standin/PlainServiceStandIn.h"

#include <criterion/criterion.h>

using namespace parsleywing;

namespace {

struct PlainFixture {
  PlainFixture() : Service("127.0.0.1:0"), Client(settings(), Counters) {
    this->Service.start();
  }

  static BackendSettings settings() {
    BackendSettings Settings;
    Settings.FirstEventTimeout = std::chrono::milliseconds(300);
    Settings.ProbeTimeout = std::chrono::milliseconds(300);
    return Settings;
  }

  PlainCall call() const {
    PlainCall Call;
    Call.Address = this->Service.address();
    Call.Path = "/records";
    Call.Headers = {{"Idempotency-Key", "batch-4"},
                    {"Connection", "X-Private"},
                    {"X-Private", "1"},
                    {"Content-Type", "application/json"}};
    Call.Body = R"({"batch":4})";
    Call.Identity = "request-7.1";
    return Call;
  }

  PlainResult run(const PlainCall &Call) {
    PlainListener Listener;
    Listener.HeadReceived = [this](int, const HeaderList &Headers) {
      this->Head = Headers;
      return true;
    };
    Listener.BodyReceived = [this](std::string_view Piece) {
      this->Body += Piece;
      return true;
    };
    return this->Client.run(Call, Listener);
  }

  standin::PlainServiceStandIn Service;
  BackendCounters Counters;
  PlainServiceClient Client;
  HeaderList Head;
  std::string Body;
};

} // namespace

Test(PlainService, AnAnswerPassesUnchangedAndHeadersOfTheConnectionStay) {
  PlainFixture Fixture;
  const PlainResult Result = Fixture.run(Fixture.call());
  cr_expect(Result.Outcome == AttemptOutcome::Completed);
  cr_expect_eq(Result.Status, 201);
  cr_expect(Fixture.Body == R"({"record":1,"bytes":11})", "%s",
            Fixture.Body.c_str());
  cr_expect_eq(Fixture.Service.executions().at("request-7.1"), 1);
  cr_expect_eq(Fixture.Service.executionsByKey().at("batch-4"), 1);
  const std::string Seen = Fixture.Service.lastHeaders();
  cr_expect(Seen.find("X-Private") == std::string::npos, "%s", Seen.c_str());
  for (const auto &[Name, Value] : Fixture.Head)
    cr_expect(!isHopByHop(Name), "%s", Name.c_str());
}

// Symptom: a caller is told "not run", and its record is written.
// Sequence: the service writes the record and its answer is lost; or something
// between the two ends answers 503.
// Cause: a lost or foreign answer counted as a refusal.
// Fails if `MayHaveLeft` is set after the send, or without the look at the
// error object in PlainAttempt::refused.
Test(PlainService, OnlyTheServicesOwnRefusalCountsAsNotRun) {
  PlainFixture Fixture;
  standin::EngineFaults Faults;
  Faults.LoseAnswer = true;
  Fixture.Service.setFaults(Faults);
  cr_expect(Fixture.run(Fixture.call()).Outcome == AttemptOutcome::Interrupted);
  cr_expect_eq(Fixture.Service.executions().at("request-7.1"), 1);
  Faults = {};
  Faults.BareRefuse = true;
  Fixture.Service.setFaults(Faults);
  cr_expect(Fixture.run(Fixture.call()).Outcome == AttemptOutcome::Completed);
  Faults = {};
  Faults.Leaving = true;
  Fixture.Service.setFaults(Faults);
  const PlainResult Refused = Fixture.run(Fixture.call());
  cr_expect(Refused.Outcome == AttemptOutcome::Rejected);
  cr_expect(Refused.ServerLeaving);
  cr_expect(!Refused.ResponseStarted);
}

// Symptom: half a record is taken for the whole.
// Sequence: the connection ends before the last chunk of the answer.
// Cause: the library ends a cut body as quietly as a whole one.
// Fails without the look at `ended` in PlainAttempt::wholeBody.
Test(PlainService, ACutAnswerIsNotTakenForAWholeOne) {
  PlainFixture Fixture;
  standin::EngineFaults Faults;
  Faults.TruncateAfter = 5;
  Fixture.Service.setFaults(Faults);
  const PlainResult Result = Fixture.run(Fixture.call());
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(Result.ResponseStarted);
  cr_expect(Fixture.Body == R"({"rec)");
}

// Symptom: a request hangs for good on a service that accepted it.
// Sequence: the service takes connections and never answers.
// Cause: nothing limited the wait for the head of the answer.
// Fails without the deadline in TimedSocket::receiveBytes: the call hangs.
Test(PlainService, ASilentServiceIsNoticedAndSuspected, .timeout = 30) {
  PlainFixture Fixture;
  standin::EngineFaults Faults;
  Faults.Silent = true;
  Fixture.Service.setFaults(Faults);
  const PlainResult Result = Fixture.run(Fixture.call());
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(Result.ServerSuspect);
}
