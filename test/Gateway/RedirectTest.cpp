#include "Gateway/FrontFixture.h"
#include "Gateway/LoopbackRouters.h"
#include "Gateway/PausingServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr const char *ShortRetry = "Retry-After: 0.005\r\n";

/// Long enough that the loop counts as overloaded for a while behind it.
constexpr Duration Standstill = 2500ms;
constexpr int FloodSize = 40;

std::string requestWithTimeout(int Milliseconds) {
  return "GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: " +
         std::to_string(Milliseconds) + "\r\nAuthorization: Token key\r\n\r\n";
}

/// A small router beside larger ones, which report this spare time; without it
/// they do not reply.
class RedirectFixture {
public:
  explicit RedirectFixture(std::optional<std::uint32_t> SpareMs)
      : Others(Clock::steady()),
        Server([this](Poco::Net::StreamSocket &To, const std::string &Request) {
          ++this->Received;
          sendWithPause(To, Request, {PausePoint::BeforeHead, 0ms});
          return true;
        }) {
    for (const char *Name : {"a", "b", "c"}) {
      RouterMessenger &Other = this->Others.add(Name, 0.5);
      cr_assert(Other.open([this, &Other, SpareMs](const RouterMessage &Message,
                                                   const auto &From) {
        if (const auto *Report = std::get_if<HeadroomReport>(&Message))
          this->ReportedMs = Report->SpareMsPerSecond;
        if (const auto *Query = std::get_if<HeadroomQuery>(&Message);
            Query != nullptr && SpareMs)
          Other.send(From, HeadroomReport{Query->Id, *SpareMs, 1});
      }));
    }
    this->Front.Settings.PeerAddress = freeLoopbackAddress();
    this->Front.Settings.Redirects.Enabled = true;
    RouterList Listed = this->Others.Endpoints;
    Listed["router"] = {this->Front.Settings.PeerAddress, 0.1};
    this->Front.Routers = std::make_shared<RouterList>(Listed);
    for (GatewayRoute &Each : this->Front.Configuration.Routes)
      Each.Timeout = 6s;
    this->Front.Slots = 1000;
    this->Front.addServer(this->Server);
    this->OthersThread = std::thread([this] { this->Others.Loop.run(); });
  }

  ~RedirectFixture() {
    this->Others.Loop.stop();
    this->OthersThread.join();
  }

  RedirectFixture(const RedirectFixture &) = delete;
  RedirectFixture &operator=(const RedirectFixture &) = delete;

  /// Asks the small router for its spare time. Negative if it did not reply.
  std::int64_t askForSpareMs() {
    this->ReportedMs = -1;
    const Poco::Net::SocketAddress To(this->Front.Settings.PeerAddress);
    this->Others.Loop.post([this, To] {
      this->Others.Messengers[0]->send(To, HeadroomQuery{{7, 1}});
    });
    std::this_thread::sleep_for(300ms);
    return this->ReportedMs;
  }

  std::atomic<int> Received{0};
  std::atomic<std::int64_t> ReportedMs{-1};
  LoopbackRouters Others;
  ScriptedServer Server;
  FrontFixture Front;

private:
  std::thread OthersThread;
};

} // namespace

// Guards against a redirected request that a server has received, so that its
// retry would run twice, and against a request that is redirected twice.
Test(Redirect, onlyFirstAttemptsAreRedirectedAndNoneIsSent, .timeout = 60) {
  RedirectFixture Fixture(500);
  FrontFixture &Front = Fixture.Front;
  Front.blockLoopOnMetrics(Standstill);
  Front.start();
  for (int I = 0; I < FloodSize; ++I)
    cr_assert(Front.call(requestWithTimeout(4000)).starts_with("HTTP/1.1 200"));
  Poco::Net::StreamSocket Operator{
      Poco::Net::SocketAddress(Front.Settings.OperatorAddress)};
  sendText(Operator, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(Standstill + 50ms);
  int Served = 0;
  int Redirected = 0;
  const int Before = Fixture.Received;
  for (int I = 0; I < FloodSize; ++I) {
    const std::string First = Front.call(requestWithTimeout(4000));
    Served += First.starts_with("HTTP/1.1 200") ? 1 : 0;
    Redirected += First.find(ShortRetry) != std::string::npos ? 1 : 0;
    const std::string Retry = Front.call(requestWithTimeout(3990));
    Served += Retry.starts_with("HTTP/1.1 200") ? 1 : 0;
    cr_expect_eq(Retry.find(ShortRetry), std::string::npos);
  }
  cr_expect_gt(Redirected, 0, "the router was not overloaded");
  cr_expect_eq(Fixture.Received - Before, Served);
}

// Guards against callers of a router without a fresh proof that wait 0.3 s for
// their retry, while the next router could serve them.
Test(Redirect, aRouterWithoutProofRedirectsWhereOthersHaveTime) {
  RedirectFixture Fixture(500);
  Fixture.Front.start(10s);
  (void)Fixture.Front.call(requestWithTimeout(4000));
  std::this_thread::sleep_for(50ms);
  const std::string Response = Fixture.Front.call(requestWithTimeout(4000));
  cr_expect(Response.starts_with("HTTP/1.1 503"));
  cr_expect_neq(Response.find(ShortRetry), std::string::npos);
}

// Guards against the same at a router that is cut off from all others.
Test(Redirect, aRouterThatIsCutOffRedirects) {
  RedirectFixture Fixture(std::nullopt);
  Fixture.Front.start(10s);
  (void)Fixture.Front.call(requestWithTimeout(4000));
  std::this_thread::sleep_for(200ms);
  const std::string Response = Fixture.Front.call(requestWithTimeout(4000));
  cr_expect_neq(Response.find(ShortRetry), std::string::npos);
}

// Guards against retries in quick succession while the store is unreachable for
// all routers, which then report no spare time.
Test(Redirect, aRouterDoesNotRedirectToRoutersThatCannotServe) {
  RedirectFixture Fixture(0);
  Fixture.Front.start(10s);
  (void)Fixture.Front.call(requestWithTimeout(4000));
  std::this_thread::sleep_for(200ms);
  const std::string Response = Fixture.Front.call(requestWithTimeout(4000));
  cr_expect(Response.starts_with("HTTP/1.1 503"));
  cr_expect_eq(Response.find(ShortRetry), std::string::npos);
}

// Guards against requests that are redirected to a router that is idle because
// it cannot serve.
Test(Redirect, onlyARouterThatServesReportsSpareTime) {
  RedirectFixture Serving(0);
  Serving.Front.start();
  std::this_thread::sleep_for(500ms);
  cr_expect_gt(Serving.askForSpareMs(), 0);
  RedirectFixture Outdated(0);
  Outdated.Front.start(10s);
  std::this_thread::sleep_for(500ms);
  cr_expect_eq(Outdated.askForSpareMs(), 0);
}
