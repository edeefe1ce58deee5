#include "Caller/CallerFixture.h"
#include "Caller/HandOverToken.h"

#include <criterion/criterion.h>
#include <future>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr const char *Secret = "a-secret-of-the-fleet";
constexpr const char *Target = "/services/records/records";
constexpr const char *Body = R"({"batch":4})";
constexpr const char *KeyLine = "Idempotency-Key: batch-4\r\n";

RawRequest rawRequest() {
  return {
      "POST",
      Target,
      {{"Authorization", "Bearer kettle-key"}, {"Idempotency-Key", "batch-4"}},
      Body};
}

std::string withToken(const std::string &Value) {
  return CallerFixture::postTo(Target, Body,
                               KeyLine + std::string(HandOverHeader) + ": " +
                                   Value + "\r\n");
}

CallerSettings fleetSettings() {
  CallerSettings Settings;
  Settings.FleetSecret = Secret;
  return Settings;
}

} // namespace

Test(HandOverToken, IsValidOnlyForItsRequest) {
  const RawRequest Request = rawRequest();
  const std::string Value =
      signHandOverToken({"r1-1-2.3", true}, Request, Secret);
  const auto Token = verifyHandOverToken(Value, Request, Secret);
  cr_assert(Token && Token->Identity == "r1-1-2.3" && Token->RecordHeld);
  RawRequest Other = Request;
  Other.Body = R"({"batch":5})";
  cr_assert(!verifyHandOverToken(Value, Other, Secret));
  cr_assert(!verifyHandOverToken(Value, Request, "another-secret"));
  const std::string NoSecret =
      signHandOverToken({"r1-1-2.3", true}, Request, "");
  cr_assert(!verifyHandOverToken(NoSecret, Request, ""));
}

// Guards against a caller that runs a non-repeatable call twice: it sends the
// header that routers use for hand-overs and thereby bypasses the run record,
// because the header is accepted without a valid signature. Fails without the
// comparison in verifyHandOverToken.
Test(HandOver, AcceptsOnlyTokensOfTheFleet) {
  CallerFixture Fixture(fleetSettings());
  const RawRequest Request = rawRequest();
  const std::string Signed =
      signHandOverToken({"r9-1-2.3", true}, Request, Secret);
  const std::string Response = Fixture.exchange(withToken(Signed));
  cr_assert_eq(statusOfResponse(Response), 201, "%s", Response.c_str());
  cr_assert(Response.find("X-Request-Id: r9-1-2.3\r\n") != std::string::npos);
  cr_assert_eq(Fixture.claims(), 0);
  cr_assert_eq(Fixture.service().executions().at("r9-1-2.3.1"), 1);
  const std::string Forged =
      signHandOverToken({"r9-1-2.4", true}, Request, "a-guess");
  cr_assert(
      isProblem(Fixture.exchange(withToken(Forged)), 400, "invalid-header"));
  cr_assert_eq(Fixture.service().executionsByKey().at("batch-4"), 1);
}

namespace {

/// Two routers with one engine each. All servers of the first router count as
/// failed, so that requests to it wait.
struct TwoRouters {
  TwoRouters() {
    cr_assert(eventually([this] { return this->firstKnowsSecond(); }));
    this->setServers(ServerCondition::Failed);
  }

  void setServers(ServerCondition Condition) {
    for (const char *Name : {"engine", "books"})
      this->First.control().post(
          ServerConditionChanged{idOf<ServerId>(Name), Condition});
  }

  bool firstKnowsSecond() {
    std::size_t Members = 0;
    ControlLoop &Control = this->First.control();
    Control.ask(
        [&] { Members = Control.core().membership().view().Members.size(); },
        std::chrono::seconds(5));
    return Members == 2;
  }

  /// Sends a request to the first router and drains this router while the
  /// request waits.
  std::string callAndDrain(const std::string &Call) {
    auto Response = std::async(std::launch::async,
                               [&] { return this->First.exchange(Call); });
    cr_assert(eventually(
        [this] { return this->First.control().openRequests() == 1; }));
    this->First.control().post(DrainRequested{});
    return Response.get();
  }

  PeerWire Wire;
  CallerFixture First{fleetSettings(), 8, std::chrono::milliseconds(1),
                      FixtureRouter{"r1", &this->Wire}};
  CallerFixture Second{fleetSettings(), 8, std::chrono::milliseconds(1),
                       FixtureRouter{"r2", &this->Wire}};
};

std::size_t countOf(const std::string &Text, const std::string &Pattern) {
  std::size_t Count = 0;
  for (auto Position = Text.find(Pattern); Position != std::string::npos;
       Position = Text.find(Pattern, Position + 1))
    ++Count;
  return Count;
}

} // namespace

// Guards against waiting requests that fail whenever a router is replaced,
// because the draining router does not hand them over. Fails without the call
// of HandOverClient in RequestHandler::execute(HandOverRequest): the request
// then waits until its deadline.
Test(HandOver, ACallerGetsTheCompleteStreamThroughTheDrainingRouter,
     .timeout = 60) {
  TwoRouters Fleet;
  const std::string Response = Fleet.callAndDrain(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=30","stream":true})",
      "X-Request-Timeout-Seconds: 20\r\n"));
  cr_assert_eq(statusOfResponse(Response), 200, "%s", Response.c_str());
  cr_assert(Response.find("X-Request-Id: r1-7-") != std::string::npos);
  cr_assert_eq(countOf(Response, "\"delta\":\"t"), 30);
  cr_assert_eq(countOf(Response, "event: response.completed"), 1);
  cr_assert(Response.ends_with("0\r\n\r\n"));
  cr_assert(Fleet.First.engine().executions().empty());
  cr_assert_eq(Fleet.Second.engine().executions().size(), 1);
}

// Guards against a record that is written twice, or not at all, when a router
// is replaced. A non-repeatable call waits with its run record claimed while
// its router drains; the other router claims the record again and finds it
// taken. Fails without RecordHeldElsewhere in RequestHandler::describe.
Test(HandOver, TheRecordStaysWithTheRouterThatClaimedIt, .timeout = 60) {
  TwoRouters Fleet;
  const std::string Response =
      Fleet.callAndDrain(CallerFixture::postTo(Target, Body, KeyLine));
  cr_assert_eq(statusOfResponse(Response), 201, "%s", Response.c_str());
  cr_assert(Response.find("X-Outcome: completed") != std::string::npos);
  cr_assert_eq(Fleet.First.claims(), 1);
  cr_assert_eq(Fleet.Second.claims(), 0);
  cr_assert_eq(Fleet.Second.service().executionsByKey().at("batch-4"), 1);
}

// Guards against a caller that is told that its key is unknown although it is
// valid. The other router does not know the account yet, and its refusal is
// forwarded as the response to the request. Fails without the check of the
// outcome in HandOverClient::onHead. A request that no other router accepts is
// refused immediately with a Retry-After.
Test(HandOver, ARefusalIsNotForwarded, .timeout = 60) {
  TwoRouters Fleet;
  Fleet.Second.server().context().setDeclarations(
      std::make_shared<Declarations>());
  const std::string Response =
      Fleet.callAndDrain(CallerFixture::postTo(Target, Body, KeyLine));
  cr_assert_gt(
      Fleet.Second.server().counters().problems(ProblemType::UnknownKey), 0);
  cr_assert_eq(statusOfResponse(Response), 503, "%s", Response.c_str());
  cr_assert(Response.find("X-Outcome: not-run") != std::string::npos);
  cr_assert(Response.find("Retry-After: ") != std::string::npos);
  cr_assert(Fleet.First.service().executionsByKey().empty());
  cr_assert(Fleet.Second.service().executionsByKey().empty());
}

// Guards against a stream that ends twice or that ends as if it were complete.
// The other router's stream breaks after part of it was forwarded, and both
// routers end the stream, or neither does. Fails without
// HandOverClient::reportedIncomplete: the connection is then aborted after the
// final event.
Test(HandOver, ATruncatedStreamIsReportedOnce, .timeout = 60) {
  TwoRouters Fleet;
  standin::EngineFaults Faults;
  Faults.CutAfter = 2;
  Faults.OnResume = true;
  Fleet.Second.engine().setFaults(Faults);
  const std::string Response = Fleet.callAndDrain(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=30","stream":true})"));
  cr_assert_eq(statusOfResponse(Response), 200, "%s", Response.c_str());
  cr_assert_eq(countOf(Response, "event: response.incomplete"), 1);
  cr_assert_eq(countOf(Response, "event: response.completed"), 0);
  cr_assert(Response.ends_with("0\r\n\r\n"), "%s", Response.c_str());
}
