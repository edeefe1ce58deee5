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

/// Idle connections to backend servers. Only for requests that may be sent
/// again: an idle connection may have gone silent, and nothing short of a
/// request shows it. Safe from every thread; a call costs one lock.
class ConnectionPool {
public:
  explicit ConnectionPool(BackendSettings S) : Settings(std::move(S)) {}

  /// An idle connection that looks alive, the youngest first; nothing where
  /// there is none.
  std::unique_ptr<BackendConnection> acquire(const std::string &Address);

  /// Keeps a connection whose last answer was read to its end.
  void release(const std::string &Address,
               std::unique_ptr<BackendConnection> C);

  /// Closes every idle connection to a server, after one of them was silent.
  void closeIdle(const std::string &Address);

  std::size_t idleCount(const std::string &Address) const;

private:
  struct Idle {
    TimePoint Since;
    std::unique_ptr<BackendConnection> Connection;
  };

  BackendSettings Settings;
  mutable std::mutex Mutex;
  std::map<std::string, std::vector<Idle>> Servers;
};

} // namespace parsleywing

#endif
