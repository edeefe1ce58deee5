#include "Gateway/FrontFixture.h"
#include "Gateway/PausingServer.h"

#include <Poco/Exception.h>
#include <array>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

/// Long enough for the loop to count as overloaded behind it.
constexpr Duration Standstill = 1200ms;
constexpr int FloodSize = 40;

std::string requestWithKey(const std::string &Key) {
  return "GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
         "Deadline-Ms: 4000\r\nAuthorization: Token " +
         Key + "\r\n\r\n";
}

std::string statusLine(Socket &Connection) {
  std::array<char, 4096> Buffer{};
  try {
    const int Count = Connection.receiveBytes(Buffer.data(), Buffer.size());
    return {Buffer.data(), std::min<std::size_t>(Count, 12)};
  } catch (const Poco::Exception &) {
    return {};
  }
}

} // namespace

// Guards against a router short of processor time that refuses a small account
// along with another one's flood.
Test(BusyRouter, admitsASmallAccountBesideAFlood, .timeout = 60) {
  ScriptedServer Server([](Socket &Connection, const std::string &Request) {
    sendWithPause(Connection, Request, {PausePoint::BeforeHead, 0ms});
    return true;
  });
  FrontFixture Front;
  Front.Slots = 1000;
  Front.addServer(Server);
  Front.Configuration.AccountOfKey["small-key"] = "small";
  Front.blockLoopOnMetrics(Standstill);
  for (GatewayRoute &Each : Front.Configuration.Routes)
    Each.Timeout = 6s;
  Front.start();
  for (int I = 0; I < FloodSize; ++I)
    cr_assert(Front.call(requestWithKey("key")).starts_with("HTTP/1.1 200"));
  Socket Operator{Poco::Net::SocketAddress(Front.Settings.OperatorAddress)};
  sendText(Operator, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(200ms);
  std::vector<Socket> Flood;
  for (int I = 0; I < FloodSize; ++I) {
    Flood.push_back(Front.connect());
    sendText(Flood.back(), requestWithKey("key"));
  }
  Socket Small = Front.connect();
  sendText(Small, requestWithKey("small-key"));
  cr_expect_eq(statusLine(Small), "HTTP/1.1 200");
  int Refused = 0;
  for (Socket &Each : Flood)
    Refused += statusLine(Each) == "HTTP/1.1 503" ? 1 : 0;
  cr_expect_gt(Refused, 0, "the router was not overloaded");
}
