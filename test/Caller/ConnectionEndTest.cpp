#include "Caller/CallerFixture.h"

#include <Poco/Net/NetException.h>
#include <array>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr const char *ModelsRequest =
    "GET /v1/models HTTP/1.1\r\nHost: r1\r\n"
    "Authorization: Bearer kettle-key\r\n\r\n";

/// A request for a response of `Tokens` tokens on a keep-alive connection.
std::string keepAlivePost(int Tokens, bool Stream) {
  const std::string Count = std::to_string(Tokens);
  std::string Request =
      CallerFixture::post(R"({"model":"advisory","input":"tokens=)" + Count +
                          R"(","max_output_tokens":)" + Count +
                          (Stream ? R"(,"stream":true})" : "}"));
  return Request.erase(Request.find("Connection: close\r\n"), 19);
}

bool has(const std::string &Response, const std::string &Text) {
  return Response.find(Text) != std::string::npos;
}

/// Reads until the connection ends; whether it ended with a reset.
bool endsWithReset(Poco::Net::StreamSocket &From) {
  std::array<char, 4096> Buffer{};
  try {
    while (From.receiveBytes(Buffer.data(), Buffer.size()) > 0) {
    }
  } catch (const Poco::Net::ConnectionResetException &) {
    return true;
  }
  return false;
}

} // namespace

// Guards against a connection that closes after a stream whose head did not
// announce it: the caller's next request would be dropped. The drain starts
// while the stream runs.
Test(ConnectionEnd, answersARequestAfterAStreamDuringADrain) {
  CallerFixture Fixture;
  RawCaller Caller(Fixture.address());
  Caller.send(keepAlivePost(300, true));
  const std::string Head = Caller.readUntil("\r\n\r\n");
  cr_assert_not(has(Head, "Connection: Close"), "%s", Head.c_str());
  Fixture.server().announceDrain();
  Caller.readUntil("\r\n0\r\n\r\n");
  Caller.send(ModelsRequest);
  const std::string Next = Caller.readToEnd();
  cr_assert_eq(statusOfResponse(Next), 200, "got: %s", Next.c_str());
  cr_assert(has(Next, "Connection: Close"), "%s", Next.c_str());
}

// Guards against dropping a request that was pipelined after such a stream.
Test(ConnectionEnd, answersAPipelinedRequestDuringADrain) {
  CallerFixture Fixture;
  RawCaller Caller(Fixture.address());
  Caller.send(keepAlivePost(300, true) + ModelsRequest);
  Caller.readUntil("\r\n\r\n");
  Fixture.server().announceDrain();
  const std::string Rest = Caller.readToEnd();
  cr_assert(has(Rest, R"("object":"list")"), "got %zu bytes", Rest.size());
}

// Guards against a truncated response: a connection is closed while it holds
// unread bytes of a further request, and the resulting reset discards the
// unsent rest of the response.
Test(ConnectionEnd, sendsTheCompleteResponseDespiteUnreadBytes, .timeout = 60) {
  CallerFixture Fixture({}, 8, Duration::zero());
  RawCaller Slow(Fixture.address());
  Slow.socket().setReceiveBufferSize(1024);
  std::string Request = keepAlivePost(60000, false);
  Request.insert(Request.find("\r\n") + 2, "Connection: close\r\n");
  Slow.send(Request);
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  Slow.send(ModelsRequest);
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 0; }));
  std::this_thread::sleep_for(2500ms);
  const std::string Response = Slow.readToEnd();
  cr_assert(has(Response, "t59999 "), "got %zu bytes", Response.size());
}

// Guards against a request that gets no response because the process shuts down
// while the request body is still being received.
Test(ConnectionEnd, refusesARequestThatIsReceivedDuringShutdown) {
  auto Fixture = std::make_unique<CallerFixture>();
  RawCaller Caller(Fixture->address());
  const std::string Request = keepAlivePost(3, false);
  const std::size_t SentBytes = Request.size() - 5;
  Caller.send(Request.substr(0, SentBytes));
  cr_assert(eventually(
      [&] { return Fixture->server().counters().BytesReceived >= SentBytes; }));
  auto End = std::async(std::launch::async, [&] { Fixture.reset(); });
  std::this_thread::sleep_for(300ms);
  Caller.send(Request.substr(SentBytes));
  const std::string Response = Caller.readToEnd();
  End.wait();
  cr_assert(isProblem(Response, 503, "draining"), "got: %s", Response.c_str());
  cr_assert(has(Response, "X-Outcome: not-run"), "%s", Response.c_str());
}

// Guards against a stream that the shutdown of the process truncates but that
// ends as if it were complete.
Test(ConnectionEnd, aStreamTruncatedByShutdownReportsIt) {
  auto Fixture = std::make_unique<CallerFixture>();
  RawCaller Caller(Fixture->address());
  Caller.send(keepAlivePost(20000, true));
  Caller.readUntil("t20 ");
  auto End = std::async(std::launch::async, [&] { Fixture.reset(); });
  const std::string Rest = Caller.readToEnd();
  End.wait();
  cr_assert(has(Rest, "event: response.incomplete"), "got %zu bytes",
            Rest.size());
  cr_assert(has(Rest, R"("outcome":"unknown")"));
}

// Guards against a running request that gets no response when the process shuts
// down.
Test(ConnectionEnd, aRequestThatRunsDuringShutdownGetsAFinalResponse) {
  auto Fixture = std::make_unique<CallerFixture>();
  RawCaller Caller(Fixture->address());
  Caller.send(keepAlivePost(20000, false));
  cr_assert(eventually([&] { return Fixture->engine().running() == 1; }));
  auto End = std::async(std::launch::async, [&] { Fixture.reset(); });
  const std::string Response = Caller.readToEnd();
  End.wait();
  cr_assert_eq(statusOfResponse(Response), 502, "got: %s", Response.c_str());
  cr_assert(has(Response, "X-Outcome: unknown"), "%s", Response.c_str());
}

// Guards against discarding a complete response because the process shuts down
// before the control thread has decided that the request is finished.
Test(ConnectionEnd, deliversACompleteResponseDuringShutdown) {
  auto Fixture = std::make_unique<CallerFixture>();
  RawCaller Caller(Fixture->address());
  Caller.send(keepAlivePost(500, false));
  cr_assert(eventually([&] { return Fixture->engine().running() == 1; }));
  Fixture->control().stop();
  cr_assert(eventually([&] { return Fixture->engine().running() == 0; }));
  std::this_thread::sleep_for(300ms);
  Fixture.reset();
  const std::string Response = Caller.readToEnd();
  cr_assert_eq(statusOfResponse(Response), 200, "got: %s", Response.c_str());
  cr_assert(has(Response, "t499 "));
}

// Guards against a truncated response that looks complete to an HTTP/1.0
// caller, since only the end of the connection delimits it.
Test(ConnectionEnd, resetsATruncatedResponseDelimitedByTheConnection) {
  CallerFixture Fixture;
  standin::EngineFaults Faults;
  Faults.TruncateAfter = 5;
  Fixture.service().setFaults(Faults);
  RawCaller Caller(Fixture.address());
  std::string Request =
      CallerFixture::postTo("/services/records/records", R"({"batch":4})");
  Request.replace(Request.find("HTTP/1.1"), 8, "HTTP/1.0");
  Caller.send(Request);
  cr_assert(endsWithReset(Caller.socket()));
}

// Guards against closing an idle connection while its last response is still
// being sent: the caller's next request would cause a reset and truncate the
// response.
Test(ConnectionEnd, closesAnIdleConnectionOnlyAfterItsResponseIsSent,
     .timeout = 60) {
  CallerSettings Settings;
  Settings.IdleTimeout = 250ms;
  CallerFixture Fixture(Settings, 8, Duration::zero());
  RawCaller Slow(Fixture.address());
  Slow.socket().setReceiveBufferSize(1024);
  Slow.send(keepAlivePost(60000, false));
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 1; }));
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 0; }));
  Slow.send(ModelsRequest);
  std::this_thread::sleep_for(1500ms);
  const std::string Response = Slow.readToEnd();
  cr_assert(has(Response, "t59999 "), "got %zu bytes", Response.size());
}
