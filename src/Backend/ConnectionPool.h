#ifndef PARSLEYWING_BACKEND_CONNECTIONPOOL_H
#define PARSLEYWING_BACKEND_CONNECTIONPOOL_H

#include "Backend/BackendConnection.h"
#include "Backend/BackendSettings.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace parsleywing {

/// Pool of idle connections to backend servers. Only for requests that may be
/// repeated: an idle connection may be dead, which only a request can show.
/// Thread-safe; each call takes one lock.
class ConnectionPool {
public:
  explicit ConnectionPool(BackendSettings S) : Settings(std::move(S)) {}

  /// Takes the most recently used connection that is still usable; null if
  /// there is none.
  std::unique_ptr<BackendConnection> acquire(const std::string &Address);

  /// Returns a connection to the pool. Its last response must have been read
  /// completely.
  void release(const std::string &Address,
               std::unique_ptr<BackendConnection> Connection);

  /// Closes all idle connections to a server. Called when one of them turned
  /// out to be dead.
  void closeIdle(const std::string &Address);

  std::size_t idleCount(const std::string &Address) const;

private:
  struct IdleConnection {
    TimePoint Since;
    std::unique_ptr<BackendConnection> Connection;
  };

  BackendSettings Settings;
  mutable std::mutex Mutex;
  std::map<std::string, std::vector<IdleConnection>> IdleByServer;
};

} // namespace parsleywing

#endif
