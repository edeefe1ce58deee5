#include "Soak/KeepAliveConnection.h"

#include "Gateway/ScriptedServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <csignal>
#include <latch>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace parsleywing::test;

namespace {

constexpr int MaxWaitMs = 5000;

/// Whether the peer ends the connection within `MaxWaitMs`.
bool peerEnds(const Poco::Net::StreamSocket &Connection) {
  pollfd Descriptor{Connection.impl()->sockfd(), POLLIN | POLLRDHUP, 0};
  return ::poll(&Descriptor, 1, MaxWaitMs) > 0;
}

/// Whether a caller that leaves in the middle of a response ends its
/// connection. `WhileServed` runs before the response begins.
template <class Action> bool leavingEndsConnection(const Action &WhileServed) {
  std::atomic<bool> Ended{false};
  std::latch Waited{1};
  ScriptedServer Server(
      [&](Poco::Net::StreamSocket &Connection, const std::string &) {
        WhileServed();
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
  return Ended;
}

} // namespace

// Guards against a soak whose callers record that they have left a stream while
// its connection stays open, so that the router goes on with the request and
// may be killed before it ends.
Test(KeepAliveConnection, aCallerThatLeavesEndsItsConnection, .timeout = 30) {
  cr_expect(leavingEndsConnection([] {}));
}

// Guards against the same if a router that was started meanwhile has inherited
// the connection's descriptor.
Test(KeepAliveConnection, aCallerThatLeavesEndsAnInheritedConnection,
     .timeout = 30) {
  pid_t Child = 0;
  cr_expect(leavingEndsConnection([&Child] {
    Child = ::fork();
    while (Child == 0)
      ::pause();
  }));
  ::kill(Child, SIGKILL);
  ::waitpid(Child, nullptr, 0);
}
