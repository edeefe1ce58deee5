#include "FreeAddress.h"
#include "Gateway/ConnectionRelay.h"
#include "Gateway/GatewayFront.h"
#include "Runtime/Log.h"
#include "platform/HeadFormat.h"

#include <Poco/Net/ServerSocket.h>
#include <array>
#include <benchmark/benchmark.h>
#include <ctime>
#include <thread>

// Measures the CPU time that one streamed request of 20 events, 1 ms apart,
// costs the event loop thread of the router that its caller is connected to:
// served there, and relayed to another router. The relay's decision is not
// included. Discard the log lines with `2>/dev/null`.

namespace {

using namespace parsleywing;
using namespace std::chrono_literals;

constexpr int Events = 20;
constexpr const char *LastChunk = "\r\n0\r\n\r\n";

double cpuSeconds(std::thread &Thread) {
  clockid_t Id{};
  timespec Used{};
  if (pthread_getcpuclockid(Thread.native_handle(), &Id) != 0 ||
      clock_gettime(Id, &Used) != 0)
    std::abort();
  constexpr double SecondsPerNanosecond = 1e-9;
  return static_cast<double>(Used.tv_sec) +
         SecondsPerNanosecond * static_cast<double>(Used.tv_nsec);
}

void sendText(Poco::Net::StreamSocket &To, const std::string &Text) {
  To.sendBytes(Text.data(), static_cast<int>(Text.size()));
}

/// Sends each response on one connection at a time.
class StreamServer {
public:
  StreamServer()
      : Listening(Poco::Net::SocketAddress("127.0.0.1:0")),
        Worker([this] { this->serve(); }) {}
  ~StreamServer() {
    this->Listening.impl()->shutdown();
    this->Worker.join();
  }
  StreamServer(const StreamServer &) = delete;
  StreamServer &operator=(const StreamServer &) = delete;

  Poco::Net::SocketAddress address() const { return this->Listening.address(); }

private:
  void serve() {
    std::array<char, 8192> Buffer{};
    try {
      while (true) {
        Poco::Net::StreamSocket Connection = this->Listening.acceptConnection();
        Connection.setNoDelay(true);
        while (Connection.receiveBytes(Buffer.data(), Buffer.size()) > 0)
          respond(Connection);
      }
    } catch (const Poco::Exception &) {
      // The benchmark has ended.
    }
  }

  static void respond(Poco::Net::StreamSocket &To) {
    sendText(To, "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n"
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
    for (int Number = 1; Number <= Events; ++Number) {
      std::this_thread::sleep_for(1ms);
      const std::string Id = std::to_string(Number + 10);
      sendText(To, "17\r\nid: " + Id + "\ndata: 12345678\n\n\r\n");
    }
    sendText(To, "0\r\n\r\n");
  }

  Poco::Net::ServerSocket Listening;
  std::thread Worker;
};

/// A router in front of one server.
class Router {
public:
  Router() {
    this->Settings.Name = "router";
    this->Settings.CallerAddress = test::freeLoopbackAddress();
    this->Front = std::make_unique<GatewayFront>(this->Settings, this->Format,
                                                 this->MetricsRegistry);
    if (!this->Front->open())
      std::abort();
    auto Configuration = std::make_shared<GatewayConfiguration>();
    Configuration->Version = 1;
    Configuration->HasAccounts = true;
    Configuration->AccountOfKey["key"] = "acc";
    GatewayRoute Route;
    Route.Name = "stream";
    Route.Host = "h";
    Route.Prefix = "/stream/";
    Route.Kind = RequestKind::Stream;
    Route.Targets = {{"plain", 1}};
    Route.Timeout = 4s;
    Route.LatencyObjective = 500ms;
    Configuration->Routes = {Route};
    Configuration->Services["plain"].Name = "plain";
    auto Servers = std::make_shared<ServerList>();
    GatewayServer Entry;
    Entry.Id = "s";
    Entry.Service = "plain";
    Entry.Address = this->Server.address();
    Entry.Slots = 4;
    Entry.Version = "v1";
    Servers->emplace(Entry.Id, Entry);
    auto View = std::make_shared<FleetView>();
    View->Configuration = std::move(Configuration);
    View->Servers = std::move(Servers);
    View->ProvenAt = Clock::sinceBoot().now() + 1h;
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

  Poco::Net::SocketAddress address() const {
    return Poco::Net::SocketAddress(this->Settings.CallerAddress);
  }
  std::thread &loopThread() { return this->LoopThread; }

private:
  StreamServer Server;
  GatewaySettings Settings;
  WireFormat Format = platformWireFormat();
  Metrics MetricsRegistry;
  std::unique_ptr<GatewayFront> Front;
  std::thread LoopThread;
};

/// Sends each request on one kept connection.
void measure(benchmark::State &State, const Poco::Net::SocketAddress &Address,
             std::thread &Loop) {
  const std::string Body(2400, 'x');
  const std::string Request =
      "POST /stream/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
      "Deadline-Ms: 4000\r\nAuthorization: Token key\r\nContent-Length: " +
      std::to_string(Body.size()) + "\r\n\r\n" + Body;
  Poco::Net::StreamSocket Socket(Address);
  const double Before = cpuSeconds(Loop);
  while (State.KeepRunning()) {
    sendText(Socket, Request);
    std::string Response;
    std::array<char, 4096> Buffer{};
    while (!Response.ends_with(LastChunk)) {
      const int Count = Socket.receiveBytes(Buffer.data(), Buffer.size());
      if (Count <= 0)
        std::abort();
      Response.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
    if (!Response.starts_with("HTTP/1.1 200"))
      std::abort();
  }
  constexpr double MicrosecondsPerSecond = 1e6;
  State.counters["router_us"] = MicrosecondsPerSecond *
                                (cpuSeconds(Loop) - Before) /
                                static_cast<double>(State.iterations());
}

void servedDirectly(benchmark::State &State) {
  Router Serving;
  measure(State, Serving.address(), Serving.loopThread());
}
BENCHMARK(servedDirectly)->Unit(benchmark::kMillisecond);

void relayed(benchmark::State &State) {
  Router Target;
  EventLoop Loop(Clock::steady());
  Poco::Net::ServerSocket Entry(Poco::Net::SocketAddress("127.0.0.1:0"));
  std::shared_ptr<ConnectionRelay> Relay;
  Loop.add(Entry, Poco::Net::PollSet::POLL_READ, [&](int) {
    Relay = std::make_shared<ConnectionRelay>(
        Loop, ByteChannel::fromAccepted(Loop, Entry.acceptConnection()));
    if (!Relay->start(Target.address(), Poco::Net::IPAddress("127.0.0.1")))
      std::abort();
  });
  std::thread LoopThread([&Loop] { Loop.run(); });
  measure(State, Entry.address(), LoopThread);
  Loop.stop();
  LoopThread.join();
}
BENCHMARK(relayed)->Unit(benchmark::kMillisecond);

} // namespace

int main(int Count, char **Values) {
  (void)startLogging(LogLevel::Info, "stdout");
  benchmark::Initialize(&Count, Values);
  benchmark::RunSpecifiedBenchmarks();
  stopLogging();
  return 0;
}
