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

/// The HTTP front to callers: one thread a connection, which blocks while its
/// request waits. A few hundred connections a router are meant; for tens of
/// thousands another front would be needed.
class CallerServer {
public:
  CallerServer(CallerSettings Settings, ControlLoop &Control, std::string Life);

  /// Gives up what is still open and waits for its threads. For a graceful end
  /// drain first and wait for `openConnections()` to reach zero.
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Binds the address and starts to serve.
  Result<void> start();

  /// The first step of a drain: `/health` answers 503, so that the balancer
  /// goes elsewhere, and connections are closed after the answer at hand. New
  /// connections are still taken.
  void announceDrain() { this->Context.Draining = true; }

  /// The second step: closes the listener, so that new connections are
  /// refused. Requests that are open go on to their end. A second call does
  /// nothing. Called from one thread.
  void stopAccepting();

  std::uint64_t openConnections() const {
    return this->Context.Counters.ConnectionsOpen;
  }
  /// Ended connections whose answers have not all left. The end of the process
  /// may cut these off.
  std::size_t unsentResponses() const {
    return this->Context.Watch.unsentResponses();
  }
  const CallerCounters &counters() const { return this->Context.Counters; }

  /// Receives the times of every served request. Set before `start`.
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
