#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

bool has(const std::string &Answer, const std::string &Part) {
  return Answer.find(Part) != std::string::npos;
}

std::string get(const std::string &Path, const std::string &Key) {
  return "GET " + Path + " HTTP/1.1\r\nConnection: close\r\n" +
         (Key.empty() ? "" : "Authorization: Bearer " + Key + "\r\n") + "\r\n";
}

} // namespace

Test(CallerApi, AStreamBeginsWithCreatedAndEndsWithItsOutcome) {
  CallerFixture Fixture;
  const std::string Answer = Fixture.exchange(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=3","stream":true})"));
  cr_assert_eq(statusOfAnswer(Answer), 200);
  cr_assert(has(Answer, "X-Request-Id: r1-7-"));
  const auto Created = Answer.find("event: response.created");
  const auto Delta = Answer.find("event: response.output_text.delta");
  const auto Completed = Answer.find("event: response.completed");
  cr_assert(Created < Delta && Delta < Completed);
  cr_assert(has(Answer, "\"delta\":\"t2 \""));
  cr_assert(has(Answer, "\"outcome\":\"completed\""));
  cr_assert(has(Answer, "\"attempts\":1"));
}

Test(CallerApi, ADocumentCarriesTheWholeTextAndTheOutcome) {
  CallerFixture Fixture;
  const std::string Answer = Fixture.exchange(
      CallerFixture::post(R"({"model":"advisory","input":"tokens=3"})"));
  cr_assert_eq(statusOfAnswer(Answer), 200);
  cr_assert(has(Answer, "X-Outcome: completed"));
  cr_assert(has(Answer, "X-Attempts: 1"));
  cr_assert(has(Answer, "\"output_text\":\"t0 t1 t2 \""));
}

Test(CallerApi, ModelsAreThoseOfTheAccountAndOfEnginesOnly) {
  CallerFixture Fixture;
  const std::string Answer = Fixture.exchange(get("/v1/models", "kettle-key"));
  cr_assert_eq(statusOfAnswer(Answer), 200);
  cr_assert(has(Answer, "\"id\":\"advisory\""));
  cr_assert_not(has(Answer, "records"));
  cr_assert(
      isProblem(Fixture.exchange(get("/v1/models", "")), 401, "unknown-key"));
}

Test(CallerApi, AListOfMessagesReachesTheEngine) {
  CallerFixture Fixture;
  const std::string Answer = Fixture.exchange(CallerFixture::post(
      R"({"model":"advisory","input":[{"role":"user","content":"tokens=3"}]})"));
  cr_assert_eq(statusOfAnswer(Answer), 200, "%s", Answer.c_str());
  cr_assert(has(Answer, "\"output_text\":\"t0 t1 t2 \""));
}

Test(CallerApi, HealthNeedsNoKey) {
  CallerFixture Fixture;
  cr_assert_eq(statusOfAnswer(Fixture.exchange(get("/health", ""))), 200);
  cr_assert(isProblem(Fixture.exchange(get("/nowhere", "")), 404, "not-found"));
}

Test(CallerApi, KeepAliveServesPipelinedRequestsInOrder) {
  CallerFixture Fixture;
  const std::string First = "GET /health HTTP/1.1\r\n\r\n";
  const std::string Answer = Fixture.exchange(
      First +
      CallerFixture::post(R"({"model":"advisory","input":"tokens=2"})"));
  cr_assert(has(Answer, "\"status\":\"ok\""));
  cr_assert(has(Answer, "\"output_text\":\"t0 t1 \""));
}

Test(CallerApi, EveryServedRequestIsTimedOnce) {
  static std::atomic<int> Timed{0};
  static std::atomic<std::uint64_t> Tokens{0};
  CallerFixture Fixture;
  Fixture.server().observeTimings([](const RequestTiming &T) {
    Timed += T.Queued && T.FirstToken && T.Total >= *T.FirstToken ? 1 : 0;
    Tokens = T.Tokens;
  });
  Fixture.exchange(
      CallerFixture::post(R"({"model":"advisory","input":"tokens=3"})"));
  cr_assert(eventually([] { return Timed == 1; }));
  cr_assert_eq(Tokens, 3);
}
