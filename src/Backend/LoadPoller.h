#ifndef PARSLEYWING_BACKEND_LOADPOLLER_H
#define PARSLEYWING_BACKEND_LOADPOLLER_H

#include "Backend/BackendCounters.h"
#include "Backend/LoadReport.h"
#include "Decision/Events.h"

#include <Poco/JSON/Object.h>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing {

struct PollSettings {
  Duration Interval = std::chrono::seconds(1);
  /// For one poll, including connecting.
  Duration Timeout = std::chrono::milliseconds(500);
  /// Fraction of the interval by which each wait varies, so that the polls of
  /// many routers do not coincide; 0 to 1.
  double Jitter = 0.2;
  /// Consecutive failed polls after which a server counts as failed.
  unsigned FailureThreshold = 3;
  /// Number of polling threads. A dead server blocks one of them for `Timeout`.
  unsigned Threads = 4;
  /// Interval for reporting an unchanged condition again: the receiver may have
  /// taken the server over, or learned otherwise from another router, since the
  /// last report.
  Duration RepeatInterval = std::chrono::seconds(5);
  std::uint64_t Seed = 1;
};

/// Polls backend servers for their load and reports their condition whenever it
/// changes, and again every `RepeatInterval`. A new server counts as usable
/// until polled. Each poll also acts as a health probe and therefore opens a
/// new connection, so that a dead connection cannot distort it. Costs one
/// connection and about 1 KB per server and interval.
class LoadPoller {
public:
  struct Watched {
    ServerId Server;
    std::string Address;
    /// False for plain services, which report no load: only their `/health` is
    /// polled.
    bool ReportsLoad = true;
  };

  /// `Sink` is called from the poller's threads.
  LoadPoller(PollSettings S, BackendCounters &C,
             std::function<void(Event)> Sink);
  ~LoadPoller();
  LoadPoller(const LoadPoller &) = delete;
  LoadPoller &operator=(const LoadPoller &) = delete;

  /// Replaces the set of polled servers. Servers that remain keep their state.
  void watch(const std::vector<Watched> &Servers);

  Poco::JSON::Object::Ptr dump() const;

private:
  struct PolledServer {
    Watched Target;
    TimePoint DueAt;
    bool InProgress = false;
    unsigned ConsecutiveFailures = 0;
    ServerCondition Condition = ServerCondition::Usable;
    TimePoint LastReportedAt; ///< Initially the time the server was added.
  };

  /// Result of one poll.
  struct Observation {
    bool Answered = false;
    bool Leaving = false;
    std::optional<LoadReport> Load = std::nullopt;
  };

  void runThread();
  std::map<ServerId, PolledServer>::iterator nextDue();
  Observation poll(const Watched &Target);
  void applyObservation(const Watched &Target, const Observation &PollResult);
  Duration nextInterval();

  PollSettings Settings;
  BackendCounters &Counters;
  std::function<void(Event)> Sink;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::mt19937_64 Random;
  std::map<ServerId, PolledServer> Servers;
  std::vector<std::thread> Threads;
};

} // namespace parsleywing

#endif
