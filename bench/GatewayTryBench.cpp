#include "FreeAddress.h"
#include "Gateway/GatewayFront.h"
#include "Runtime/Log.h"
#include "platform/HeadFormat.h"

#include <array>
#include <benchmark/benchmark.h>
#include <ctime>
#include <thread>

// Measures the CPU time that one caller request costs the router's event loop
// thread, without the CPU time of the caller and the server. Log lines go to
// the product's log target; discard them with `2>/dev/null`.

namespace {

using namespace parsleywing;
using namespace std::chrono_literals;

constexpr const char *Service = "plain";

GatewayConfiguration configuration() {
  GatewayConfiguration Configuration;
  Configuration.Version = 1;
  Configuration.HasAccounts = true;
  Configuration.AccountOfKey["key"] = "acc";
  GatewayRoute Route;
  Route.Name = "stream";
  Route.Host = "h";
  Route.Prefix = "/stream/";
  Route.Kind = RequestKind::Stream;
  Route.Targets = {{Service, 1}};
  Route.Timeout = 4s;
  Route.LatencyObjective = 500ms;
  Configuration.Routes = {Route};
  Configuration.Services[Service].Name = Service;
  return Configuration;
}

/// A router without a server, which is listed beside a larger one that does not
/// reply.
class Router {
public:
  explicit Router(bool KnowsRoutes = true, std::uint32_t MaxCallers = 1500) {
    this->Settings.MaxCallerConnections = MaxCallers;
    this->Settings.Name = "router";
    this->Settings.CallerAddress = test::freeLoopbackAddress();
    this->Front = std::make_unique<GatewayFront>(this->Settings, this->Format,
                                                 this->MetricsRegistry);
    if (!this->Front->open())
      std::abort();
    auto Servers = std::make_shared<ServerList>();
    auto View = std::make_shared<FleetView>();
    auto Configuration =
        std::make_shared<GatewayConfiguration>(configuration());
    if (!KnowsRoutes)
      Configuration->Routes.clear();
    View->Configuration = Configuration;
    View->Servers = Servers;
    const RouterList Listed{{"router", {test::freeLoopbackAddress(), 1}},
                            {"other", {test::freeLoopbackAddress(), 4}}};
    View->RouterEndpoints = std::make_shared<RouterList>(Listed);
    View->ProvenAt = Clock::sinceBoot().now() + (KnowsRoutes ? 1h : -1h);
    this->Front->updateView(View);
    this->LoopThread = std::thread([this] { this->Front->run(); });
    std::this_thread::sleep_for(150ms);
  }

  ~Router() {
    this->Front->stop();
    this->LoopThread.join();
  }

  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  /// CPU seconds used by the event loop thread.
  double cpuSeconds() {
    clockid_t Id{};
    timespec Used{};
    if (pthread_getcpuclockid(this->LoopThread.native_handle(), &Id) != 0 ||
        clock_gettime(Id, &Used) != 0)
      std::abort();
    constexpr double SecondsPerNanosecond = 1e-9;
    return static_cast<double>(Used.tv_sec) +
           SecondsPerNanosecond * static_cast<double>(Used.tv_nsec);
  }

  Poco::Net::StreamSocket connect() const {
    return Poco::Net::StreamSocket{
        Poco::Net::SocketAddress(this->Settings.CallerAddress)};
  }

  /// Sends a request and reads the response.
  static void sendOnce(Poco::Net::StreamSocket &Socket,
                       const std::string &Request) {
    Socket.sendBytes(Request.data(), static_cast<int>(Request.size()));
    std::array<char, 4096> Buffer{};
    if (Socket.receiveBytes(Buffer.data(), Buffer.size()) <= 0)
      std::abort();
  }

private:
  GatewaySettings Settings;
  WireFormat Format = platformWireFormat();
  Metrics MetricsRegistry;
  std::unique_ptr<GatewayFront> Front;
  std::thread LoopThread;
};

std::string streamRequest(const std::string &Connection) {
  const std::string Body(2400, 'x');
  return "POST /stream/a HTTP/1.1\r\nHost: h\r\nRequest-Id: "
         "9c41d07be2a35f68\r\n"
         "Deadline-Ms: 4000\r\nModel-Name: m\r\nToken-Count: 2400,40\r\n"
         "Prefix-Hash: 5c1e07a2:341,91bd3f06:227,e4402b7d:1832\r\n"
         "Authorization: Token key\r\nConnection: " +
         Connection + "\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// Sends each request on a connection of its own, or all on one.
void measure(benchmark::State &State, Router &Target, bool KeepConnection) {
  const std::string Request =
      streamRequest(KeepConnection ? "keep-alive" : "close");
  Poco::Net::StreamSocket Socket = Target.connect();
  const double Before = Target.cpuSeconds();
  while (State.KeepRunning()) {
    Router::sendOnce(Socket, Request);
    if (!KeepConnection)
      Socket = Target.connect();
  }
  constexpr double MicrosecondsPerSecond = 1e6;
  State.counters["router_us"] = MicrosecondsPerSecond *
                                (Target.cpuSeconds() - Before) /
                                static_cast<double>(State.iterations());
}

/// A refusal right after the request has been read, since no server is listed.
void refusedRequest(benchmark::State &State) {
  Router Target;
  measure(State, Target, false);
}
BENCHMARK(refusedRequest)->Unit(benchmark::kMicrosecond);

/// A refusal right after admission by load, where a request that is redirected
/// is refused.
void refusedOnArrival(benchmark::State &State) {
  Router Target(true, 0);
  measure(State, Target, false);
}
BENCHMARK(refusedOnArrival)->Unit(benchmark::kMicrosecond);

/// The same on a connection that is kept. The route is unknown and may be new.
void refusedOnKeptConnection(benchmark::State &State) {
  Router Target(false);
  measure(State, Target, true);
}
BENCHMARK(refusedOnKeptConnection)->Unit(benchmark::kMicrosecond);

} // namespace

int main(int Count, char **Values) {
  (void)startLogging(LogLevel::Info, "stdout");
  benchmark::Initialize(&Count, Values);
  benchmark::RunSpecifiedBenchmarks();
  stopLogging();
  return 0;
}
