#include "Gateway/FrontFixture.h"
#include "Gateway/PausingServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Later than another server is asked, and before that one responds.
constexpr auto PauseOfFirst = 900ms;
constexpr auto TimeOfSecond = 800ms;

std::string request(const std::string &Path) {
  return "GET " + Path +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 6000\r\n"
         "Authorization: Token key\r\n\r\n";
}

/// The response to a request whose first server pauses and then sends `Late`,
/// while the second one is serving the request.
std::string callWithLateError(const std::string &Late) {
  std::atomic<int> Requests{0};
  const auto Serve = [&](Poco::Net::StreamSocket &Connection,
                         const std::string &Request) {
    if (Requests++ == 0) {
      std::this_thread::sleep_for(PauseOfFirst);
      sendText(Connection, Late);
    } else {
      sendWithPause(Connection, Request,
                    {PausePoint::BeforeHead, TimeOfSecond});
    }
    return true;
  };
  ScriptedServer First(Serve);
  ScriptedServer Second(Serve);
  FrontFixture Front;
  Front.addServer(First);
  Front.addServer(Second);
  for (GatewayRoute &Each : Front.Configuration.Routes)
    Each.Timeout = 6s;
  Front.start();
  return Front.call(request("/safe/x"));
}

} // namespace

// Guards against a request that fails since its silent server finally sends an
// error, although another server is serving it.
Test(LateError, doesNotEndTheAttemptAtAnotherServer, .timeout = 60) {
  for (const char *Late :
       {"HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 500 No\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
        "garbage\r\n\r\n"}) {
    const std::string Response = callWithLateError(Late);
    cr_assert(Response.starts_with("HTTP/1.1 200"), "%s after %s",
              Response.c_str(), Late);
    cr_assert(Response.ends_with("\r\n\r\nr1"), "%s", Response.c_str());
  }
}

// Guards against a router that stops because a server contradicts itself.
Test(LateError, successThatSaysNotRunIsServed, .timeout = 60) {
  ScriptedServer Server(
      [](Poco::Net::StreamSocket &Connection, const std::string &) {
        sendText(Connection,
                 "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                 "Not-Executed: 1\r\nContent-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        return true;
      });
  FrontFixture Front;
  Front.addServer(Server);
  Front.start();
  for (int Call = 0; Call < 2; ++Call) {
    const std::string Response = Front.call(request("/stream/x"));
    cr_assert(Response.ends_with("0\r\n\r\n"), "%s", Response.c_str());
  }
}
