#include "Backend/ConnectionFixture.h"

using namespace parsleywing::test;

// Guards against a sound server that is taken for silent because of a pause of
// the router: the response arrives in time, while the reading thread does not
// run until after the deadline.
Test(Standstill, readsWhatArrivedBeforeItLooksAtTheDeadline, .timeout = 30) {
  ConnectionFixture F;
  F.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  F.Time.advance(Pause);
  Poco::Net::HTTPResponse Response;
  std::string Body;
  try {
    std::istream &In = F.Connection.receive(Response);
    Body.push_back(static_cast<char>(In.rdbuf()->sbumpc()));
    Body.push_back(static_cast<char>(In.rdbuf()->sbumpc()));
  } catch (const Poco::TimeoutException &) {
    cr_assert_fail("the bytes in the socket were not read");
  }
  cr_expect_eq(Response.getStatus(), 200);
  cr_expect_eq(Body, "ab");
}
