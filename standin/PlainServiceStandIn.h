#ifndef PARSLEYWING_STANDIN_PLAINSERVICESTANDIN_H
#define PARSLEYWING_STANDIN_PLAINSERVICESTANDIN_H

#include "standin/CrashableServer.h"
#include "standin/EngineFaults.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace parsleywing::standin {

/// Takes the place of a plain service: `POST /records` writes a record. Counts
/// executions by `X-Request-Id` and by `Idempotency-Key`; it does not drop
/// repeated calls, so that a call that ran twice shows.
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

  // What the handlers of connections call.

  /// Writes one record; its number, from 1.
  std::uint64_t record(const std::string &Identity, const std::string &Key,
                       std::string Headers);

  /// Ends like a crashed process, and is back after this time.
  void crash(Duration BackAfter) { this->Server.crash(BackAfter); }

  /// Waits while this holds, or until the stand-in ends.
  void waitWhile(const std::function<bool()> &Holds);

private:
  std::string Address;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  EngineFaults Faults;
  std::uint64_t Records = 0;
  std::map<std::string, int> Executions;
  std::map<std::string, int> ExecutionsByKey;
  std::string LastHeaders;
  CrashableServer Server;
};

} // namespace parsleywing::standin

#endif
