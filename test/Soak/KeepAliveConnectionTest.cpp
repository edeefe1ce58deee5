#include "Soak/KeepAliveConnection.h"

#include "Gateway/ScriptedServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <latch>
#include <poll.h>

using namespace parsleywing::test;

namespace {

constexpr int MaxWaitMs = 5000;

/// Whether the peer ends the connection within `MaxWaitMs`.
bool peerEnds(const Poco::Net::StreamSocket &Connection) {
  pollfd Descriptor{Connection.impl()->sockfd(), POLLIN | POLLRDHUP, 0};
  return ::poll(&Descriptor, 1, MaxWaitMs) > 0;
}

} // namespace

// Guards against a soak whose callers record that they have left a stream while
// its connection stays open, so that the router goes on with the request and
// may be killed before it ends.
Test(KeepAliveConnection, aCallerThatLeavesClosesItsConnection, .timeout = 30) {
  std::atomic<bool> Ended{false};
  std::latch Waited{1};
  ScriptedServer Server(
      [&](Poco::Net::StreamSocket &Connection, const std::string &) {
        sendText(Connection, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
                             "a part");
        Ended = peerEnds(Connection);
        Waited.count_down();
        return false;
      });
  KeepAliveConnection Caller(Server.address(), false);
  CallerResult Result;
  Caller.exchange("GET /stream/1 HTTP/1.1\r\nHost: h\r\n\r\n", Result, 6);
  Waited.wait();
  cr_expect(Result.End == CallEnd::Left);
  cr_expect(Ended, "the connection stayed open for %d ms", MaxWaitMs);
}
