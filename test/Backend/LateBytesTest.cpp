#include "Backend/ConnectionFixture.h"

using namespace parsleywing::test;

// Guards against a stuck server that is waited for without end because bytes
// without progress keep arriving: only those count that were there at the first
// look after the deadline.
Test(LateBytes, bytesThatArriveAfterThatLookDoNotExtendTheDeadline,
     .timeout = 30) {
  ConnectionFixture F;
  F.respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
  Poco::Net::HTTPResponse Response;
  std::istream &In = F.Connection.receive(Response);
  F.respond("a");
  F.Time.advance(Pause);
  bool TimedOut = false;
  try {
    In.rdbuf()->sbumpc();
    F.respond("b");
    In.rdbuf()->sbumpc();
  } catch (const Poco::TimeoutException &) {
    TimedOut = true;
  }
  cr_expect(TimedOut);
}
