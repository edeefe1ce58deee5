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
  /// For one report, connection included.
  Duration Timeout = std::chrono::milliseconds(500);
  /// Part of the interval by which each wait varies, so that many routers do
  /// not ask at the same moment; 0 to 1.
  double Jitter = 0.2;
  /// Reports missed in a row before a server counts as failed.
  unsigned FailureThreshold = 3;
  /// Threads that ask. Each can be held up by one dead server for `Limit`.
  unsigned Threads = 4;
  /// A condition that stays is told again after so long: who took over a
  /// server, or heard otherwise from another router, must hear it too.
  Duration RepeatInterval = std::chrono::seconds(5);
  std::uint64_t Seed = 1;
};

/// Asks backend servers for their load and tells their condition: when it
/// changes, a new server counting as usable, and again from time to time. Every
/// call uses a new connection: it is a probe at the same time, which a
/// connection that went silent cannot spoil. Costs one connection and about
/// 1 KB for each server and interval.
class LoadPoller {
public:
  struct Watched {
    ServerId Server;
    std::string Address;
    /// Plain services report no load; they are asked for `/health` only.
    bool ReportsLoad = true;
  };

  /// `Sink` is called from the poller's threads.
  LoadPoller(PollSettings S, BackendCounters &C,
             std::function<void(Event)> Sink);
  ~LoadPoller();
  LoadPoller(const LoadPoller &) = delete;
  LoadPoller &operator=(const LoadPoller &) = delete;

  /// Replaces the set of servers. Those that stay keep what is known of them.
  void watch(const std::vector<Watched> &Servers);

  Poco::JSON::Object::Ptr dump() const;

private:
  struct Known {
    Watched Target;
    TimePoint Due;
    bool Asking = false;
    unsigned Failures = 0;
    ServerCondition Condition = ServerCondition::Usable;
    TimePoint Told; ///< Or, before that, when it was put on the list.
  };

  /// What one call showed.
  struct Observation {
    bool Answered = false;
    bool Leaving = false;
    std::optional<LoadReport> Load = std::nullopt;
  };

  void runThread();
  std::map<ServerId, Known>::iterator mostDue();
  Observation ask(const Watched &Target);
  void conclude(const Watched &Target, const Observation &Seen);
  Duration nextWait();

  PollSettings Settings;
  BackendCounters &Counters;
  std::function<void(Event)> Sink;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::mt19937_64 Random;
  std::map<ServerId, Known> Servers;
  std::vector<std::thread> Threads;
};

} // namespace parsleywing

#endif
