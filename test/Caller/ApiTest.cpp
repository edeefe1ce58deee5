#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

bool has(const std::string &Response, const std::string &Text) {
  return Response.find(Text) != std::string::npos;
}

std::string get(const std::string &Path, const std::string &Key) {
  return "GET " + Path + " HTTP/1.1\r\nConnection: close\r\n" +
         (Key.empty() ? "" : "Authorization: Bearer " + Key + "\r\n") + "\r\n";
}

} // namespace

Test(CallerApi, AStreamStartsWithCreatedAndEndsWithTheOutcome) {
  CallerFixture Fixture;
  const std::string Response = Fixture.exchange(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=3","stream":true})"));
  cr_assert_eq(statusOfResponse(Response), 200);
  cr_assert(has(Response, "X-Request-Id: r1-7-"));
  const auto Created = Response.find("event: response.created");
  const auto Delta = Response.find("event: response.output_text.delta");
  const auto Completed = Response.find("event: response.completed");
  cr_assert(Created < Delta && Delta < Completed);
  cr_assert(has(Response, "\"delta\":\"t2 \""));
  cr_assert(has(Response, "\"outcome\":\"completed\""));
  cr_assert(has(Response, "\"attempts\":1"));
}

Test(CallerApi, ADocumentContainsTheCompleteTextAndTheOutcome) {
  CallerFixture Fixture;
  const std::string Response = Fixture.exchange(
      CallerFixture::post(R"({"model":"advisory","input":"tokens=3"})"));
  cr_assert_eq(statusOfResponse(Response), 200);
  cr_assert(has(Response, "X-Outcome: completed"));
  cr_assert(has(Response, "X-Attempts: 1"));
  cr_assert(has(Response, "\"output_text\":\"t0 t1 t2 \""));
}

Test(CallerApi, ListsOnlyTheModelsOfTheAccount) {
  CallerFixture Fixture;
  const std::string Response =
      Fixture.exchange(get("/v1/models", "kettle-key"));
  cr_assert_eq(statusOfResponse(Response), 200);
  cr_assert(has(Response, "\"id\":\"advisory\""));
  cr_assert_not(has(Response, "records"));
  cr_assert(
      isProblem(Fixture.exchange(get("/v1/models", "")), 401, "unknown-key"));
}

Test(CallerApi, AListOfMessagesReachesTheEngine) {
  CallerFixture Fixture;
  const std::string Response = Fixture.exchange(CallerFixture::post(
      R"({"model":"advisory","input":[{"role":"user","content":"tokens=3"}]})"));
  cr_assert_eq(statusOfResponse(Response), 200, "%s", Response.c_str());
  cr_assert(has(Response, "\"output_text\":\"t0 t1 t2 \""));
}

Test(CallerApi, HealthRequiresNoKey) {
  CallerFixture Fixture;
  cr_assert_eq(statusOfResponse(Fixture.exchange(get("/health", ""))), 200);
  cr_assert(isProblem(Fixture.exchange(get("/nowhere", "")), 404, "not-found"));
}

Test(CallerApi, ServesPipelinedRequestsInOrder) {
  CallerFixture Fixture;
  const std::string First = "GET /health HTTP/1.1\r\n\r\n";
  const std::string Response = Fixture.exchange(
      First +
      CallerFixture::post(R"({"model":"advisory","input":"tokens=2"})"));
  cr_assert(has(Response, "\"status\":\"ok\""));
  cr_assert(has(Response, "\"output_text\":\"t0 t1 \""));
}

Test(CallerApi, ReportsTheTimingsOfEachRequestOnce) {
  static std::atomic<int> Observations{0};
  static std::atomic<std::uint64_t> Tokens{0};
  CallerFixture Fixture;
  Fixture.server().observeTimings([](const RequestTiming &Timing) {
    Observations +=
        Timing.Queued && Timing.FirstToken && Timing.Total >= *Timing.FirstToken
            ? 1
            : 0;
    Tokens = Timing.Tokens;
  });
  Fixture.exchange(
      CallerFixture::post(R"({"model":"advisory","input":"tokens=3"})"));
  cr_assert(eventually([] { return Observations == 1; }));
  cr_assert_eq(Tokens, 3);
}
