#include "Gateway/UpstreamPool.h"

#include "Gateway/ScriptedServer.h"
#include "platform/HeadFormat.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

// Guards against sending a request on a pooled connection that its server has
// closed, if the router has not read the close yet. A request that may run only
// once would be lost, since it would be unknown whether it ran.
Test(UpstreamPool, doesNotReuseConnectionWithUnreadClose) {
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
  UpstreamListener Listener;
  Listener.HeadReceived = [](const HttpHead &, const ServerResponseFields &) {};
  Listener.PayloadReceived = [](std::string_view) {};
  Listener.Ended = [&Loop](UpstreamEnd) { Loop.stop(); };
  Connection->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "", Listener);
  Loop.run();
  cr_assert(Connection->reusable());
  Pool.release("server", std::exchange(Connection, nullptr));
  // The server closes the connection; the loop is not running.
  std::this_thread::sleep_for(300ms);
  cr_assert_null(Pool.acquire("server", 10s).get());
}

// Guards against the same on a new connection that its server has closed before
// a lagging loop learns that it was established.
Test(UpstreamPool, doesNotSendOnClosedNewConnection) {
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1:0"));
  EventLoop Loop(Clock::steady());
  const WireFormat Format = platformWireFormat();
  auto Connection =
      UpstreamConnection::connect(Loop, Format, Listening.address());
  UpstreamEnd End{};
  UpstreamListener Listener;
  Listener.Ended = [&Loop, &End](UpstreamEnd ExchangeEnd) {
    End = ExchangeEnd;
    Loop.stop();
  };
  Connection->send("POST / HTTP/1.1\r\nHost: h\r\n\r\n", "POST", "", Listener);
  Listening.acceptConnection().close();
  std::this_thread::sleep_for(100ms);
  Loop.run();
  cr_assert_eq(End, UpstreamEnd::NotSent);
}
