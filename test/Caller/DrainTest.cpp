#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr const char *HealthRequest =
    "GET /health HTTP/1.1\r\nConnection: close\r\n\r\n";

} // namespace

// Symptom: a shutdown cuts off requests, or the balancer goes on sending.
// Sequence: a stream runs and another connection idles; the drain is
// announced, then the listener is closed.
// Cause: POCO's stop drops connections without a thread, leaves the socket
// listening, and knows no step before it.
// Fails where the listener stays open (run: Caller.DrainTest on such a copy).
Test(Drain, OpenRequestsEndAndNewConnectionsAreRefused) {
  CallerFixture Fixture;
  RawCaller Idle(Fixture.address());
  RawCaller Running(Fixture.address());
  std::string Request = CallerFixture::post(
      R"({"model":"advisory","input":"tokens=1000","max_output_tokens":1000,"stream":true})");
  Request.replace(Request.find("Connection: close\r\n"), 19, "");
  Running.send(Request);
  cr_assert(eventually([&] { return Fixture.engine().running() == 1; }));

  Fixture.server().announceDrain();
  cr_assert(isProblem(Fixture.exchange(HealthRequest), 503, "draining"));

  Fixture.server().stopAccepting();
  cr_assert_throw(RawCaller(Fixture.address()), Poco::Exception);
  cr_assert_eq(Fixture.engine().running(), 1);
  cr_assert_eq(Idle.readToEnd(), "");
  const std::string Answer = Running.readToEnd();
  cr_assert(Answer.find("\"delta\":\"t999 \"") != std::string::npos);
  cr_assert(Answer.find("event: response.completed") != std::string::npos);
  cr_assert(Answer.ends_with("\r\n0\r\n\r\n"));
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 0; }));
}
