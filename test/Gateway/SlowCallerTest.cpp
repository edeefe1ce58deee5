#include "Gateway/FrontFixture.h"
#include "Gateway/LargeStream.h"
#include "Gateway/PausingServer.h"

#include <criterion/criterion.h>
#include <string>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Longer than a server may be silent before another one is asked.
constexpr auto CallerPause = 2500ms;
constexpr int SmallBuffer = 4096;
} // namespace

// Guards against a server that is taken for silent, and a stream that is
// truncated or sent again, while the router itself does not read from it since
// the caller reads slowly.
Test(SlowCaller, doesNotMakeItsServerLookSilent, .timeout = 60) {
  const auto Serve = [](Poco::Net::StreamSocket &Connection,
                        const std::string &Request) {
    if (fieldOf(Request, "Last-Event-Id").empty())
      sendLargeStream(Connection, Request);
    else
      sendText(Connection, RejectedResponse);
    return true;
  };
  ScriptedServer First(Serve);
  ScriptedServer Second(Serve);
  FrontFixture Front;
  Front.addServer(First);
  Front.addServer(Second);
  for (GatewayRoute &Each : Front.Configuration.Routes)
    Each.Timeout = 30s;
  Front.start();
  Poco::Net::StreamSocket Caller;
  Caller.init(AF_INET);
  Caller.setReceiveBufferSize(SmallBuffer);
  Caller.connect(Poco::Net::SocketAddress(Front.Settings.CallerAddress));
  Caller.setReceiveTimeout(Poco::Timespan(5, 0));
  sendText(Caller, "GET /stream/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                   "Deadline-Ms: 30000\r\nAuthorization: Token key\r\n\r\n");
  std::this_thread::sleep_for(CallerPause);
  std::string Buffer(LargeEventBytes, '\0');
  std::string End;
  std::size_t Received = 0;
  while (!End.ends_with("\r\n0\r\n\r\n")) {
    const int Count =
        Caller.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
    cr_assert_gt(Count, 0, "the response ended after %zu bytes", Received);
    Received += static_cast<std::size_t>(Count);
    End += Buffer.substr(0, static_cast<std::size_t>(Count));
    End = End.substr(End.size() - std::min<std::size_t>(End.size(), 16));
  }
  cr_assert_gt(Received, LargeStreamBytes);
  cr_assert_eq(First.requests().size() + Second.requests().size(), 1U);
}
