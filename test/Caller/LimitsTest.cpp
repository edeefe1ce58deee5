#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr const char *ValidBody = R"({"model":"advisory","input":"tokens=2"})";

struct InvalidRequest {
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

std::vector<InvalidRequest> invalidRequests() {
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
      {"zero tokens", withTokens("0"), 400, "invalid-body"},
      {"invalid UTF-8", Post("{\"model\":\"advisory\",\"input\":\"\xc3\x28\"}"),
       400, "invalid-body"},
      {"truncated UTF-8",
       Post("{\"model\":\"advisory\",\"input\":\"\"}\xe2\x82"), 400,
       "invalid-body"},
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
      {"both framings", Post(ValidBody, "Transfer-Encoding: chunked\r\n"), 400,
       "invalid-request"},
      {"a large length",
       "POST /v1/responses HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413,
       "body-too-large"},
      {"large chunks", chunked("1000\r\n" + std::string(0x1000, ' ') + "\r\n"),
       413, "body-too-large"},
      {"a malformed chunk", chunked("zz\r\n" + std::string(ValidBody) + "\r\n"),
       400, "invalid-body"},
      {"a long target", "GET /" + Long + " HTTP/1.1\r\n\r\n", 414,
       "uri-too-long"},
      {"many fields", Post(ValidBody, manyHeaders(70)), 431,
       "headers-too-large"},
      {"a large head",
       Post(ValidBody, "X-A: " + std::string(7000, 'a') +
                           "\r\nX-B: " + std::string(7000, 'b') + "\r\n"),
       431, "headers-too-large"},
      {"a key with spaces", Post(ValidBody, "Idempotency-Key: a b\r\n"), 400,
       "invalid-header"},
      {"a long key",
       Post(ValidBody, "Idempotency-Key: " + std::string(200, 'k') + "\r\n"),
       400, "invalid-header"},
      {"a timeout of zero", Post(ValidBody, "X-Request-Timeout-Seconds: 0\r\n"),
       400, "invalid-header"},
      {"a timeout of letters",
       Post(ValidBody, "X-Request-Timeout-Seconds: x\r\n"), 400,
       "invalid-header"},
      {"an unknown key", CallerFixture::post(ValidBody, "", "wrong"), 401,
       "unknown-key"},
      {"a model that is not allowed", Post(R"({"model":"other","input":"x"})"),
       403, "service-not-allowed"},
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

// Guards against an invalid request that gets a status without a problem
// document, only a closed connection, or that affects other requests: a check
// is missing, or POCO performs it without our error format. Sends each kind of
// malformed or oversized request over a raw connection, and then a valid one.
// Fails if responses are sent after the connection was shut down, or if a
// chunked body is read in full buffers only.
Test(Limits, EveryInvalidRequestGetsItsOwnProblem) {
  CallerFixture Fixture(smallLimits());
  for (const InvalidRequest &Request : invalidRequests()) {
    const std::string Response = Fixture.exchange(Request.Bytes);
    cr_expect(isProblem(Response, Request.Status, Request.Type), "%s: %s",
              Request.Name, Response.c_str());
    cr_expect(Response.find("X-Outcome: not-run") != std::string::npos, "%s",
              Request.Name);
  }
  cr_assert_eq(
      statusOfResponse(Fixture.exchange(CallerFixture::post(ValidBody))), 200);
  cr_assert_eq(Fixture.engine().executions().size(), 1);
}

// Guards against a caller that occupies a thread for hours. It sends the head,
// or the body, byte by byte, each byte within POCO's timeout for a single read.
// Fails if the timeout applies to each read instead of the complete request.
Test(Limits, ASlowSenderIsStoppedByTheRequestTimeout) {
  CallerSettings Settings;
  Settings.ReceiveTimeout = std::chrono::milliseconds(300);
  CallerFixture Fixture(Settings);
  const std::string Message = CallerFixture::post(ValidBody);
  for (const std::size_t Offset : {std::size_t{1}, Message.size() - 20}) {
    RawCaller Slow(Fixture.address());
    Slow.send(Message.substr(0, Offset));
    std::size_t Position = Offset;
    while (Position < Offset + 15 &&
           !Slow.socket().poll(Poco::Timespan(0, 50'000),
                               Poco::Net::Socket::SELECT_READ))
      Slow.send(Message.substr(Position++, 1));
    cr_assert_lt(Position, Offset + 15, "the slow sender was not stopped");
    cr_assert(isProblem(Slow.readToEnd(), 408, "receive-timeout"));
  }
  cr_assert_eq(
      Fixture.server().counters().problems(ProblemType::ReceiveTimeout), 2);
}

// Guards against a caller that waits without a response because idle
// connections occupy all threads and POCO's server queues further connections.
// When one of the connections closes, the next caller is served. Fails if the
// limit is raised by 100.
Test(Limits, AConnectionAboveTheLimitIsRefusedImmediately) {
  CallerSettings Settings;
  Settings.MaxConnections = 2;
  CallerFixture Fixture(Settings);
  RawCaller First(Fixture.address());
  RawCaller Second(Fixture.address());
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 2; }));
  const std::string Refusal = Fixture.exchange(CallerFixture::post(ValidBody));
  cr_assert(isProblem(Refusal, 503, "connection-limit"));
  cr_assert(Refusal.find("Retry-After: 1") != std::string::npos);
  First.disconnect();
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 1; }));
  cr_assert_eq(
      statusOfResponse(Fixture.exchange(CallerFixture::post(ValidBody))), 200);
}

// Guards against one account that occupies all threads. An account has its
// maximum number of requests in flight; a further one of this account is
// refused, and a request of another account is served. Fails if the limit is
// raised by 100.
Test(Limits, OneAccountCannotOccupyAllThreads) {
  CallerSettings Settings;
  Settings.MaxInFlightPerAccount = 1;
  CallerFixture Fixture(Settings);
  RawCaller Long(Fixture.address());
  Long.send(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=5000","max_output_tokens":5000})"));
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  const std::string Refusal = Fixture.exchange(CallerFixture::post(ValidBody));
  cr_assert(isProblem(Refusal, 429, "account-limit"));
  cr_assert(Refusal.find("Retry-After: ") != std::string::npos);
  cr_assert_eq(statusOfResponse(Fixture.exchange(
                   CallerFixture::post(ValidBody, "", "ledger-key"))),
               200);
}

// Guards against connections without requests that occupy all threads: a caller
// connects and sends nothing. Fails if the idle timeout is a thousand times
// longer.
Test(Limits, AnIdleConnectionIsClosed) {
  CallerSettings Settings;
  Settings.IdleTimeout = std::chrono::milliseconds(250);
  CallerFixture Fixture(Settings);
  RawCaller Idle(Fixture.address());
  cr_assert_eq(Idle.readToEnd(), "");
  cr_assert_eq(Fixture.server().counters().ConnectionsIdleClosed, 1);
}
