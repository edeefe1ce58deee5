#include "Gateway/FrontFixture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr RetryBounds Bounds{0.2, 10s, 50};

/// Servers that each refuse every other request without running it.
class RefusingServers {
public:
  explicit RefusingServers(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Servers.push_back(std::make_unique<ScriptedServer>(
          [Received = std::make_shared<std::atomic<std::size_t>>(0)](
              Poco::Net::StreamSocket &Connection, const std::string &Request) {
            respond(Connection, Request, (*Received)++ % 2 == 0);
            return true;
          }));
  }

  void addTo(FrontFixture &Router) {
    for (const auto &Each : this->Servers)
      Router.addServer(*Each);
  }

  /// Arrivals beyond the first of each request, as the servers have seen them.
  std::size_t retries() {
    std::map<std::string, std::size_t> Arrivals;
    for (const auto &Each : this->Servers)
      for (const std::string &Request : Each->requests())
        ++Arrivals[fieldOf(Request, "Request-Id")];
    std::size_t Retries = 0;
    for (const auto &[Id, Count] : Arrivals)
      Retries += Count - 1;
    return Retries;
  }

private:
  static void respond(Poco::Net::StreamSocket &Connection,
                      const std::string &Request, bool Refuses) {
    sendText(Connection,
             std::string("HTTP/1.1 ") +
                 (Refuses ? "503 Service Unavailable\r\nNot-Executed: 1\r\n"
                          : "200 OK\r\nResponse-Seal: s\r\n") +
                 "Request-Id: " + fieldOf(Request, "Request-Id") +
                 "\r\nContent-Length: 2\r\n\r\nok");
  }

  std::vector<std::unique_ptr<ScriptedServer>> Servers;
};

std::string requestWithId(std::size_t Number) {
  std::string Text = FrontFixture::request("/safe/x");
  const std::string Id = "Request-Id: r1";
  return Text.replace(Text.find(Id), Id.size(),
                      "Request-Id: r" + std::to_string(Number));
}

double allowedFor(std::size_t Requests) {
  return Bounds.Ratio * static_cast<double>(Requests) + Bounds.Slack;
}

} // namespace

// Guards against a router that, restarted in series, spends the slack of the
// service again with each process.
Test(GatewayRetryBudget, holdsOverRestartsInSeries, .timeout = 60) {
  RefusingServers Servers(5);
  constexpr std::size_t Lives = 8;
  constexpr std::size_t RequestsPerLife = 60;
  const auto Start = std::chrono::steady_clock::now();
  for (std::size_t Life = 0; Life < Lives; ++Life) {
    FrontFixture Router;
    Router.Settings.Retries = Bounds;
    Servers.addTo(Router);
    Router.start();
    for (std::size_t I = 0; I < RequestsPerLife; ++I)
      Router.call(requestWithId(Life * RequestsPerLife + I));
  }
  cr_assert_lt(std::chrono::steady_clock::now() - Start, Bounds.Window);
  cr_assert_leq(static_cast<double>(Servers.retries()),
                allowedFor(Lives * RequestsPerLife));
}

// Guards against routers that each take the whole slack because their list of
// routers shows no other one.
Test(GatewayRetryBudget, holdsWhileRoutersDoNotSeeEachOther, .timeout = 60) {
  RefusingServers Servers(5);
  constexpr std::size_t RouterCount = 6;
  constexpr std::size_t RequestsPerRouter = 60;
  std::vector<std::unique_ptr<FrontFixture>> Routers;
  for (std::size_t I = 0; I < RouterCount; ++I) {
    Routers.push_back(std::make_unique<FrontFixture>());
    Routers.back()->Settings.Retries = Bounds;
    Servers.addTo(*Routers.back());
    Routers.back()->start();
  }
  const auto Start = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < RouterCount * RequestsPerRouter; ++I)
    Routers.at(I % RouterCount)->call(requestWithId(I));
  cr_assert_lt(std::chrono::steady_clock::now() - Start, Bounds.Window);
  cr_assert_leq(static_cast<double>(Servers.retries()),
                allowedFor(RouterCount * RequestsPerRouter));
}

// Guards against denied retries that operators cannot tell from other refusals.
Test(GatewayRetryBudget, chargesAndDenialsAreCountedByService, .timeout = 60) {
  RefusingServers Servers(5);
  FrontFixture Router;
  Router.Settings.Retries = Bounds;
  Servers.addTo(Router);
  Router.start();
  for (std::size_t I = 0; I < 60; ++I)
    Router.call(requestWithId(I));
  const std::string Metrics = Router.metrics();
  const auto ValueOf = [&Metrics](const std::string &Series) {
    const std::size_t Found = Metrics.find(Series + " ");
    cr_assert_neq(Found, std::string::npos, "%s", Series.c_str());
    return std::stoul(Metrics.substr(Found + Series.size() + 1));
  };
  const std::string Label = "{service=\"plain\"}";
  cr_assert_eq(ValueOf("retries_charged_total" + Label), Servers.retries());
  cr_assert_gt(ValueOf("retries_denied_total" + Label), 0U);
  cr_assert_eq(ValueOf("retries_returned_total" + Label), 0U);
}
