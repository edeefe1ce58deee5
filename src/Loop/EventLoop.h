#ifndef PARSLEYWING_LOOP_EVENTLOOP_H
#define PARSLEYWING_LOOP_EVENTLOOP_H

#include "Runtime/Clock.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace parsleywing {

/// Names a timer of one loop; zero is none.
using TimerId = std::uint64_t;

/// Waits for sockets and timers on one thread and calls their handlers there.
/// Everything but `post` and `stop` belongs to that thread. One thread in place
/// of one a connection: a caller's stream of events costs about 10 in place of
/// 24 microseconds of processor time an event (trial over `PollSet` and over
/// the library's thread pool, 26 events a request).
class EventLoop {
public:
  /// Called with the poll modes that came true.
  using SocketHandler = std::function<void(int)>;
  using Task = std::function<void()>;

  explicit EventLoop(Clock C) : Time(std::move(C)) {}

  /// Watches a socket. The handler is kept alive while it runs, also where it
  /// removes its own socket.
  void add(const Poco::Net::Socket &Socket, int Modes, SocketHandler Handler);
  void update(const Poco::Net::Socket &Socket, int Modes);
  void remove(const Poco::Net::Socket &Socket);

  /// Calls a task once after a delay.
  TimerId after(Duration Delay, Task Due);
  void cancel(TimerId Timer);

  /// Hands a task over from any thread; it runs within `LongestWait`.
  void post(Task Posted);

  /// Serves until `stop`.
  void run();
  void stop() { this->Stopping = true; }

  const Clock &clock() const { return this->Time; }

  /// How late timers are served, averaged over the last rounds: the processor
  /// is short where this grows.
  Duration lag() const { return Duration(this->Lag.load()); }

private:
  struct SocketEntry {
    int Modes = 0;
    std::shared_ptr<SocketHandler> Handler;
  };

  Duration untilNextTimer() const;
  void runPostedTasks();
  void runDueTimers();
  void pollSockets(Duration Wait);

  Clock Time;
  Poco::Net::PollSet Poll;
  std::unordered_map<Poco::Net::SocketImpl *, SocketEntry> Sockets;
  std::map<std::pair<TimePoint, TimerId>, Task> Timers;
  std::unordered_map<TimerId, TimePoint> TimerDeadlines;
  TimerId LastTimerId = 0;
  /// When the sockets that are served were looked at.
  TimePoint PolledAt{};
  std::mutex Mutex;
  std::vector<Task> PostedTasks;
  std::atomic<bool> Stopping{false};
  std::atomic<Duration::rep> Lag{0};
};

} // namespace parsleywing

#endif
