#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr const char *LongRequest =
    R"({"model":"advisory","input":"tokens=20000","max_output_tokens":20000,"stream":true})";

} // namespace

// Guards against a request that stays in the queue and runs although its caller
// has disconnected. One request runs on the only slot and a second one waits
// when its caller closes the connection; nothing checks the connection while
// its thread waits for a decision. Fails if no socket is passed to the watch.
Test(Watch, CancelsAQueuedRequestOfADisconnectedCaller) {
  CallerFixture Fixture({}, 1);
  RawCaller Running(Fixture.address());
  Running.send(CallerFixture::post(LongRequest));
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  RawCaller Waiting(Fixture.address());
  Waiting.send(CallerFixture::post(LongRequest));
  cr_assert(eventually([&] { return Fixture.control().openRequests() == 2; }));
  Waiting.disconnect();
  cr_assert(eventually([&] { return Fixture.control().openRequests() == 1; }));
  cr_assert_eq(Fixture.engine().executions().size(), 1);
  cr_assert_eq(Fixture.server().counters().CallersDisconnected, 1);
}

// Guards against a request that occupies its engine slot to the end although
// its caller has disconnected. The request does not stream, so that no write
// can fail. Fails if no socket is passed to the watch.
Test(Watch, CancelsARunningRequestOfADisconnectedCaller) {
  CallerFixture Fixture({}, 1);
  RawCaller Running(Fixture.address());
  Running.send(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=60000","max_output_tokens":60000})"));
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  Running.disconnect();
  cr_assert(eventually([&] { return Fixture.engine().running() == 0; }));
  cr_assert_eq(Fixture.control().openRequests(), 0);
}

// Guards against cancelling a request whose caller is still connected, and
// against a watch thread that spins. A second request is pipelined after a
// running one, and a socket with unread bytes is readable just like a closed
// one. Fails if unread bytes are taken for a close.
Test(Watch, PipelinedBytesAreNotADisconnect) {
  CallerFixture Fixture;
  RawCaller Caller(Fixture.address());
  std::string First = CallerFixture::post(
      R"({"model":"advisory","input":"tokens=300","max_output_tokens":300})");
  First.replace(First.find("Connection: close\r\n"), 19, "");
  Caller.send(First);
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  Caller.send(
      CallerFixture::post(R"({"model":"advisory","input":"tokens=2"})"));
  const std::string Response = Caller.readToEnd();
  cr_assert(Response.find("t299 ") != std::string::npos);
  cr_assert(Response.find("\"output_text\":\"t0 t1 \"") != std::string::npos);
  cr_assert_eq(Fixture.server().counters().CallersDisconnected, 0);
}

// Guards against the same failure as the first test if a pipelined request
// precedes the close: its unread bytes hide the close from a read. Fails
// without the check of connections with unread bytes.
Test(Watch, DetectsACloseAfterPipelinedBytes) {
  CallerFixture Fixture({}, 1);
  RawCaller Caller(Fixture.address());
  Caller.send(CallerFixture::post(LongRequest));
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  RawCaller Waiting(Fixture.address());
  Waiting.send(CallerFixture::post(LongRequest));
  cr_assert(eventually([&] { return Fixture.control().openRequests() == 2; }));
  Waiting.send("GET /health HTTP/1.1\r\n\r\n");
  Waiting.disconnect();
  cr_assert(eventually([&] { return Fixture.control().openRequests() == 1; }));
  cr_assert_eq(Fixture.engine().executions().size(), 1);
  cr_assert_eq(Fixture.server().counters().CallersDisconnected, 1);
}

// Guards against a caller that never reads and thereby occupies a thread and a
// slot. It requests a long stream and reads nothing, so that its receive window
// fills and writes block. Fails with a send timeout of 60 s.
Test(Watch, CancelsARequestWhoseCallerDoesNotRead) {
  CallerSettings Settings;
  Settings.SendTimeout = std::chrono::milliseconds(200);
  CallerFixture Fixture(Settings, 1, Duration::zero());
  RawCaller Stalled(Fixture.address());
  Stalled.socket().setReceiveBufferSize(1024);
  Stalled.send(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=900000","max_output_tokens":900000,"stream":true})"));
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  cr_assert(eventually([&] { return Fixture.engine().running() == 0; }));
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 0; }));
}

// Guards against a queue full of requests that nobody waits for after a failure
// of the callers' network. 500 callers, about the maximum number of connections
// of a router, wait and disconnect at the same time. Fails if no socket is
// passed to the watch.
Test(Watch, CancelsTheRequestsOfFiveHundredCallersAtOnce) {
  CallerSettings Settings;
  Settings.MaxInFlightPerAccount = 1000;
  CallerFixture Fixture(Settings, 1);
  RawCaller Running(Fixture.address());
  Running.send(CallerFixture::post(LongRequest));
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  std::vector<std::unique_ptr<RawCaller>> Waiting;
  for (int I = 0; I < 500; ++I) {
    Waiting.push_back(std::make_unique<RawCaller>(Fixture.address()));
    Waiting.back()->send(CallerFixture::post(LongRequest));
  }
  cr_assert(
      eventually([&] { return Fixture.control().openRequests() == 501; }));
  Waiting.clear();
  cr_assert(eventually([&] { return Fixture.control().openRequests() <= 1; }));
  cr_assert_eq(Fixture.engine().executions().size(), 1);
}
