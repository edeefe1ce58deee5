#include "Gateway/FrontFixture.h"

#include "ResponseText.h"

#include <Poco/Net/NetException.h>
#include <array>
#include <criterion/criterion.h>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

GatewayRoute route(const std::string &Prefix, RequestKind Kind) {
  GatewayRoute Route;
  Route.Name = Prefix;
  Route.Host = "h";
  Route.Prefix = Prefix;
  Route.Kind = Kind;
  Route.Targets = {{"plain", 1}};
  Route.Timeout = 2s;
  Route.LatencyObjective = 150ms;
  Route.MaxRuns = 2;
  return Route;
}

} // namespace

FrontFixture::FrontFixture() {
  this->Settings.Name = "router";
  this->Settings.CallerAddress = freeLoopbackAddress();
  this->Settings.ReadyAddress = freeLoopbackAddress();
  this->Settings.DrainTimeout = 4s;
  // Each request earns enough for its retries; tests of the budget set it.
  this->Settings.Retries.Ratio = 100;
  this->Configuration.Version = 1;
  this->Configuration.HasAccounts = true;
  this->Configuration.AccountOfKey["key"] = "acc";
  GatewayRoute Stream = route("/stream/", RequestKind::Stream);
  Stream.Resumable = true;
  this->Configuration.Routes = {route("/safe/", RequestKind::Idempotent),
                                route("/unsafe/", RequestKind::AtMostOnce),
                                route("/once/", RequestKind::Stream), Stream};
  this->Configuration.Services["plain"].Name = "plain";
}

FrontFixture::~FrontFixture() {
  if (!this->LoopThread.joinable())
    return;
  this->Front->stop();
  this->LoopThread.join();
}

void FrontFixture::addServer(const std::string &Address) {
  GatewayServer Entry;
  Entry.Id = "s" + std::to_string(this->Servers->size());
  Entry.Service = "plain";
  Entry.Address = Poco::Net::SocketAddress(Address);
  Entry.Slots = this->Slots;
  Entry.Version = "v1";
  this->Servers->emplace(Entry.Id, Entry);
}

void FrontFixture::start(Duration ProofAge) {
  this->Front = std::make_unique<GatewayFront>(this->Settings, this->Format,
                                               this->MetricsRegistry);
  const auto Opened = this->Front->open();
  cr_assert(Opened.has_value());
  this->publish(ProofAge);
  this->LoopThread = std::thread([this] {
    this->Front->run();
    this->LoopEnded = true;
  });
  // The loop applies the view between two iterations.
  std::this_thread::sleep_for(150ms);
}

void FrontFixture::restartServer(const std::string &Id,
                                 std::int64_t StartedMs) {
  auto NewServers = std::make_shared<ServerList>(*this->Servers);
  NewServers->at(Id).StartedMs = StartedMs;
  this->Servers = std::move(NewServers);
  this->publish(Duration::zero());
  std::this_thread::sleep_for(150ms);
}

void FrontFixture::removeServer(const std::string &Id) {
  auto NewServers = std::make_shared<ServerList>(*this->Servers);
  NewServers->erase(Id);
  this->Servers = std::move(NewServers);
  this->publish(Duration::zero());
}

void FrontFixture::setServers(ServerList List) {
  this->Servers = std::make_shared<ServerList>(std::move(List));
  this->publish(Duration::zero());
  std::this_thread::sleep_for(150ms);
}

void FrontFixture::proveLists(Duration Age) {
  this->ListsProvenAt = Clock::sinceBoot().now() - Age;
  this->publish(Age);
  std::this_thread::sleep_for(50ms);
}

void FrontFixture::setRouters(std::shared_ptr<const RouterList> List) {
  this->Routers = std::move(List);
  this->publish(Duration::zero());
  std::this_thread::sleep_for(150ms);
}

void FrontFixture::publish(Duration ProofAge) {
  auto View = std::make_shared<FleetView>();
  View->Configuration =
      std::make_shared<GatewayConfiguration>(this->Configuration);
  View->Servers = this->Servers;
  if (this->Routers != nullptr) {
    View->RouterEndpoints = this->Routers;
    View->RouterCount = static_cast<std::uint32_t>(this->Routers->size());
  }
  View->ProvenAt = Clock::sinceBoot().now() - ProofAge;
  View->ListsProvenAt = this->ListsProvenAt;
  this->Front->updateView(View);
}

void FrontFixture::blockLoopOnMetrics(Duration Time) {
  this->Settings.OperatorAddress = freeLoopbackAddress();
  this->MetricsRegistry.callback(
      MetricKind::Gauge, {"standstill", "Blocks the loop.", ""}, [Time] {
        std::this_thread::sleep_for(Time);
        return 0.0;
      });
}

Poco::Net::StreamSocket FrontFixture::connect() const {
  Poco::Net::StreamSocket Socket{
      Poco::Net::SocketAddress(this->Settings.CallerAddress)};
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  return Socket;
}

std::string FrontFixture::call(const std::string &Request) {
  Poco::Net::StreamSocket Socket = this->connect();
  sendText(Socket, Request);
  std::string Response;
  std::array<char, 4096> Buffer{};
  this->ConnectionReset = false;
  try {
    while (!isCompleteResponse(Response)) {
      const int Count = Socket.receiveBytes(Buffer.data(), Buffer.size());
      if (Count <= 0)
        break;
      Response.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  } catch (const Poco::Exception &) {
    this->ConnectionReset = true;
  }
  return Response;
}

std::string FrontFixture::request(const std::string &Path,
                                  const std::string &Fields) {
  return "GET " + Path +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 2000\r\n"
         "Authorization: Token key\r\n" +
         Fields + "\r\n";
}

} // namespace parsleywing::test
