#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

bool has(const std::string &Response, const std::string &Text) {
  return Response.find(Text) != std::string::npos;
}

std::string record(const std::string &MoreHeaders = "",
                   const std::string &Key = "kettle-key") {
  return CallerFixture::postTo("/services/records/records", R"({"batch":4})",
                               MoreHeaders, Key);
}

} // namespace

Test(PlainServices, ForwardsAResponseWithIdentityAndOutcome) {
  CallerFixture Fixture;
  const std::string Response =
      Fixture.exchange(record("Idempotency-Key: batch-4\r\nX-Own: 1\r\n"));
  cr_assert_eq(statusOfResponse(Response), 201, "%s", Response.c_str());
  cr_assert(has(Response, "X-Record: 1"));
  cr_assert(has(Response, "X-Request-Id: r1-7-"));
  cr_assert(has(Response, "X-Outcome: completed"));
  cr_assert(Response.ends_with(R"({"record":1,"bytes":11})"));
  const std::string ReceivedHeaders = Fixture.service().lastHeaders();
  cr_assert(has(ReceivedHeaders, "X-Own: 1"));
  cr_assert(has(ReceivedHeaders, "Idempotency-Key: batch-4"));
  cr_assert_not(has(ReceivedHeaders, "kettle-key"), "%s",
                ReceivedHeaders.c_str());
  cr_assert_eq(Fixture.claims(), 1);
  cr_assert(isProblem(Fixture.exchange(record("", "ledger-key")), 403,
                      "service-not-allowed"));
}

// Guards against a caller that takes the empty response to a duplicate call for
// its record. A call with an idempotency key was completed and is sent again;
// the outcome "completed" of the earlier call is sent as that of this call.
// Fails without the check of the reason in RequestHandler::finishResponse.
Test(PlainServices, ADuplicateOfACompletedCallIsAConflict) {
  CallerFixture Fixture;
  const std::string Call = record("Idempotency-Key: batch-4\r\n");
  cr_assert_eq(statusOfResponse(Fixture.exchange(Call)), 201);
  const std::string Duplicate = Fixture.exchange(Call);
  cr_assert(isProblem(Duplicate, 409, "already-run"), "%s", Duplicate.c_str());
  cr_assert(has(Duplicate, "X-Outcome: completed"));
  cr_assert_eq(Fixture.service().executionsByKey().at("batch-4"), 1);
}

// Guards against a truncated record that is taken for a complete one. The
// service's connection ends within the response after its start was forwarded,
// and POCO ends every chunked response with a last chunk. Fails without the
// shutdown in ResponseForwarder::abortResponse.
Test(PlainServices, ATruncatedResponseEndsWithoutTheLastChunk) {
  CallerFixture Fixture;
  standin::EngineFaults Faults;
  Faults.TruncateAfter = 5;
  Fixture.service().setFaults(Faults);
  const std::string Response = Fixture.exchange(record());
  cr_assert_eq(statusOfResponse(Response), 201);
  cr_assert(has(Response, R"({"rec)"));
  cr_assert_not(Response.ends_with("0\r\n\r\n"), "%s", Response.c_str());
  cr_assert_not(has(Response, "X-Outcome: completed"));
}

// Guards against a record that is written twice: the service writes it, its
// response is lost, and the non-repeatable call is sent again. Fails without
// Repeatable in RequestHandler::describe.
Test(PlainServices, ALostResponseIsUnknownAndNotRetried) {
  CallerFixture Fixture;
  standin::EngineFaults Faults;
  Faults.LoseAnswer = true;
  Fixture.service().setFaults(Faults);
  const std::string Response =
      Fixture.exchange(record("Idempotency-Key: batch-5\r\n"));
  cr_assert(isProblem(Response, 502, "server-failed"), "%s", Response.c_str());
  cr_assert(has(Response, "X-Outcome: unknown"));
  cr_assert_eq(Fixture.service().executionsByKey().at("batch-5"), 1);
}
