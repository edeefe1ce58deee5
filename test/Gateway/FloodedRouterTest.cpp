#include "Gateway/FrontFixture.h"
#include "Gateway/PausingServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <array>
#include <criterion/criterion.h>
#include <optional>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

/// Long enough for the router to lack processor time behind it.
constexpr Duration Standstill = 1500ms;
constexpr int FloodSize = 60;

std::string floodRequest() {
  return FrontFixture::request("/safe/x", "Deadline-Ms: 5000\r\n");
}

std::string response(Socket &Connection) {
  std::array<char, 4096> Buffer{};
  try {
    const int Count = Connection.receiveBytes(Buffer.data(), Buffer.size());
    return {Buffer.data(), static_cast<std::size_t>(std::max(Count, 0))};
  } catch (const Poco::Exception &) {
    return {};
  }
}

/// A connection to the router; none if the router refuses it.
std::optional<Socket> tryConnect(const FrontFixture &Front) {
  try {
    return Front.connect();
  } catch (const Poco::Net::ConnectionRefusedException &) {
    return std::nullopt;
  }
}

/// A router whose callers keep connections open and send more requests than it
/// has processor time for.
struct FloodedRouter {
  FloodedRouter()
      : Server([](Socket &Connection, const std::string &Request) {
          sendWithPause(Connection, Request, {PausePoint::BeforeHead, 0ms});
          return true;
        }) {
    this->Front.Slots = 1000;
    this->Front.addServer(this->Server);
    this->Front.blockLoopOnMetrics(Standstill);
    for (GatewayRoute &Each : this->Front.Configuration.Routes)
      Each.Timeout = 6s;
    this->Front.start();
    for (int I = 0; I < FloodSize; ++I) {
      this->Kept.push_back(this->Front.connect());
      sendText(this->Kept.back(), floodRequest());
      cr_assert(response(this->Kept.back()).starts_with("HTTP/1.1 200"));
    }
    this->Operator =
        Socket(Poco::Net::SocketAddress(this->Front.Settings.OperatorAddress));
    sendText(this->Operator, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(200ms);
    for (Socket &Each : this->Kept)
      sendText(Each, floodRequest());
  }

  ScriptedServer Server;
  FrontFixture Front;
  std::vector<Socket> Kept;
  Socket Operator;
};

} // namespace

// Guards against callers of a flood who keep a connection and take all of a
// router's processor time with requests that it reads only to refuse them.
Test(FloodedRouter, closesConnectionsWhoseRequestsItRefuses, .timeout = 60) {
  FloodedRouter Router;
  int Refused = 0;
  for (Socket &Each : Router.Kept) {
    const std::string Response = response(Each);
    if (!Response.starts_with("HTTP/1.1 503"))
      continue;
    ++Refused;
    cr_expect_neq(Response.find("Connection: close"), std::string::npos, "%s",
                  Response.c_str());
  }
  cr_expect_gt(Refused, 0, "the router was not overloaded");
}

// Guards against a router that spends all of its processor time on accepting
// connections of a flood and refusing their requests.
Test(FloodedRouter, refusesConnectionsUntilItHasProcessorTime, .timeout = 60) {
  FloodedRouter Router;
  // Behind the response, the standstill is over.
  cr_assert(!response(Router.Operator).empty());
  bool WasRefused = false;
  for (int I = 0; I < 50 && !WasRefused; ++I) {
    WasRefused = !tryConnect(Router.Front);
    std::this_thread::sleep_for(2ms);
  }
  cr_expect(WasRefused, "connections were accepted without processor time");
  std::string Response;
  for (int I = 0; I < 100 && !Response.starts_with("HTTP/1.1 200"); ++I) {
    std::this_thread::sleep_for(20ms);
    if (auto Connection = tryConnect(Router.Front)) {
      sendText(*Connection, floodRequest());
      Response = response(*Connection);
    }
  }
  cr_expect(Response.starts_with("HTTP/1.1 200"), "%s", Response.c_str());
}
