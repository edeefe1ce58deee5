#include "Backend/ConnectionPool.h"

namespace parsleywing {

std::unique_ptr<BackendConnection>
ConnectionPool::acquire(const std::string &Address) {
  const TimePoint Now = this->Settings.Time.now();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<Idle> &Kept = this->Servers[Address];
  while (!Kept.empty()) {
    Idle Youngest = std::move(Kept.back());
    Kept.pop_back();
    if (Now - Youngest.Since < this->Settings.MaxIdleTime &&
        !Youngest.Connection->hasUnsolicitedInput())
      return std::move(Youngest.Connection);
  }
  return nullptr;
}

void ConnectionPool::release(const std::string &Address,
                             std::unique_ptr<BackendConnection> C) {
  C->detach();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<Idle> &Kept = this->Servers[Address];
  if (Kept.size() < this->Settings.MaxIdleConnections)
    Kept.push_back({this->Settings.Time.now(), std::move(C)});
}

void ConnectionPool::closeIdle(const std::string &Address) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Servers.erase(Address);
}

std::size_t ConnectionPool::idleCount(const std::string &Address) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Server = this->Servers.find(Address);
  return Server == this->Servers.end() ? 0 : Server->second.size();
}

} // namespace parsleywing
