#ifndef PARSLEYWING_CALLER_CALLERWATCH_H
#define PARSLEYWING_CALLER_CALLERWATCH_H

#include "Runtime/Clock.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// Notices callers that close their connection while their request waits or
/// runs. Without it a request whose caller is gone would keep its place in the
/// queue and its slot at the engine until its end. One thread sleeps on all
/// watched sockets (epoll beneath POCO's PollSet), so that its cost follows
/// what happens and not the number of connections.
///
/// A caller that has shut down only its sending side counts as gone. Bytes of
/// a next, pipelined request are no alarm; behind them a close is noticed
/// within `BacklogInterval`.
class CallerWatch {
public:
  /// How often connections with unread bytes are looked at.
  static constexpr Duration BacklogInterval = std::chrono::milliseconds(200);

  CallerWatch();
  ~CallerWatch();
  CallerWatch(const CallerWatch &) = delete;
  CallerWatch &operator=(const CallerWatch &) = delete;

  /// Calls `OnLeft` once, from the watching thread, when the caller is gone.
  /// It must not block nor call back into this object.
  void add(const Poco::Net::StreamSocket &Caller, std::function<void()> OnLeft);

  /// Ends the watch. Afterwards `OnLeft` is neither running nor called.
  void remove(const Poco::Net::StreamSocket &Caller);

  /// Holds a connection whose sending side has ended open until the caller
  /// closes it. Closing with unread bytes would reset the connection, and what
  /// has not left of its answer would be lost. So the answer may take as long
  /// as its caller takes some of it within each `SendTimeout`; behind it the
  /// caller has `LingerTime`.
  void linger(const Poco::Net::StreamSocket &Ended, Duration SendTimeout);

  /// Connections held open so whose answers had not all left when they were
  /// last looked at.
  std::size_t unsentResponses() const { return this->Unsent; }

  /// Whether something that was sent has not reached the caller's system. What
  /// its caller sends behind a close would then cut it off.
  static bool hasUnsent(const Poco::Net::StreamSocket &Caller);

  /// Whether nothing is unsent and nothing waits to be read, so that a close
  /// loses nothing.
  static bool isSafeToClose(const Poco::Net::StreamSocket &Caller);

  /// The time for a caller that has its answer to close the connection, and
  /// the most connections that are held open so.
  static constexpr Duration LingerTime = std::chrono::seconds(1);
  static constexpr std::size_t MaxLingering = 256;

private:
  using SteadyClock = std::chrono::steady_clock;
  struct Watched {
    Poco::Net::StreamSocket Socket;
    std::function<void()> OnLeft;
    bool HasBacklog = false;
  };
  struct Lingering {
    Poco::Net::StreamSocket Socket;
    Duration SendTimeout;
    /// Bytes that the caller's system had not taken at the last look.
    int Unsent;
    SteadyClock::time_point Until;
  };

  void run();
  void look(const Poco::Net::Socket &Caller);
  void lookAtBacklogs();
  void closeLingering();
  static bool isOver(Lingering &Held, SteadyClock::time_point Now);

  std::atomic<bool> Stopping{false};
  Poco::Net::PollSet Sockets;
  std::mutex Mutex;
  std::unordered_map<const Poco::Net::SocketImpl *, Watched> Callers;
  std::vector<Lingering> Ending;
  std::atomic<std::size_t> Unsent{0};
  std::thread Thread;
};

} // namespace parsleywing

#endif
