// Measures the events per second read by the engine client, compared with a raw
// read of the same stream. The stand-in engine runs in the same process. It
// generates all events in advance, so that its steps do not limit the rate: a
// finished background response is resumed from its start.
#include "Backend/EngineClient.h"
#include "standin/EngineStandIn.h"

#include <Poco/Net/StreamSocket.h>
#include <array>
#include <benchmark/benchmark.h>
#include <thread>

using namespace parsleywing;

namespace {

constexpr std::uint64_t Tokens = 20'000;

/// An engine with one finished response of many tokens.
struct FinishedEngine {
  FinishedEngine() : Engine(options()) {
    this->Engine.start();
    auto Response = std::make_shared<standin::EngineResponse>();
    Response->Identity = "bench.1";
    Response->Metadata = R"({"identity":"bench.1"})";
    Response->TokensWanted = Tokens;
    Response->Background = true;
    this->Id = this->Engine.submit(Response)->Id;
    while (this->Engine.running() + this->Engine.waiting() > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }

  static standin::EngineOptions options() {
    standin::EngineOptions Options;
    Options.Address = "127.0.0.1:0";
    Options.Step = Duration::zero();
    return Options;
  }

  standin::EngineStandIn Engine;
  std::string Id;
};

FinishedEngine &engine() {
  static FinishedEngine Engine;
  return Engine;
}

void throughTheClient(benchmark::State &State) {
  BackendCounters Counters;
  EngineClient Client({}, Counters);
  EngineCall Call;
  Call.Address = engine().Engine.address();
  Call.Identity = "bench.1";
  Call.ResumeFrom.emplace();
  Call.ResumeFrom->ResponseId = engine().Id;
  std::uint64_t Events = 0;
  EngineListener Listener;
  Listener.DeltaReceived = [&](const std::string &Text, std::uint64_t) {
    benchmark::DoNotOptimize(Text.data());
    ++Events;
    return true;
  };
  while (State.KeepRunning())
    if (Client.run(Call, Listener).Outcome != AttemptOutcome::Completed)
      State.SkipWithError("the response is incomplete");
  State.SetItemsProcessed(static_cast<std::int64_t>(Events));
}
BENCHMARK(throughTheClient)->UseRealTime()->Unit(benchmark::kMillisecond);

void rawRead(benchmark::State &State) {
  const std::string Head = "GET /v1/responses/" + engine().Id +
                           "?stream=true&starting_after=0 HTTP/1.1\r\n"
                           "Host: bench\r\nConnection: close\r\n\r\n";
  std::array<char, 64 << 10> Buffer{};
  std::int64_t Bytes = 0;
  while (State.KeepRunning()) {
    Poco::Net::StreamSocket Socket{
        Poco::Net::SocketAddress(engine().Engine.address())};
    Socket.sendBytes(Head.data(), static_cast<int>(Head.size()));
    int Count = 0;
    while ((Count = Socket.receiveBytes(Buffer.data(), Buffer.size())) > 0)
      Bytes += Count;
  }
  State.SetBytesProcessed(Bytes);
  State.SetItemsProcessed(State.iterations() *
                          static_cast<std::int64_t>(Tokens));
}
BENCHMARK(rawRead)->UseRealTime()->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
