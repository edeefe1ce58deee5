#ifndef PARSLEYWING_STANDIN_ENGINESTANDIN_H
#define PARSLEYWING_STANDIN_ENGINESTANDIN_H

#include "Runtime/Clock.h"
#include "standin/CrashableServer.h"
#include "standin/EngineFaults.h"

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
  /// Time for one token of every running request.
  Duration Step = std::chrono::milliseconds(5);
  /// Whether orders with an old fencing number are refused.
  bool ChecksFencing = false;
  /// How old the load is that `/metrics` reports.
  Duration ReportLag = Duration::zero();
  std::string Model = "stand-in";
  /// A file to which each run appends "IDENTITY KEY" before its first token,
  /// so that a kill of the stand-in loses no count. Empty for none.
  std::string ExecutionsLog;
};

/// One answer that the engine generates, also when nobody reads it.
struct EngineResponse {
  std::string Id;
  std::string Identity;
  std::string IdempotencyKey;
  /// The metadata object of the request, as JSON.
  std::string Metadata;
  std::uint64_t TokensWanted = 0;
  std::uint64_t Tokens = 0;
  bool Background = false;
  bool Done = false;
  /// The data of each event; the place is the event's sequence number.
  std::vector<std::string> Events;
  std::string Text;
  std::condition_variable Grown;
};

using EngineResponsePtr = std::shared_ptr<EngineResponse>;

/// Takes the place of a model engine: batches continuously, admits in order of
/// arrival, and generates as many tokens as the input's `tokens=N` says. One
/// thread makes the tokens of all running requests, one thread a connection
/// writes them. Counts executions by identity and by idempotency key.
class EngineStandIn {
public:
  explicit EngineStandIn(EngineOptions O);
  ~EngineStandIn();
  EngineStandIn(const EngineStandIn &) = delete;
  EngineStandIn &operator=(const EngineStandIn &) = delete;

  void start();

  const EngineOptions &options() const { return this->Options; }

  /// The address that is listened on, with its port.
  std::string address() const;

  std::map<std::string, int> executions() const;
  std::map<std::string, int> executionsByKey() const;
  std::uint32_t running() const;
  std::uint32_t waiting() const;
  std::set<std::string> loadedModels() const;

  void setFaults(const EngineFaults &F);
  EngineFaults faults() const;

  /// Makes every connection open now silent for good; new ones work.
  void silenceConnections();

  /// Ends like a crashed process, with all that runs and waits, and is back
  /// after this time.
  void crash(Duration BackAfter);

  // What the handlers of connections call.

  EngineResponsePtr submit(EngineResponsePtr Response);
  EngineResponsePtr find(const std::string &Id) const;
  void cancel(const EngineResponsePtr &Response);

  /// Waits for events from `Next` on and takes all there are. Empty at the end
  /// of the response or of the stand-in.
  std::vector<std::string> takeEvents(EngineResponse &Response,
                                      std::size_t Next);

  /// Waits while this holds, or until the stand-in ends.
  void waitWhile(const std::function<bool()> &Holds);

  /// Whether this connection was open when the connections went silent. The
  /// cookie is the system's own number of the socket, never used twice.
  bool isSilenced(std::uint64_t ConnectionCookie);
  std::string metrics() const;

  /// The status of the answer to an order.
  int obey(const std::string &Path, const std::string &Name,
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
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  EngineFaults Faults;
  std::uint64_t SilenceEpoch = 0;
  std::map<std::uint64_t, std::uint64_t> EpochOfConnection;
  std::uint64_t NextId = 1;
  std::deque<EngineResponsePtr> Waiting;
  std::vector<EngineResponsePtr> Running;
  std::map<std::string, EngineResponsePtr> Responses;
  std::deque<std::string> Finished;
  std::map<std::string, int> Executions;
  std::map<std::string, int> ExecutionsByKey;
  std::deque<LoadSample> Load;
  std::set<std::string> Loaded;
  std::uint64_t HighestFencing = 0;
  CrashableServer Server;
  std::thread Stepper;
};

} // namespace parsleywing::standin

#endif
