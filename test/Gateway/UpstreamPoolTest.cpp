#include "Gateway/UpstreamPool.h"

#include "Gateway/ScriptedServer.h"
#include "platform/HeadFormat.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

// Guards against a request that is sent over a connection that its server has
// ended, where the router has not read that end yet: one that may run once
// would be lost, since nobody could say whether it ran.
Test(UpstreamPool, aConnectionWhoseEndIsNotReadYetIsNotTaken) {
  ScriptedServer Server([](Poco::Net::StreamSocket &S, const std::string &) {
    sendText(S, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(100ms);
    return false;
  });
  EventLoop Loop(Clock::steady());
  UpstreamPool Pool(Loop);
  const WireFormat Format = platformWireFormat();
  auto Connection = UpstreamConnection::connect(
      Loop, Format, Poco::Net::SocketAddress(Server.address()));
  UpstreamListener Told;
  Told.HeadReceived = [](const HttpHead &, const ServerResponseFields &) {};
  Told.PayloadReceived = [](std::string_view) {};
  Told.Ended = [&Loop](UpstreamEnd) { Loop.stop(); };
  Connection->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "", Told);
  Loop.run();
  cr_assert(Connection->reusable());
  Pool.release("server", std::exchange(Connection, nullptr));
  // The server ends the connection; the loop does not turn.
  std::this_thread::sleep_for(300ms);
  cr_assert_null(Pool.acquire("server", 10s).get());
}

// Guards against the same on a new connection, which its server has ended
// before a loop that is late learns that it came about.
Test(UpstreamPool, nothingIsSentOnANewConnectionThatHasEnded) {
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1:0"));
  EventLoop Loop(Clock::steady());
  const WireFormat Format = platformWireFormat();
  auto Connection =
      UpstreamConnection::connect(Loop, Format, Listening.address());
  UpstreamEnd Got{};
  UpstreamListener Told;
  Told.Ended = [&Loop, &Got](UpstreamEnd How) {
    Got = How;
    Loop.stop();
  };
  Connection->send("POST / HTTP/1.1\r\nHost: h\r\n\r\n", "POST", "", Told);
  Listening.acceptConnection().close();
  std::this_thread::sleep_for(100ms);
  Loop.run();
  cr_assert_eq(Got, UpstreamEnd::NotSent);
}
