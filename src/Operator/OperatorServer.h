#ifndef PARSLEYWING_OPERATOR_OPERATORSERVER_H
#define PARSLEYWING_OPERATOR_OPERATORSERVER_H

#include "Operator/PeerFaultOrder.h"
#include "Operator/StateSources.h"
#include "Runtime/Metrics.h"
#include "Runtime/Result.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>

namespace parsleywing {

/// Whether the router takes callers, and what it still holds.
struct RouterHealth {
  bool Draining = false;
  std::size_t OpenRequests = 0;
};

/// Which declarations requests at this router go by.
struct RouterGeneration {
  std::string Name;
  /// Of the process, so that a restart is told from a step back.
  std::uint64_t Incarnation = 0;
  std::uint64_t Generation = 0;
};

/// What the operator address reaches inside the process. Everything is called
/// from the server's own threads.
struct OperatorHooks {
  const StateSources &State;
  const Metrics &Measured;
  /// Asks the process to drain and end; returns at once.
  std::function<void()> Drain;
  std::function<RouterHealth()> Health;
  std::function<RouterGeneration()> Generation;
  /// `Denied` where the settings do not allow fault injection.
  std::function<Result<void>(const PeerFaultOrder &)> Faults;
};

/// The HTTP front to operators: `GET /dump` (JSON), `GET /metrics` (Prometheus
/// text), `GET /health` (200 while it takes callers, 503 while it drains),
/// `GET /generation` (small, for many reads), `POST /drain` and, where the
/// settings allow fault injection, `POST /faults` (403 elsewhere). It knows no
/// accounts: whoever reaches the address may use it, so it belongs on loopback
/// or a closed network.
class OperatorServer {
public:
  /// `A` is the numeric host and port to listen on.
  OperatorServer(std::string A, OperatorHooks H);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// Binds the address and starts to serve. `Unreachable` where it cannot.
  Result<void> start();

private:
  std::string Address;
  OperatorHooks Hooks;
  Poco::ThreadPool Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace parsleywing

#endif
