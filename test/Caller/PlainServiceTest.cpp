#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

bool has(const std::string &Answer, const std::string &Part) {
  return Answer.find(Part) != std::string::npos;
}

std::string record(const std::string &MoreHeaders = "",
                   const std::string &Key = "kettle-key") {
  return CallerFixture::postTo("/services/records/records", R"({"batch":4})",
                               MoreHeaders, Key);
}

} // namespace

Test(PlainServices, AnAnswerPassesUnchangedWithIdentityAndOutcome) {
  CallerFixture Fixture;
  const std::string Answer =
      Fixture.exchange(record("Idempotency-Key: batch-4\r\nX-Own: 1\r\n"));
  cr_assert_eq(statusOfAnswer(Answer), 201, "%s", Answer.c_str());
  cr_assert(has(Answer, "X-Record: 1"));
  cr_assert(has(Answer, "X-Request-Id: r1-7-"));
  cr_assert(has(Answer, "X-Outcome: completed"));
  cr_assert(Answer.ends_with(R"({"record":1,"bytes":11})"));
  const std::string Seen = Fixture.service().lastHeaders();
  cr_assert(has(Seen, "X-Own: 1"));
  cr_assert(has(Seen, "Idempotency-Key: batch-4"));
  cr_assert_not(has(Seen, "kettle-key"), "%s", Seen.c_str());
  cr_assert_eq(Fixture.claims(), 1);
  cr_assert(isProblem(Fixture.exchange(record("", "ledger-key")), 403,
                      "service-not-allowed"));
}

// Symptom: a caller takes a repeat's empty answer for its record.
// Sequence: a call with a key ran to its end; the caller sends it again.
// Cause: "completed" was answered as an own whole answer, also where it speaks
// of the earlier call. Fails without the look at the reason in
// RequestServer::finishAnswer.
Test(PlainServices, ARepeatOfACompletedKeyIsAConflict) {
  CallerFixture Fixture;
  const std::string Call = record("Idempotency-Key: batch-4\r\n");
  cr_assert_eq(statusOfAnswer(Fixture.exchange(Call)), 201);
  const std::string Repeat = Fixture.exchange(Call);
  cr_assert(isProblem(Repeat, 409, "already-run"), "%s", Repeat.c_str());
  cr_assert(has(Repeat, "X-Outcome: completed"));
  cr_assert_eq(Fixture.service().executionsByKey().at("batch-4"), 1);
}

// Symptom: half a record is taken for the whole.
// Sequence: the service's connection ends within its answer, whose beginning
// has been passed on.
// Cause: the library ends every chunked answer with a last chunk. Fails without
// the shutdown in PassedAnswer::cut.
Test(PlainServices, ACutAnswerEndsWithoutItsLastChunk) {
  CallerFixture Fixture;
  standin::EngineFaults Faults;
  Faults.TruncateAfter = 5;
  Fixture.service().setFaults(Faults);
  const std::string Answer = Fixture.exchange(record());
  cr_assert_eq(statusOfAnswer(Answer), 201);
  cr_assert(has(Answer, R"({"rec)"));
  cr_assert_not(Answer.ends_with("0\r\n\r\n"), "%s", Answer.c_str());
  cr_assert_not(has(Answer, "X-Outcome: completed"));
}

// Symptom: a record is written twice.
// Sequence: the service writes it, and its answer is lost.
// Cause: a call that may not be repeated was sent again. Fails without
// Repeatable in RequestServer::describe.
Test(PlainServices, ALostAnswerIsUnknownAndNotRepeated) {
  CallerFixture Fixture;
  standin::EngineFaults Faults;
  Faults.LoseAnswer = true;
  Fixture.service().setFaults(Faults);
  const std::string Answer =
      Fixture.exchange(record("Idempotency-Key: batch-5\r\n"));
  cr_assert(isProblem(Answer, 502, "server-failed"), "%s", Answer.c_str());
  cr_assert(has(Answer, "X-Outcome: unknown"));
  cr_assert_eq(Fixture.service().executionsByKey().at("batch-5"), 1);
}
