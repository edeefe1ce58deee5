#ifndef PARSLEYWING_STANDIN_ENGINESTANDIN_H
#define PARSLEYWING_STANDIN_ENGINESTANDIN_H

#include "Runtime/Clock.h"
#include "standin/CrashableServer.h"
#include "standin/EngineFaults.h"
#include "standin/PauseSchedule.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing::standin {

struct EngineOptions {
  std::string Address;
  std::uint32_t MaxRunning = 8;
  /// The time in which each running request generates one token.
  Duration Step = std::chrono::milliseconds(5);
  /// Whether the engine refuses orders with an outdated fencing number.
  bool ChecksFencing = false;
  /// The age of the load that `/metrics` reports.
  Duration ReportLag = Duration::zero();
  std::string Model = "stand-in";
  /// The version of the engine's software, stated in the `Server` field of each
  /// response and in the text of each token; empty for none.
  std::string Version;
  /// A file to which each execution appends "IDENTITY KEY" before its first
  /// token, so that executions remain counted when the stand-in is killed.
  /// Empty for none.
  std::string ExecutionsLog;
};

/// A response that the engine generates, even if no client reads it.
struct EngineResponse {
  std::string Id;
  std::string Identity;
  std::string IdempotencyKey;
  /// The metadata object of the request as JSON.
  std::string Metadata;
  std::uint64_t TokensWanted = 0;
  std::uint64_t Tokens = 0;
  bool Background = false;
  bool Done = false;
  /// The data of each event; its index is the sequence number.
  std::vector<std::string> Events;
  std::string Text;
  std::condition_variable EventsAvailable;
};

using EngineResponsePtr = std::shared_ptr<EngineResponse>;

/// Simulates a model engine with continuous batching: admits requests in order
/// of arrival and generates as many tokens as `tokens=N` in the input requests.
/// One thread generates the tokens of all running requests, and one thread per
/// connection writes them. Counts executions by request identity and by
/// idempotency key.
class EngineStandIn {
public:
  explicit EngineStandIn(EngineOptions O);
  ~EngineStandIn();
  EngineStandIn(const EngineStandIn &) = delete;
  EngineStandIn &operator=(const EngineStandIn &) = delete;

  void start();

  const EngineOptions &options() const { return this->Options; }

  /// The listen address with its port.
  std::string address() const;

  std::map<std::string, int> executions() const;
  std::map<std::string, int> executionsByKey() const;
  std::uint32_t running() const;
  std::uint32_t waiting() const;
  std::set<std::string> loadedModels() const;

  /// Simulates a restart with other software that still has the responses of
  /// the earlier process.
  void setVersion(const std::string &Version);
  std::string version() const;

  void setFaults(const EngineFaults &F);
  EngineFaults faults() const;

  /// Permanently silences all connections that are open now; new ones work.
  void silenceConnections();

  /// Simulates a crash that loses all running and waiting requests; the engine
  /// listens again after this delay.
  void crash(Duration RestartDelay);

  /// The number of new requests that have reached the engine, with refused
  /// ones.
  std::uint64_t arrivals() const { return this->Arrivals; }

  // Called by the request handlers.

  void countArrival() { ++this->Arrivals; }

  EngineResponsePtr submit(EngineResponsePtr Response);
  EngineResponsePtr find(const std::string &Id) const;
  void cancel(const EngineResponsePtr &Response);

  /// Waits for events from index `Next` on and returns all that are available.
  /// Returns nothing at the end of the response or when the stand-in stops.
  std::vector<std::string> waitForEvents(EngineResponse &Response,
                                         std::size_t Next);

  /// Waits while the condition holds, or until the stand-in stops.
  void waitWhile(const std::function<bool()> &Condition);

  /// Waits while the process pauses.
  void waitWhilePaused();

  /// Waits for this time, or until the stand-in stops.
  void waitFor(Duration Time);

  ConnectionPause takeConnectionPause() {
    return this->Pauses.takeConnectionPause();
  }

  /// Whether this connection was open when `silenceConnections` was called. The
  /// cookie is the kernel's socket cookie, which is never reused.
  bool isSilenced(std::uint64_t ConnectionCookie);
  std::string metrics() const;

  /// Executes an order and returns the HTTP status of the response.
  int executeOrder(const std::string &Path, const std::string &Name,
                   std::uint64_t FencingNumber);

private:
  struct LoadSample {
    TimePoint At;
    std::uint32_t Running;
    std::uint32_t Waiting;
  };

  void runSteps();
  void step();
  void admit();
  void countExecution(const EngineResponse &Response);
  void generate(EngineResponse &Response);
  void finish(const EngineResponsePtr &Response);
  void sampleLoad();

  EngineOptions Options;
  std::atomic<std::uint64_t> Arrivals{0};
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  EngineFaults Faults;
  PauseSchedule Pauses;
  std::uint64_t SilenceEpoch = 0;
  std::map<std::uint64_t, std::uint64_t> ConnectionEpochs;
  std::uint64_t NextId = 1;
  std::deque<EngineResponsePtr> Waiting;
  std::vector<EngineResponsePtr> Running;
  std::map<std::string, EngineResponsePtr> Responses;
  std::deque<std::string> Finished;
  std::map<std::string, int> Executions;
  std::map<std::string, int> ExecutionsByKey;
  std::deque<LoadSample> LoadSamples;
  std::set<std::string> LoadedModels;
  std::uint64_t HighestFencingNumber = 0;
  CrashableServer Server;
  std::thread StepThread;
};

} // namespace parsleywing::standin

#endif
