#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr const char *HealthRequest =
    "GET /health HTTP/1.1\r\nConnection: close\r\n\r\n";

} // namespace

// Guards against a shutdown that truncates requests, or that does not stop the
// load balancer from sending more. A stream is running and another connection
// is idle when the drain is announced and then the listener is closed. POCO's
// `stop` drops connections without a thread, leaves the socket listening, and
// has no announcement step. Fails if the listener stays open.
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
  const std::string Response = Running.readToEnd();
  cr_assert(Response.find("\"delta\":\"t999 \"") != std::string::npos);
  cr_assert(Response.find("event: response.completed") != std::string::npos);
  cr_assert(Response.ends_with("\r\n0\r\n\r\n"));
  cr_assert(
      eventually([&] { return Fixture.server().openConnections() == 0; }));
}
