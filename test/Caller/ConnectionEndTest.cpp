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

/// A request for an answer of so many tokens, over a connection that is kept.
std::string keptPost(int Tokens, bool Stream) {
  const std::string Count = std::to_string(Tokens);
  std::string Request =
      CallerFixture::post(R"({"model":"advisory","input":"tokens=)" + Count +
                          R"(","max_output_tokens":)" + Count +
                          (Stream ? R"(,"stream":true})" : "}"));
  return Request.erase(Request.find("Connection: close\r\n"), 19);
}

bool has(const std::string &Answer, const std::string &Part) {
  return Answer.find(Part) != std::string::npos;
}

/// Whether the connection ends with a reset, behind whatever comes before.
bool endsWithReset(Poco::Net::StreamSocket &From) {
  std::array<char, 4096> Piece{};
  try {
    while (From.receiveBytes(Piece.data(), Piece.size()) > 0) {
    }
  } catch (const Poco::Net::ConnectionResetException &) {
    return true;
  }
  return false;
}

} // namespace

// Guards against a connection that ends behind a stream whose head did not
// announce it: the next request of its caller would be dropped.
Test(ConnectionEnd, aRequestBehindAStreamThatOutlivedADrainIsAnswered) {
  CallerFixture Fixture;
  RawCaller Caller(Fixture.address());
  Caller.send(keptPost(300, true));
  const std::string Begun = Caller.readUntil("\r\n\r\n");
  cr_assert_not(has(Begun, "Connection: Close"), "%s", Begun.c_str());
  Fixture.server().announceDrain();
  Caller.readUntil("\r\n0\r\n\r\n");
  Caller.send(ModelsRequest);
  const std::string Next = Caller.readToEnd();
  cr_assert_eq(statusOfAnswer(Next), 200, "got: %s", Next.c_str());
  cr_assert(has(Next, "Connection: Close"), "%s", Next.c_str());
}

// Guards against a request that was sent ahead of the end of such a stream, and
// is dropped with it.
Test(ConnectionEnd, aRequestSentAheadOfADrainIsAnswered) {
  CallerFixture Fixture;
  RawCaller Caller(Fixture.address());
  Caller.send(keptPost(300, true) + ModelsRequest);
  Caller.readUntil("\r\n\r\n");
  Fixture.server().announceDrain();
  const std::string Rest = Caller.readToEnd();
  cr_assert(has(Rest, R"("object":"list")"), "got %zu bytes", Rest.size());
}

// Guards against the reset of a connection that holds unread bytes: what has
// not left of its answer would be lost.
Test(ConnectionEnd, anAnswerLeavesWholeWhereMoreWasSentBehindItsRequest,
     .timeout = 60) {
  CallerFixture Fixture({}, 8, Duration::zero());
  RawCaller Slow(Fixture.address());
  Slow.socket().setReceiveBufferSize(1024);
  std::string Request = keptPost(60000, false);
  Request.insert(Request.find("\r\n") + 2, "Connection: close\r\n");
  Slow.send(Request);
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));
  Slow.send(ModelsRequest);
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 0; }));
  std::this_thread::sleep_for(2500ms);
  const std::string Answer = Slow.readToEnd();
  cr_assert(has(Answer, "t59999 "), "got %zu bytes", Answer.size());
}

// Guards against a request that the end of the process drops without a word,
// since its body was still on its way.
Test(ConnectionEnd, aRequestReadAsTheProcessEndsIsRefused) {
  auto Fixture = std::make_unique<CallerFixture>();
  RawCaller Caller(Fixture->address());
  const std::string Request = keptPost(3, false);
  const std::size_t Part = Request.size() - 5;
  Caller.send(Request.substr(0, Part));
  cr_assert(eventually(
      [&] { return Fixture->server().counters().BytesReceived >= Part; }));
  auto End = std::async(std::launch::async, [&] { Fixture.reset(); });
  std::this_thread::sleep_for(300ms);
  Caller.send(Request.substr(Part));
  const std::string Answer = Caller.readToEnd();
  End.wait();
  cr_assert(isProblem(Answer, 503, "draining"), "got: %s", Answer.c_str());
  cr_assert(has(Answer, "X-Outcome: not-run"), "%s", Answer.c_str());
}

// Guards against a stream that the end of the process cuts and that ends as if
// it were whole.
Test(ConnectionEnd, aStreamCutByTheEndOfTheProcessSaysSo) {
  auto Fixture = std::make_unique<CallerFixture>();
  RawCaller Caller(Fixture->address());
  Caller.send(keptPost(20000, true));
  Caller.readUntil("t20 ");
  auto End = std::async(std::launch::async, [&] { Fixture.reset(); });
  const std::string Rest = Caller.readToEnd();
  End.wait();
  cr_assert(has(Rest, "event: response.incomplete"), "got %zu bytes",
            Rest.size());
  cr_assert(has(Rest, R"("outcome":"unknown")"));
}

// Guards against a request in hand that the end of the process leaves without
// an answer.
Test(ConnectionEnd, aRequestThatRunsAsTheProcessEndsGetsItsFinalAnswer) {
  auto Fixture = std::make_unique<CallerFixture>();
  RawCaller Caller(Fixture->address());
  Caller.send(keptPost(20000, false));
  cr_assert(eventually([&] { return Fixture->engine().running() == 1; }));
  auto End = std::async(std::launch::async, [&] { Fixture.reset(); });
  const std::string Answer = Caller.readToEnd();
  End.wait();
  cr_assert_eq(statusOfAnswer(Answer), 502, "got: %s", Answer.c_str());
  cr_assert(has(Answer, "X-Outcome: unknown"), "%s", Answer.c_str());
}

// Guards against a whole answer that is thrown away, since the process ends
// before anybody has decided that it is the final one.
Test(ConnectionEnd, aWholeAnswerInHandAsTheProcessEndsIsDelivered) {
  auto Fixture = std::make_unique<CallerFixture>();
  RawCaller Caller(Fixture->address());
  Caller.send(keptPost(500, false));
  cr_assert(eventually([&] { return Fixture->engine().running() == 1; }));
  Fixture->control().stop();
  cr_assert(eventually([&] { return Fixture->engine().running() == 0; }));
  std::this_thread::sleep_for(300ms);
  Fixture.reset();
  const std::string Answer = Caller.readToEnd();
  cr_assert_eq(statusOfAnswer(Answer), 200, "got: %s", Answer.c_str());
  cr_assert(has(Answer, "t499 "));
}

// Guards against a cut answer to a caller of HTTP/1.0 that looks whole, since
// only the connection's end bounds it.
Test(ConnectionEnd, aCutAnswerThatTheConnectionBoundsEndsWithAReset) {
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

// Guards against an idle connection that is closed while its last answer still
// leaves: the next request of its caller would reset it and cut the answer.
Test(ConnectionEnd, anIdleConnectionIsNotClosedBeforeItsAnswerHasLeft,
     .timeout = 60) {
  CallerSettings Settings;
  Settings.IdleTimeout = 250ms;
  CallerFixture Fixture(Settings, 8, Duration::zero());
  RawCaller Slow(Fixture.address());
  Slow.socket().setReceiveBufferSize(1024);
  Slow.send(keptPost(60000, false));
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 1; }));
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 0; }));
  Slow.send(ModelsRequest);
  std::this_thread::sleep_for(1500ms);
  const std::string Answer = Slow.readToEnd();
  cr_assert(has(Answer, "t59999 "), "got %zu bytes", Answer.size());
}
