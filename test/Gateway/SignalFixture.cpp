#include "Gateway/SignalFixture.h"

#include <criterion/criterion.h>

namespace parsleywing::test {

ServerBehavior leaving() { return {"200 OK", "Server-Leaving: 1\r\n"}; }

ServerBehavior refusing(const std::string &RetryAfter) {
  return {"503 Service Unavailable",
          "Not-Executed: 1\r\nRetry-After: " + RetryAfter + "\r\n"};
}

SignalFixture::SignalFixture(std::size_t RouterCount, std::size_t ServerCount,
                             bool Allocated)
    : Behaviors(ServerCount) {
  for (std::size_t I = 0; I < ServerCount; ++I)
    this->Servers.push_back(std::make_unique<ScriptedServer>(
        [this, I](Poco::Net::StreamSocket &S, const std::string &Request) {
          return this->serve(I, S, Request);
        }));
  auto Endpoints = std::make_shared<RouterList>();
  for (std::size_t I = 0; I < RouterCount; ++I) {
    auto Router = std::make_unique<FrontFixture>();
    Router->Settings.Name = "r" + std::to_string(I);
    Router->Settings.PeerAddress = freeLoopbackAddress();
    (*Endpoints)[Router->Settings.Name] = {Router->Settings.PeerAddress, 1};
    if (Allocated)
      Router->Configuration.Services["plain"].KvCapacityTokens = 100'000;
    for (GatewayRoute &Each : Router->Configuration.Routes)
      Each.LatencyObjective = std::chrono::seconds(1);
    for (const auto &Each : this->Servers)
      Router->addServer(*Each);
    this->RouterFixtures.push_back(std::move(Router));
  }
  for (const auto &Each : this->RouterFixtures)
    Each->Routers = Endpoints;
}

void SignalFixture::start() {
  for (const auto &Each : this->RouterFixtures)
    Each->start();
}

void SignalFixture::setBehavior(std::size_t Server,
                                const ServerBehavior &Behavior) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Behaviors.at(Server) = Behavior;
}

bool SignalFixture::serve(std::size_t Server, Poco::Net::StreamSocket &S,
                          const std::string &Request) {
  ServerBehavior Behavior;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Behavior = this->Behaviors.at(Server);
  }
  std::this_thread::sleep_for(Behavior.Delay);
  sendText(S, "HTTP/1.1 " + Behavior.Status +
                  "\r\nRequest-Id: " + fieldOf(Request, "Request-Id") +
                  "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n" +
                  Behavior.Fields + "\r\nok");
  return true;
}

std::string SignalFixture::call(std::size_t Router, const std::string &Path) {
  return this->router(Router).call(FrontFixture::request(Path));
}

void SignalFixture::callServed(std::size_t Router, int Count) {
  for (int I = 0; I < Count; ++I) {
    const std::string Response = this->call(Router);
    cr_assert(isServed(Response), "%s", Response.c_str());
  }
}

std::size_t SignalFixture::preferredServer(std::size_t Router) {
  std::vector<std::size_t> Before;
  for (std::size_t I = 0; I < this->Servers.size(); ++I)
    Before.push_back(this->received(I));
  this->callServed(Router, 1);
  std::size_t Preferred = 0;
  while (this->received(Preferred) == Before.at(Preferred))
    ++Preferred;
  return Preferred;
}

std::size_t SignalFixture::received(std::size_t Server) {
  return this->Servers.at(Server)->requests().size();
}

bool isServed(const std::string &Response) {
  return Response.starts_with("HTTP/1.1 200") && Response.ends_with("ok");
}

bool isRefused(const std::string &Response) {
  return Response.starts_with("HTTP/1.1 503");
}

} // namespace parsleywing::test
