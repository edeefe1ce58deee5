#ifndef PARSLEYWING_STANDIN_PLAINSERVICESTANDIN_H
#define PARSLEYWING_STANDIN_PLAINSERVICESTANDIN_H

#include "standin/CrashableServer.h"
#include "standin/EngineFaults.h"
#include "standin/PauseSchedule.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace parsleywing::standin {

/// Simulates a plain service in which `POST /records` creates a record. Counts
/// executions by `X-Request-Id` and by `Idempotency-Key`. It does not
/// deduplicate repeated calls, so that a test can detect a call that ran twice.
class PlainServiceStandIn {
public:
  explicit PlainServiceStandIn(std::string ListenAddress);
  ~PlainServiceStandIn();
  PlainServiceStandIn(const PlainServiceStandIn &) = delete;
  PlainServiceStandIn &operator=(const PlainServiceStandIn &) = delete;

  void start();
  std::string address() const;

  std::map<std::string, int> executions() const;
  std::map<std::string, int> executionsByKey() const;

  /// The headers of the last call to `/records`, as `Name: value` lines.
  std::string lastHeaders() const;

  void setFaults(const EngineFaults &F);
  EngineFaults faults() const;

  /// The number of calls that have reached the service, with refused ones.
  std::uint64_t arrivals() const { return this->Arrivals; }

  // Called by the request handlers.

  void countArrival() { ++this->Arrivals; }

  /// Creates a record and returns its number, starting at 1.
  std::uint64_t record(const std::string &Identity, const std::string &Key,
                       std::string Headers);

  /// Simulates a crash; the service listens again after this delay.
  void crash(Duration RestartDelay) { this->Server.crash(RestartDelay); }

  /// Waits while the process pauses.
  void waitWhilePaused();

  /// Waits for this time, or until the stand-in stops.
  void waitFor(Duration Time);

  ConnectionPause takeConnectionPause() {
    return this->Pauses.takeConnectionPause();
  }

  /// Waits while the condition holds, or until the stand-in stops.
  void waitWhile(const std::function<bool()> &Condition);

private:
  std::string Address;
  std::atomic<std::uint64_t> Arrivals{0};
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  EngineFaults Faults;
  PauseSchedule Pauses;
  std::uint64_t Records = 0;
  std::map<std::string, int> Executions;
  std::map<std::string, int> ExecutionsByKey;
  std::string LastHeaders;
  CrashableServer Server;
};

} // namespace parsleywing::standin

#endif
