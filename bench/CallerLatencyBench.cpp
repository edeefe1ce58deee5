// Measures the latency that a router adds to a request, and the throughput of
// one router in requests per second. The callers, the router's caller-facing
// server, its control thread and a stand-in engine whose steps take no time all
// run in this process. Run it alone on the machine: `build/CallerLatencyBench`.
// Takes about 20 s.

#include "Caller/CallerServer.h"
#include "Control/ControlLoop.h"
#include "standin/EngineStandIn.h"

#include <Poco/DigestEngine.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/SHA2Engine.h>
#include <Poco/StreamCopier.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <memory>
#include <thread>
#include <vector>

using namespace parsleywing;

namespace {

constexpr int LatencyRequests = 400;
constexpr int ThroughputCallers = 32;
constexpr auto ThroughputTime = std::chrono::seconds(4);
constexpr std::uint32_t EngineSlots = 64;
constexpr const char *Key = "bench-key";
constexpr const char *Body =
    R"({"model":"bench","input":"tokens=2","max_output_tokens":2,"stream":true,"metadata":{"identity":"bench"}})";

std::string freeAddress() {
  const Poco::Net::ServerSocket Probe{Poco::Net::SocketAddress("127.0.0.1", 0)};
  return Probe.address().toString();
}

DeclarationsPtr declarationsFor(const std::string &EngineAddress) {
  Poco::SHA2Engine Digest(Poco::SHA2Engine::SHA_256);
  Digest.update(std::string(Key));
  auto Declared = std::make_shared<Declarations>();
  const auto Service = idOf<ServiceId>("bench");
  const auto Server = idOf<ServerId>("engine");
  Declared->Accounts[idOf<AccountId>("bench")] =
      AccountDeclaration{"bench",
                         1,
                         Poco::DigestEngine::digestToHex(Digest.digest()),
                         {Service},
                         1000};
  Declared->Services[Service] =
      ServiceDeclaration{"bench", ServiceKind::Engine, true, {Server}, {}};
  Declared->Servers[Server] = ServerDeclaration{
      "engine", EngineAddress, "z1", FencingCheck::Ignored, EngineSlots};
  return Declared;
}

/// One keep-alive connection that sends the same small request repeatedly.
class BenchCaller {
public:
  explicit BenchCaller(const std::string &Address)
      : Session(Poco::Net::SocketAddress(Address)) {
    this->Session.setKeepAlive(true);
  }

  /// Sends one request and reads the complete response; false on failure.
  bool call() {
    Poco::Net::HTTPRequest Request("POST", "/v1/responses", "HTTP/1.1");
    Request.set("Authorization", std::string("Bearer ") + Key);
    Request.setContentLength(static_cast<std::streamsize>(std::strlen(Body)));
    this->Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::string ResponseBody;
    Poco::StreamCopier::copyToString(this->Session.receiveResponse(Response),
                                     ResponseBody);
    return Response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK &&
           ResponseBody.find("response.completed") != std::string::npos;
  }

private:
  Poco::Net::HTTPClientSession Session;
};

using Microseconds = std::chrono::duration<double, std::micro>;

enum class ConnectionReuse { Shared, PerRequest };

/// Returns the sorted latencies of requests sent one after another.
std::vector<double> latencies(const std::string &Address,
                              ConnectionReuse Reuse) {
  auto Caller = std::make_unique<BenchCaller>(Address);
  std::vector<double> Times;
  for (int I = 0; I < LatencyRequests; ++I) {
    const auto Start = std::chrono::steady_clock::now();
    if (Reuse == ConnectionReuse::PerRequest)
      Caller = std::make_unique<BenchCaller>(Address);
    if (!Caller->call())
      std::printf("a request failed\n");
    Times.push_back(
        Microseconds(std::chrono::steady_clock::now() - Start).count());
  }
  std::sort(Times.begin(), Times.end());
  return Times;
}

double quantile(const std::vector<double> &Sorted, double Quantile) {
  return Sorted[static_cast<std::size_t>(Quantile *
                                         static_cast<double>(Sorted.size()))];
}

/// Returns the requests per second with `ThroughputCallers` concurrent callers.
double throughput(const std::string &Address) {
  std::atomic<std::uint64_t> Served{0};
  std::vector<std::thread> Callers;
  Callers.reserve(ThroughputCallers);
  const auto End = std::chrono::steady_clock::now() + ThroughputTime;
  for (int I = 0; I < ThroughputCallers; ++I)
    Callers.emplace_back([&] {
      try {
        BenchCaller Caller(Address);
        while (std::chrono::steady_clock::now() < End)
          Served += Caller.call() ? 1 : 0;
      } catch (const Poco::Exception &Failure) {
        std::printf("a caller failed: %s\n", Failure.displayText().c_str());
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  return static_cast<double>(Served) /
         std::chrono::duration<double>(ThroughputTime).count();
}

void printLatency(const char *Name, const std::vector<double> &Times) {
  std::printf("%-22s p50 %8.0f us   p99 %8.0f us\n", Name, quantile(Times, 0.5),
              quantile(Times, 0.99));
}

} // namespace

int main() {
  standin::EngineOptions Options;
  Options.Address = freeAddress();
  Options.MaxRunning = EngineSlots;
  Options.Step = Duration::zero();
  standin::EngineStandIn Engine(Options);
  Engine.start();

  ControlLoop Control(Clock::steady());
  CallerSettings Settings;
  Settings.Address = freeAddress();
  Settings.RouterName = "bench";
  CallerServer Router(Settings, Control, "1");
  const DeclarationsPtr Declared = declarationsFor(Options.Address);
  Router.context().setDeclarations(Declared);
  Control.post(DeclarationsChanged{Declared});
  Control.start();
  if (!Router.start())
    return 1;

  const auto Direct = latencies(Options.Address, ConnectionReuse::Shared);
  // A router without a pool of engine connections would always have this cost.
  const auto Reconnecting =
      latencies(Options.Address, ConnectionReuse::PerRequest);
  const auto Routed = latencies(Settings.Address, ConnectionReuse::Shared);
  printLatency("direct", Direct);
  printLatency("direct, new connection", Reconnecting);
  printLatency("through a router", Routed);
  std::printf("%-22s p50 %8.0f us   p99 %8.0f us\n", "added by the router",
              quantile(Routed, 0.5) - quantile(Direct, 0.5),
              quantile(Routed, 0.99) - quantile(Direct, 0.99));
  std::printf("%-22s %8.0f requests/s\n", "direct, 32 callers",
              throughput(Options.Address));
  std::printf("%-22s %8.0f requests/s\n", "router, 32 callers",
              throughput(Settings.Address));
  std::fflush(stdout);
  return 0;
}
