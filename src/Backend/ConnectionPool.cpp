#include "Backend/ConnectionPool.h"

namespace parsleywing {

std::unique_ptr<BackendConnection>
ConnectionPool::acquire(const std::string &Address) {
  const TimePoint Now = this->Settings.Time.now();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<IdleConnection> &Connections = this->IdleByServer[Address];
  while (!Connections.empty()) {
    IdleConnection Newest = std::move(Connections.back());
    Connections.pop_back();
    if (Now - Newest.Since < this->Settings.MaxIdleTime &&
        !Newest.Connection->hasUnsolicitedInput())
      return std::move(Newest.Connection);
  }
  return nullptr;
}

void ConnectionPool::release(const std::string &Address,
                             std::unique_ptr<BackendConnection> Connection) {
  Connection->detach();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<IdleConnection> &Connections = this->IdleByServer[Address];
  if (Connections.size() < this->Settings.MaxIdleConnections)
    Connections.push_back({this->Settings.Time.now(), std::move(Connection)});
}

void ConnectionPool::closeIdle(const std::string &Address) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->IdleByServer.erase(Address);
}

std::size_t ConnectionPool::idleCount(const std::string &Address) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Server = this->IdleByServer.find(Address);
  return Server == this->IdleByServer.end() ? 0 : Server->second.size();
}

} // namespace parsleywing
