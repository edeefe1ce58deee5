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
    Listener.ServerLeaving = [this] { ++this->LeavingNotices; };
    Listener.HeadReceived = [this](int, const HeaderList &Headers) {
      this->Head = Headers;
      return true;
    };
    Listener.BodyReceived = [this](std::string_view Chunk) {
      this->Body += Chunk;
      return true;
    };
    return this->Client.run(Call, Listener);
  }

  standin::PlainServiceStandIn Service;
  BackendCounters Counters;
  PlainServiceClient Client;
  HeaderList Head;
  std::string Body;
  int LeavingNotices = 0;
};

} // namespace

Test(PlainService, ForwardsAResponseWithoutHopByHopHeaders) {
  PlainFixture Fixture;
  const PlainResult Result = Fixture.run(Fixture.call());
  cr_expect(Result.Outcome == AttemptOutcome::Completed);
  cr_expect_eq(Result.Status, 201);
  cr_expect(Fixture.Body == R"({"record":1,"bytes":11})", "%s",
            Fixture.Body.c_str());
  cr_expect_eq(Fixture.Service.executions().at("request-7.1"), 1);
  cr_expect_eq(Fixture.Service.executionsByKey().at("batch-4"), 1);
  const std::string ReceivedHeaders = Fixture.Service.lastHeaders();
  cr_expect(ReceivedHeaders.find("X-Private") == std::string::npos, "%s",
            ReceivedHeaders.c_str());
  for (const auto &[Name, Value] : Fixture.Head)
    cr_expect(!isHopByHop(Name), "%s", Name.c_str());
}

// Guards against reporting "not run" although the record was written. The
// service writes the record and its response is lost, or a proxy sends a 503,
// and this counts as a refusal. Fails if `MayHaveSent` is set after the send,
// or without the check of the error object in PlainAttempt::handleRefusal.
Test(PlainService, OnlyARefusalOfTheServiceCountsAsNotRun) {
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
  const PlainResult Refusal = Fixture.run(Fixture.call());
  cr_expect(Refusal.Outcome == AttemptOutcome::Rejected);
  cr_expect(Refusal.ServerLeaving);
  cr_expect(!Refusal.ResponseStarted);
}

// Guards against taking a truncated record for a complete one. The connection
// ends before the last chunk of the response, and POCO ends a truncated body
// without an error. Fails without the check of `peerClosed` in
// PlainAttempt::isBodyComplete.
Test(PlainService, DetectsATruncatedResponse) {
  PlainFixture Fixture;
  standin::EngineFaults Faults;
  Faults.TruncateAfter = 5;
  Fixture.Service.setFaults(Faults);
  const PlainResult Result = Fixture.run(Fixture.call());
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(Result.ResponseStarted);
  cr_expect(Fixture.Body == R"({"rec)");
}

// Guards against a request that hangs forever: the service accepts connections
// and never responds, and no timeout limits the wait for the response head.
// Fails without the deadline in TimedSocket::receiveBytes: the call hangs.
Test(PlainService, DetectsAndSuspectsAnUnresponsiveService, .timeout = 30) {
  PlainFixture Fixture;
  standin::EngineFaults Faults;
  Faults.Silent = true;
  Fixture.Service.setFaults(Faults);
  const PlainResult Result = Fixture.run(Fixture.call());
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(Result.ServerSuspect);
}

// Guards against missing what a service states of itself in a response, with a
// success and with a refusal.
Test(PlainService, ReportsLeavingAndPauses) {
  PlainFixture Fixture;
  standin::EngineFaults Faults;
  Faults.LeavingServed = true;
  Fixture.Service.setFaults(Faults);
  cr_expect(Fixture.run(Fixture.call()).Outcome == AttemptOutcome::Completed);
  cr_expect_eq(Fixture.LeavingNotices, 1);
  Faults = {};
  Faults.Refuse = true;
  Faults.PauseSeconds = 7;
  Fixture.Service.setFaults(Faults);
  const PlainResult Refusal = Fixture.run(Fixture.call());
  cr_expect(Refusal.Outcome == AttemptOutcome::Rejected);
  cr_expect(Refusal.Pause == Duration(std::chrono::seconds(7)));
  cr_expect_eq(Fixture.LeavingNotices, 1);
  cr_expect_eq(Fixture.Service.arrivals(), 2U);
}
