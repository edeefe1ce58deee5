#include "Gateway/FrontFixture.h"
#include "Gateway/PausingServer.h"

#include <array>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Long enough that the loop counts as lagging for a while behind it.
constexpr Duration Standstill = 2500ms;
constexpr std::chrono::milliseconds ServiceTime(1500);

std::string peerAddress(const std::string &Host) {
  const std::string Free = freeLoopbackAddress();
  return Host + Free.substr(Free.rfind(':'));
}

/// A small router whose loop lags, beside a large one. Routers are recognized
/// by their IP, so each has one of its own, and callers have another one.
class RoutersFixture {
public:
  RoutersFixture()
      : Server([](Poco::Net::StreamSocket &To, const std::string &Request) {
          const bool Slow = Request.find("/safe/slow") != std::string::npos;
          sendWithPause(To, Request,
                        {PausePoint::BeforeHead, Slow ? ServiceTime : 0ms});
          return true;
        }) {
    this->Small.Settings.Name = "small";
    this->Small.Settings.Cores = 0.1;
    this->Small.Settings.PeerAddress = peerAddress("127.0.0.2");
    this->Large.Settings.Name = "large";
    this->Large.Settings.Cores = 4;
    this->Large.Settings.PeerAddress = peerAddress("127.0.0.3");
    RouterList Listed;
    for (FrontFixture *Each : {&this->Small, &this->Large})
      Listed[Each->Settings.Name] = {Each->Settings.PeerAddress,
                                     Each->Settings.Cores};
    for (FrontFixture *Each : {&this->Small, &this->Large}) {
      Each->Settings.Redirects.Relay = true;
      Each->Routers = std::make_shared<RouterList>(Listed);
      Each->Slots = 1000;
      Each->addServer(this->Server);
      for (GatewayRoute &Route : Each->Configuration.Routes)
        Route.Timeout = 4s;
    }
    this->Small.blockLoopOnMetrics(Standstill);
    this->Large.start();
    this->Small.start();
  }

  /// Makes the small router's loop lag, and waits for reports.
  void overload() {
    Poco::Net::StreamSocket Operator{
        Poco::Net::SocketAddress(this->Small.Settings.OperatorAddress)};
    sendText(Operator, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(Standstill + 100ms);
  }

  /// Requests that the large router has received.
  std::size_t receivedByLarge() const {
    return counterOf("parsleywing_requests_total ");
  }
  std::size_t counterOf(const std::string &Name) const {
    const std::string Text = "\n" + this->Large.metrics();
    const std::size_t At = Text.find("\n" + Name);
    return At == std::string::npos
               ? 0
               : std::stoul(Text.substr(At + 1 + Name.size()));
  }

  ScriptedServer Server;
  FrontFixture Small;
  FrontFixture Large;
};

std::string slowRequest() { return FrontFixture::request("/safe/slow"); }

/// Drains one of the routers while a relayed request is served.
void drainDuringRequest(bool DrainSmall) {
  RoutersFixture Fixture;
  Fixture.overload();
  std::string Response;
  std::thread Caller([&] { Response = Fixture.Small.call(slowRequest()); });
  std::this_thread::sleep_for(300ms);
  cr_assert_eq(Fixture.receivedByLarge(), 1, "the request was not relayed");
  FrontFixture &Draining = DrainSmall ? Fixture.Small : Fixture.Large;
  // A router leaves the list when it drains.
  FrontFixture &Other = DrainSmall ? Fixture.Large : Fixture.Small;
  RouterList Left = *Other.Routers;
  Left.erase(Draining.Settings.Name);
  Draining.front().drain();
  Other.setRouters(std::make_shared<RouterList>(Left));
  Caller.join();
  cr_expect(Response.starts_with("HTTP/1.1 200"), "%s", Response.c_str());
  cr_expect_not(Fixture.Small.ConnectionReset);
  // The response announces the close, and the drain ends before its limit.
  cr_expect_neq(Response.find("Connection: close"), std::string::npos, "%s",
                Response.c_str());
  std::this_thread::sleep_for(2s);
  cr_expect(Draining.hasEnded());
}

} // namespace

// Guards against a connection that is relayed on by its target, and against
// relays of a router that has time.
Test(RelayedConnection, onlyCallersOfALaggingRouterAreRelayed, .timeout = 60) {
  RoutersFixture Fixture;
  const std::string Request = FrontFixture::request("/safe/x");
  cr_expect(Fixture.Small.call(Request).starts_with("HTTP/1.1 200"));
  cr_expect_eq(Fixture.receivedByLarge(), 0);
  Fixture.overload();
  // As from the large router, which believes that the small one has time.
  Poco::Net::StreamSocket FromRouter;
  FromRouter.impl()->bind(Poco::Net::SocketAddress("127.0.0.3", 0), true);
  FromRouter.connect(
      Poco::Net::SocketAddress(Fixture.Small.Settings.CallerAddress));
  sendText(FromRouter, Request);
  std::array<char, 4096> Buffer{};
  FromRouter.setReceiveTimeout(Poco::Timespan(5, 0));
  cr_expect_gt(FromRouter.receiveBytes(Buffer.data(), Buffer.size()), 0);
  cr_expect_eq(Fixture.receivedByLarge(), 0);
  cr_expect(Fixture.Small.call(Request).starts_with("HTTP/1.1 200"));
  cr_expect_eq(Fixture.receivedByLarge(), 1);
}

// Guards against responses that the end of the relaying router cuts off, and
// against its drain waiting for connections that nobody closes.
Test(RelayedConnection, theDrainOfTheRelayingRouterLosesNoResponse,
     .timeout = 60) {
  drainDuringRequest(true);
}

// Guards against the same in the drain of the target.
Test(RelayedConnection, theDrainOfTheTargetLosesNoResponse, .timeout = 60) {
  drainDuringRequest(false);
}
