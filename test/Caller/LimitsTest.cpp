#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr const char *Good = R"({"model":"advisory","input":"tokens=2"})";

struct BadRequest {
  const char *Name;
  std::string Bytes;
  int Status;
  const char *Type;
};

std::string nested(int Depth) {
  return R"({"model":"advisory","input":"x","metadata":)" +
         std::string(static_cast<std::size_t>(Depth), '[') +
         std::string(static_cast<std::size_t>(Depth), ']') + "}";
}

std::string withTokens(const std::string &Number) {
  return CallerFixture::post(
      R"({"model":"advisory","input":"x","max_output_tokens":)" + Number + "}");
}

std::string manyHeaders(int Count) {
  std::string Headers;
  for (int I = 0; I < Count; ++I)
    Headers += "X-H" + std::to_string(I) + ": v\r\n";
  return Headers;
}

std::string chunked(const std::string &Chunks) {
  return "POST /v1/responses HTTP/1.1\r\nAuthorization: Bearer kettle-key\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         Chunks;
}

std::vector<BadRequest> badRequests() {
  const auto Post = [](const std::string &Body, const std::string &More = "") {
    return CallerFixture::post(Body, More);
  };
  const std::string Long(3000, 'a');
  return {
      {"garbage", "\x01\x02\x03 garbage\r\n\r\n", 400, "invalid-request"},
      {"no JSON", Post("{\"model\":"), 400, "invalid-body"},
      {"an array", Post("[1]"), 400, "invalid-body"},
      {"no model", Post("{}"), 400, "invalid-body"},
      {"no input", Post(R"({"model":"advisory"})"), 400, "invalid-body"},
      {"input a number", Post(R"({"model":"advisory","input":3})"), 400,
       "invalid-body"},
      {"input an empty list", Post(R"({"model":"advisory","input":[]})"), 400,
       "invalid-body"},
      {"input an object", Post(R"({"model":"advisory","input":{}})"), 400,
       "invalid-body"},
      {"stream a string",
       Post(R"({"model":"advisory","input":"x","stream":"yes"})"), 400,
       "invalid-body"},
      {"deep nesting", Post(nested(500)), 400, "invalid-body"},
      {"a huge number", withTokens("99999999999999999999999999"), 400,
       "invalid-body"},
      {"an infinite number", withTokens("1e999"), 400, "invalid-body"},
      {"a negative number", withTokens("-1"), 400, "invalid-body"},
      {"no tokens", withTokens("0"), 400, "invalid-body"},
      {"invalid UTF-8", Post("{\"model\":\"advisory\",\"input\":\"\xc3\x28\"}"),
       400, "invalid-body"},
      {"cut UTF-8", Post("{\"model\":\"advisory\",\"input\":\"\"}\xe2\x82"),
       400, "invalid-body"},
      {"unknown method",
       "BREW /v1/responses HTTP/1.1\r\nConnection: close\r\n\r\n", 405,
       "method-not-allowed"},
      {"no length",
       "POST /v1/responses HTTP/1.1\r\nAuthorization: Bearer "
       "kettle-key\r\n\r\n",
       411, "length-required"},
      {"a length of letters",
       "POST /v1/responses HTTP/1.1\r\nContent-Length: ten\r\n\r\n", 400,
       "invalid-request"},
      {"a negative length",
       "POST /v1/responses HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400,
       "invalid-request"},
      {"both framings", Post(Good, "Transfer-Encoding: chunked\r\n"), 400,
       "invalid-request"},
      {"a large length",
       "POST /v1/responses HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413,
       "body-too-large"},
      {"large chunks", chunked("1000\r\n" + std::string(0x1000, ' ') + "\r\n"),
       413, "body-too-large"},
      {"a broken chunk", chunked("zz\r\n" + std::string(Good) + "\r\n"), 400,
       "invalid-body"},
      {"a long target", "GET /" + Long + " HTTP/1.1\r\n\r\n", 414,
       "uri-too-long"},
      {"many fields", Post(Good, manyHeaders(70)), 431, "headers-too-large"},
      {"a large head",
       Post(Good, "X-A: " + std::string(7000, 'a') +
                      "\r\nX-B: " + std::string(7000, 'b') + "\r\n"),
       431, "headers-too-large"},
      {"a key with spaces", Post(Good, "Idempotency-Key: a b\r\n"), 400,
       "invalid-header"},
      {"a long key",
       Post(Good, "Idempotency-Key: " + std::string(200, 'k') + "\r\n"), 400,
       "invalid-header"},
      {"no time", Post(Good, "X-Request-Timeout-Seconds: 0\r\n"), 400,
       "invalid-header"},
      {"a time of letters", Post(Good, "X-Request-Timeout-Seconds: x\r\n"), 400,
       "invalid-header"},
      {"another's key", CallerFixture::post(Good, "", "wrong"), 401,
       "unknown-key"},
      {"another's model", Post(R"({"model":"other","input":"x"})"), 403,
       "service-not-allowed"},
  };
}

CallerSettings smallLimits() {
  CallerSettings Settings;
  Settings.MaxBodyBytes = 4000;
  Settings.MaxHeaderBytes = 8000;
  Settings.MaxUriBytes = 2000;
  return Settings;
}

} // namespace

// Symptom: a request that no caller should send is answered with a bare
// status, by a closed connection, or hurts the requests of others.
// Sequence: each kind of broken or oversized request comes over a raw
// connection; then a good one comes.
// Cause: checks that are missing, or that POCO does without our form of error.
// Failed while answers were sent after the connection was shut down, and while
// a chunked body was read in whole pieces (runs of Caller.LimitsTest then).
Test(Limits, EveryBadRequestGetsItsOwnProblemAndHurtsNobody) {
  CallerFixture Fixture(smallLimits());
  for (const BadRequest &Bad : badRequests()) {
    const std::string Answer = Fixture.exchange(Bad.Bytes);
    cr_expect(isProblem(Answer, Bad.Status, Bad.Type), "%s: %s", Bad.Name,
              Answer.c_str());
    cr_expect(Answer.find("X-Outcome: not-run") != std::string::npos, "%s",
              Bad.Name);
  }
  cr_assert_eq(statusOfAnswer(Fixture.exchange(CallerFixture::post(Good))),
               200);
  cr_assert_eq(Fixture.engine().executions().size(), 1);
}

// Symptom: one caller holds a thread for hours.
// Sequence: bytes of the head, then of the body, come one by one, each soon
// enough for POCO's time limit on a single read.
// Cause: no limit on the request as a whole.
// Fails with a limit for each read in place of one for the whole request (run:
// Caller.LimitsTest on such a copy).
Test(Limits, ASlowSenderIsCutOffByTheWholeRequest) {
  CallerSettings Settings;
  Settings.ReceiveTimeout = std::chrono::milliseconds(300);
  CallerFixture Fixture(Settings);
  const std::string Whole = CallerFixture::post(Good);
  for (const std::size_t Start : {std::size_t{1}, Whole.size() - 20}) {
    RawCaller Slow(Fixture.address());
    Slow.send(Whole.substr(0, Start));
    std::size_t At = Start;
    while (At < Start + 15 &&
           !Slow.socket().poll(Poco::Timespan(0, 50'000),
                               Poco::Net::Socket::SELECT_READ))
      Slow.send(Whole.substr(At++, 1));
    cr_assert_lt(At, Start + 15, "the sender was let go on");
    cr_assert(isProblem(Slow.readToEnd(), 408, "receive-timeout"));
  }
  cr_assert_eq(
      Fixture.server().counters().problems(ProblemType::ReceiveTimeout), 2);
}

// Symptom: with all threads taken, a further caller waits without an answer.
// Sequence: idle connections take all threads; one more caller comes; one of
// the first leaves, and the next caller is served.
// Cause: POCO's server queues connections that have no thread.
// Fails with the limit raised by 100 (run: Caller.LimitsTest on such a copy).
Test(Limits, AConnectionTooManyIsRefusedAtOnce) {
  CallerSettings Settings;
  Settings.MaxConnections = 2;
  CallerFixture Fixture(Settings);
  RawCaller First(Fixture.address());
  RawCaller Second(Fixture.address());
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 2; }));
  const std::string Refused = Fixture.exchange(CallerFixture::post(Good));
  cr_assert(isProblem(Refused, 503, "connection-limit"));
  cr_assert(Refused.find("Retry-After: 1") != std::string::npos);
  First.disconnect();
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 1; }));
  cr_assert_eq(statusOfAnswer(Fixture.exchange(CallerFixture::post(Good))),
               200);
}

// Symptom: one flooding account leaves no thread to the others.
// Sequence: an account has as many requests in flight as it may; a further one
// of its own is refused, one of another account is served.
// Cause: no limit of what one account has in flight.
// Fails with the limit raised by 100 (run: Caller.LimitsTest on such a copy).
Test(Limits, OneAccountCannotTakeThePlacesOfOthers) {
  CallerSettings Settings;
  Settings.MaxInFlightPerAccount = 1;
  CallerFixture Fixture(Settings);
  RawCaller Long(Fixture.address());
  Long.send(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=5000","max_output_tokens":5000})"));
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  const std::string Refused = Fixture.exchange(CallerFixture::post(Good));
  cr_assert(isProblem(Refused, 429, "account-limit"));
  cr_assert(Refused.find("Retry-After: ") != std::string::npos);
  cr_assert_eq(statusOfAnswer(Fixture.exchange(
                   CallerFixture::post(Good, "", "ledger-key"))),
               200);
}

// Symptom: connections without requests hold all threads.
// Sequence: a caller connects and sends nothing.
// Cause: no limit on idle connections.
// Fails with a thousand times the wait (run: Caller.LimitsTest on such a copy).
Test(Limits, AnIdleConnectionIsClosed) {
  CallerSettings Settings;
  Settings.IdleTimeout = std::chrono::milliseconds(250);
  CallerFixture Fixture(Settings);
  RawCaller Idle(Fixture.address());
  cr_assert_eq(Idle.readToEnd(), "");
  cr_assert_eq(Fixture.server().counters().ConnectionsIdleClosed, 1);
}
