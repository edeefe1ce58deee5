#ifndef PARSLEYWING_GATEWAY_UPSTREAMPOOL_H
#define PARSLEYWING_GATEWAY_UPSTREAMPOOL_H

#include "Gateway/UpstreamConnection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleywing {

/// Pool of idle connections to servers. A new connection costs a round trip and
/// server time, and is charged for. The server may have closed a pooled one
/// unnoticed, which is why each use limits its idle time.
class UpstreamPool {
public:
  explicit UpstreamPool(EventLoop &L) : Loop(L) {}
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /// Takes the most recently used connection, unless it has been idle for
  /// longer than `MaxIdle` or the server's idle timeout. Null otherwise.
  std::shared_ptr<UpstreamConnection> acquire(const std::string &ServerId,
                                              Duration MaxIdle);

  /// Returns a connection to the pool, if it is reusable.
  void release(const std::string &ServerId,
               std::shared_ptr<UpstreamConnection> Connection);

  /// Closes the idle connections to a server.
  void closeIdle(const std::string &ServerId);

  /// Closes connections whose idle timeout has expired. Called periodically.
  void closeExpired();

  std::size_t idleCount() const;

private:
  using ConnectionList = std::vector<std::shared_ptr<UpstreamConnection>>;

  EventLoop &Loop;
  std::map<std::string, ConnectionList> IdleByServer;
};

} // namespace parsleywing

#endif
