#include "FreeAddress.h"
#include "Gateway/GatewayAttempt.h"
#include "Gateway/GatewayFront.h"
#include "Loop/EventLoop.h"
#include "Runtime/Log.h"
#include "platform/HeadFormat.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <array>
#include <benchmark/benchmark.h>
#include <chrono>
#include <ctime>
#include <functional>
#include <string>
#include <thread>
#include <vector>

// Measures what a server's silence costs a router's event loop thread, in CPU
// time for each request, and what a round of the loop costs that runs a due
// timer. Log lines go to standard error.

namespace {

using namespace parsleywing;
using namespace std::chrono_literals;

constexpr const char *Service = "engines";

/// Longer than the limit on silence before the head, 500 ms.
constexpr std::int64_t SilenceMs = 700;

/// Requests that are sent at once.
constexpr int BatchSize = 200;

/// A server that responds to each request after a delay.
class DelayingServer {
public:
  explicit DelayingServer(Duration D) : Delay(D) {
    this->Loop.add(this->Listener, Poco::Net::PollSet::POLL_READ,
                   [this](int) { this->accept(); });
    this->LoopThread = std::thread([this] { this->Loop.run(); });
  }
  ~DelayingServer() {
    this->Loop.stop();
    this->LoopThread.join();
  }
  DelayingServer(const DelayingServer &) = delete;
  DelayingServer &operator=(const DelayingServer &) = delete;

  Poco::Net::SocketAddress address() const { return this->Listener.address(); }

private:
  void accept() {
    const Poco::Net::StreamSocket Connection =
        this->Listener.acceptConnection();
    this->Loop.add(Connection, Poco::Net::PollSet::POLL_READ,
                   [this, Connection](int) { this->read(Connection); });
  }

  void read(Poco::Net::StreamSocket Connection) {
    std::array<char, 4096> Buffer{};
    int Count = 0;
    try {
      Count = Connection.receiveBytes(Buffer.data(), Buffer.size());
    } catch (const Poco::Exception &) {
    }
    if (Count <= 0) {
      this->Loop.remove(Connection);
      return;
    }
    const std::string Request(Buffer.data(), static_cast<std::size_t>(Count));
    const std::size_t Id = Request.find("Request-Id:");
    const std::string Response =
        "HTTP/1.1 200 OK\r\n" +
        Request.substr(Id, Request.find('\n', Id) - Id) +
        "\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    this->Loop.after(this->Delay, [Connection, Response]() mutable {
      try {
        Connection.sendBytes(Response.data(),
                             static_cast<int>(Response.size()));
      } catch (const Poco::Exception &) {
        // The router has closed the attempt.
      }
    });
  }

  Duration Delay;
  EventLoop Loop{Clock::sinceBoot()};
  Poco::Net::ServerSocket Listener{Poco::Net::SocketAddress("127.0.0.1", 0),
                                   1024};
  std::thread LoopThread;
};

/// A router before two servers.
class Router {
public:
  Router(Duration Delay, bool Engines) : First(Delay), Second(Delay) {
    this->Settings.Name = "router";
    this->Settings.CallerAddress = test::freeLoopbackAddress();
    this->Settings.Retries.Ratio = 100;
    auto Configuration = std::make_shared<GatewayConfiguration>();
    Configuration->Version = 1;
    GatewayRoute Route;
    Route.Name = "safe";
    Route.Host = "h";
    Route.Prefix = "/safe/";
    Route.Kind = RequestKind::Idempotent;
    Route.Targets = {{Service, 1}};
    Route.Timeout = 4s;
    Route.LatencyObjective = 200ms;
    Route.MaxRuns = 3;
    Route.Public = true;
    Configuration->Routes = {Route};
    Configuration->Services[Service].Name = Service;
    if (Engines)
      Configuration->Services[Service].KvCapacityTokens = 1'000'000;
    auto Servers = std::make_shared<ServerList>();
    for (const DelayingServer *Each : {&this->First, &this->Second}) {
      GatewayServer Entry;
      Entry.Id = "s" + std::to_string(Servers->size());
      Entry.Service = Service;
      Entry.Address = Each->address();
      Entry.Slots = 4 * BatchSize;
      Servers->emplace(Entry.Id, Entry);
    }
    auto View = std::make_shared<FleetView>();
    View->Configuration = Configuration;
    View->Servers = Servers;
    View->ProvenAt = Clock::sinceBoot().now() + 1h;
    this->Front = std::make_unique<GatewayFront>(this->Settings, this->Format,
                                                 this->MetricsRegistry);
    if (!this->Front->open())
      std::abort();
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

  /// Sends a batch of requests at once; returns how many were served.
  int sendBatch() {
    std::vector<Poco::Net::StreamSocket> Sockets;
    for (int I = 0; I < BatchSize; ++I) {
      Sockets.emplace_back(
          Poco::Net::SocketAddress(this->Settings.CallerAddress));
      const std::string Request =
          "GET /safe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r" +
          std::to_string(++this->LastRequest) +
          "\r\nDeadline-Ms: 4000\r\nConnection: close\r\n\r\n";
      Sockets.back().sendBytes(Request.data(),
                               static_cast<int>(Request.size()));
    }
    int Served = 0;
    for (Poco::Net::StreamSocket &Each : Sockets) {
      std::array<char, 4096> Buffer{};
      const int Count = Each.receiveBytes(Buffer.data(), Buffer.size());
      const std::string_view Text(Buffer.data(),
                                  static_cast<std::size_t>(std::max(Count, 0)));
      if (Text.starts_with("HTTP/1.1 200"))
        ++Served;
    }
    return Served;
  }

  /// The sum of the metric's series.
  double metric(const std::string &Name) const {
    const std::string Text = this->MetricsRegistry.render();
    double Sum = 0;
    for (std::size_t At = Text.find("\n" + Name); At != std::string::npos;
         At = Text.find("\n" + Name, At + 1)) {
      const std::size_t End = Text.find('\n', At + 1);
      const std::size_t Space = Text.rfind(' ', End);
      Sum += std::stod(Text.substr(Space + 1, End - Space - 1));
    }
    return Sum;
  }

private:
  DelayingServer First;
  DelayingServer Second;
  GatewaySettings Settings;
  WireFormat Format = platformWireFormat();
  Metrics MetricsRegistry;
  std::unique_ptr<GatewayFront> Front;
  std::thread LoopThread;
  int LastRequest = 0;
};

/// Arguments: the servers' delay in milliseconds, and whether an allocator
/// grants servers.
void request(benchmark::State &State) {
  Router Target(std::chrono::milliseconds(State.range(0)), State.range(1) != 0);
  Target.sendBatch();
  const double Before = Target.cpuSeconds();
  const double SilentBefore =
      Target.metric("parsleywing_server_silences_total");
  const double AttemptsBefore = Target.metric("parsleywing_sends_total");
  double Served = 0;
  while (State.KeepRunning())
    Served += Target.sendBatch();
  const double Requests = static_cast<double>(State.iterations()) * BatchSize;
  constexpr double MicrosecondsPerSecond = 1e6;
  State.counters["router_us"] =
      MicrosecondsPerSecond * (Target.cpuSeconds() - Before) / Requests;
  State.counters["silent"] =
      (Target.metric("parsleywing_server_silences_total") - SilentBefore) /
      Requests;
  State.counters["attempts"] =
      (Target.metric("parsleywing_sends_total") - AttemptsBefore) / Requests;
  State.counters["served"] = Served / Requests;
  // Without its connection.
  State.counters["attempt_bytes"] = sizeof(GatewayAttempt);
}
BENCHMARK(request)
    ->Args({0, 0})
    ->Args({300, 0})
    ->Args({SilenceMs, 0})
    ->Args({300, 1})
    ->Args({SilenceMs, 1})
    ->Iterations(8)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

/// A round of a loop with idle sockets, in which a timer is due.
void roundWithDueTimer(benchmark::State &State) {
  constexpr int Rounds = 1000;
  std::vector<Poco::Net::DatagramSocket> Sockets;
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
  while (State.KeepRunningBatch(Rounds)) {
    EventLoop Loop{Clock::sinceBoot()};
    for (const auto &Each : Sockets)
      Loop.add(Each, Poco::Net::PollSet::POLL_READ, [](int) {});
    int Left = Rounds;
    std::chrono::steady_clock::duration Spun{};
    std::function<void()> Next = [&] {
      if (--Left == 0) {
        Loop.stop();
        return;
      }
      // A timer of the same microsecond would run in the same round.
      const auto SpinStart = std::chrono::steady_clock::now();
      const TimePoint Before = Loop.clock().now();
      while (Loop.clock().now() == Before)
        continue;
      Loop.after(Duration::zero(), Next);
      Spun += std::chrono::steady_clock::now() - SpinStart;
    };
    Loop.after(Duration::zero(), Next);
    const auto Start = std::chrono::steady_clock::now();
    Loop.run();
    State.SetIterationTime(std::chrono::duration<double>(
                               std::chrono::steady_clock::now() - Start - Spun)
                               .count());
  }
}
BENCHMARK(roundWithDueTimer)
    ->Arg(10)
    ->Arg(300)
    ->Arg(1500)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);

} // namespace

int main(int Count, char **Values) {
  (void)startLogging(LogLevel::Info, "stderr");
  benchmark::Initialize(&Count, Values);
  benchmark::RunSpecifiedBenchmarks();
  stopLogging();
  return 0;
}
