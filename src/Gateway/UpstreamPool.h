#ifndef PARSLEYWING_GATEWAY_UPSTREAMPOOL_H
#define PARSLEYWING_GATEWAY_UPSTREAMPOOL_H

#include "Gateway/UpstreamConnection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleywing {

/// Keeps idle connections to servers for the next request. A new connection
/// costs a round trip, time of the server and its price; a kept one may have
/// been closed by the server unnoticed, which is why each use states how long
/// it may have been idle.
class UpstreamPool {
public:
  explicit UpstreamPool(EventLoop &L) : Loop(L) {}
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool &) = delete;
  UpstreamPool &operator=(const UpstreamPool &) = delete;

  /// The connection that was used last, if it has not been idle for longer
  /// than `MaxIdle` nor than the server keeps it. Null otherwise.
  std::shared_ptr<UpstreamConnection> acquire(const std::string &ServerId,
                                              Duration MaxIdle);

  void release(const std::string &ServerId,
               std::shared_ptr<UpstreamConnection> Connection);

  /// Closes the idle connections to a server.
  void closeIdle(const std::string &ServerId);

  /// Closes what has been idle for too long. Called now and then.
  void closeExpired();

  std::size_t idleCount() const;

private:
  using ConnectionList = std::vector<std::shared_ptr<UpstreamConnection>>;

  EventLoop &Loop;
  std::map<std::string, ConnectionList> IdleByServer;
};

} // namespace parsleywing

#endif
