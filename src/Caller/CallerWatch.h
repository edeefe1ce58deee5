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

/// Detects callers that close their connection while their request waits or
/// runs. Otherwise such a request would keep its place in the queue and its
/// slot at the engine until it ends. One thread waits on all watched sockets
/// (epoll through POCO's PollSet), so the cost depends on the number of events
/// and not on the number of connections.
///
/// A caller that has shut down only its sending side counts as disconnected.
/// Bytes of a pipelined request do not; a close after them is detected within
/// `BacklogInterval`.
class CallerWatch {
public:
  /// Interval between checks of connections with unread bytes.
  static constexpr Duration BacklogInterval = std::chrono::milliseconds(200);

  CallerWatch();
  ~CallerWatch();
  CallerWatch(const CallerWatch &) = delete;
  CallerWatch &operator=(const CallerWatch &) = delete;

  /// Watches a connection. Calls `OnDisconnected` once, from the watching
  /// thread, when the caller disconnects; it must neither block nor call back
  /// into this object.
  void add(const Poco::Net::StreamSocket &Caller,
           std::function<void()> OnDisconnected);

  /// Stops watching a connection. After this call, `OnDisconnected` is neither
  /// running nor called.
  void remove(const Poco::Net::StreamSocket &Caller);

  /// Keeps a connection whose sending side is shut down open until the caller
  /// closes it. Closing a socket with unread bytes would reset the connection
  /// and lose the unsent rest of the response. The connection stays open while
  /// the caller accepts some bytes within each `SendTimeout`, and `LingerTime`
  /// longer after the last byte.
  void linger(const Poco::Net::StreamSocket &Caller, Duration SendTimeout);

  /// Lingering connections that had unacknowledged response bytes at the last
  /// check.
  std::size_t unsentResponses() const { return this->UnsentResponses; }

  /// Whether sent bytes are not yet acknowledged by the caller's host. If the
  /// socket were closed now, a further request of the caller would cause a
  /// reset and truncate the response.
  static bool hasUnsent(const Poco::Net::StreamSocket &Caller);

  /// Whether no bytes are unsent and none are unread, so that closing the
  /// socket loses no data.
  static bool isSafeToClose(const Poco::Net::StreamSocket &Caller);

  /// How long a caller that has received its complete response may take to
  /// close the connection.
  static constexpr Duration LingerTime = std::chrono::seconds(1);
  /// Maximum number of lingering connections; further ones are closed at once.
  static constexpr std::size_t MaxLingering = 256;

private:
  using SteadyClock = std::chrono::steady_clock;
  struct Watched {
    Poco::Net::StreamSocket Socket;
    std::function<void()> OnDisconnected;
    bool HasBacklog = false;
  };
  struct Lingering {
    Poco::Net::StreamSocket Socket;
    Duration SendTimeout;
    /// Bytes that the caller's host had not acknowledged at the last check.
    int UnsentBytes;
    SteadyClock::time_point ExpiresAt;
  };

  void run();
  void checkSocket(const Poco::Net::Socket &Caller);
  void checkBacklogs();
  void closeLingering();
  static bool shouldClose(Lingering &Connection, SteadyClock::time_point Now);

  std::atomic<bool> Stopping{false};
  Poco::Net::PollSet Sockets;
  std::mutex Mutex;
  std::unordered_map<const Poco::Net::SocketImpl *, Watched> Callers;
  std::vector<Lingering> LingeringConnections;
  std::atomic<std::size_t> UnsentResponses{0};
  std::thread Thread;
};

} // namespace parsleywing

#endif
