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

/// Whether the router accepts requests, and how many requests are open.
struct RouterHealth {
  bool Draining = false;
  std::size_t OpenRequests = 0;
};

/// The generation of the declarations that this router uses for requests.
struct RouterGeneration {
  std::string Name;
  /// The incarnation number of the process. It distinguishes a restart, after
  /// which the generation may be lower, from a rollback.
  std::uint64_t Incarnation = 0;
  std::uint64_t Generation = 0;
};

/// The functions of the process that the operator server calls, all from the
/// server's own threads.
struct OperatorHooks {
  const StateSources &State;
  const Metrics &Measured;
  /// Requests that the process drains and exits; returns immediately.
  std::function<void()> Drain;
  std::function<RouterHealth()> Health;
  std::function<RouterGeneration()> Generation;
  /// Fails with `Denied` if the settings do not allow fault injection.
  std::function<Result<void>(const PeerFaultOrder &)> Faults;
};

/// The HTTP server for operators: `GET /dump` (JSON), `GET /metrics`
/// (Prometheus text), `GET /health` (200 while the router accepts requests, 503
/// while it drains), `GET /generation` (a small response for frequent polling),
/// `POST /drain` and, if the settings allow fault injection, `POST /faults`
/// (403 otherwise). There is no authentication: whoever reaches the address can
/// use it, so it must be bound to loopback or to a private network.
class OperatorServer {
public:
  /// `A` is the numeric host and port to listen on.
  OperatorServer(std::string A, OperatorHooks H);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// Binds the address and starts serving. Fails with `Unreachable` if the
  /// address cannot be bound.
  Result<void> start();

private:
  std::string Address;
  OperatorHooks Hooks;
  Poco::ThreadPool Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace parsleywing

#endif
