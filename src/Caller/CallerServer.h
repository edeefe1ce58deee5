#ifndef PARSLEYWING_CALLER_CALLERSERVER_H
#define PARSLEYWING_CALLER_CALLERSERVER_H

#include "Caller/CallerContext.h"
#include "Runtime/Result.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>
#include <string>

namespace parsleywing {

/// The HTTP server for callers. Uses one thread per connection, which blocks
/// while its request waits. Designed for a few hundred connections per router;
/// tens of thousands would need an event-driven server.
class CallerServer {
public:
  CallerServer(CallerSettings Settings, ControlLoop &Control,
               std::string IncarnationNumber);

  /// Ends all open requests and waits for the threads. For a graceful shutdown,
  /// drain first and wait until `openConnections()` is zero.
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Binds the address and starts serving.
  Result<void> start();

  /// First step of a drain: `/health` answers 503, so that the load balancer
  /// stops sending requests here, and connections close after their current
  /// response. New connections are still accepted.
  void announceDrain() { this->Context.Draining = true; }

  /// Second step of a drain: closes the listening socket, so that new
  /// connections are refused. Open requests run to completion. Further calls
  /// have no effect. Not thread-safe.
  void stopAccepting();

  std::uint64_t openConnections() const {
    return this->Context.Counters.ConnectionsOpen;
  }
  /// Closed connections whose responses have not been fully acknowledged by the
  /// caller's host. Ending the process may truncate these responses.
  std::size_t unsentResponses() const {
    return this->Context.Watch.unsentResponses();
  }
  const CallerCounters &counters() const { return this->Context.Counters; }

  /// Sets the observer of request timings. Must be called before `start`.
  void observeTimings(TimingObserver Observer) {
    this->Context.Timings = std::move(Observer);
  }

  CallerContext &context() { return this->Context; }

private:
  CallerContext Context;
  Poco::ThreadPool Threads;
  Poco::Net::ServerSocket Listener;
  std::unique_ptr<Poco::Net::TCPServer> Server;
  bool Stopped = false;
};

} // namespace parsleywing

#endif
