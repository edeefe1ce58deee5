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

/// Identifies a timer of one loop; zero is no timer.
using TimerId = std::uint64_t;

/// Waits for sockets and timers on one thread and calls their handlers there.
/// All functions except `post`, `stop` and `lag` must be called on that thread.
/// A single thread is used because forwarding an event of a caller's stream
/// takes about 10 microseconds of CPU time this way, and 24 with a thread per
/// connection.
class EventLoop {
public:
  /// Called with the poll modes that are ready.
  using SocketHandler = std::function<void(int)>;
  using Task = std::function<void()>;

  explicit EventLoop(Clock C) : Time(std::move(C)) {}

  /// Watches a socket. The handler is kept alive while it runs, even if it
  /// removes its own socket.
  void add(const Poco::Net::Socket &Socket, int Modes, SocketHandler Handler);
  void update(const Poco::Net::Socket &Socket, int Modes);
  void remove(const Poco::Net::Socket &Socket);

  /// Runs a task once after a delay.
  TimerId after(Duration Delay, Task TimerTask);
  void cancel(TimerId Timer);

  /// Posts a task from any thread. It runs within 50 ms unless a handler
  /// blocks.
  void post(Task NewTask);

  /// Runs until `stop` is called.
  void run();
  void stop() { this->Stopping = true; }

  const Clock &clock() const { return this->Time; }

  /// How late timers run, averaged over the last iterations. It grows if the
  /// CPU is overloaded.
  Duration lag() const { return Duration(this->Lag.load()); }

  /// The total time in which the loop has waited for sockets and timers. In the
  /// rest of the time it was busy.
  Duration waited() const { return this->Waited; }

  /// Returns the longest time that one iteration was busy since the last call.
  Duration takeLongestIteration() {
    return std::exchange(this->LongestIteration, Duration::zero());
  }

private:
  struct SocketEntry {
    int Modes = 0;
    std::shared_ptr<SocketHandler> Handler;
  };

  Duration untilNextTimer() const;
  void runPostedTasks();
  void runDueTimers();
  void pollSockets(Duration Timeout);

  Clock Time;
  Poco::Net::PollSet Poll;
  std::unordered_map<Poco::Net::SocketImpl *, SocketEntry> Sockets;
  std::map<std::pair<TimePoint, TimerId>, Task> Timers;
  std::unordered_map<TimerId, TimePoint> TimerDeadlines;
  TimerId LastTimerId = 0;
  Duration Waited{};
  TimePoint IterationStart{};
  Duration LongestIteration{};
  std::mutex Mutex;
  std::vector<Task> PostedTasks;
  std::atomic<bool> Stopping{false};
  std::atomic<Duration::rep> Lag{0};
};

} // namespace parsleywing

#endif
