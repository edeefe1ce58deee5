#include "Gateway/UpstreamPool.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Max idle connections per server. A server accepts only a few hundred
/// connections in total, and other routers need them too.
constexpr std::size_t MaxIdlePerServer = 16;

} // namespace

UpstreamPool::~UpstreamPool() {
  for (auto &[Server, Connections] : this->IdleByServer)
    for (const auto &Each : Connections)
      Each->close();
}

std::shared_ptr<UpstreamConnection>
UpstreamPool::acquire(const std::string &ServerId, Duration MaxIdle) {
  const auto Found = this->IdleByServer.find(ServerId);
  if (Found == this->IdleByServer.end())
    return nullptr;
  const TimePoint Now = this->Loop.clock().now();
  ConnectionList &Connections = Found->second;
  while (!Connections.empty()) {
    auto Last = Connections.back();
    const bool Usable = Last->reusable() && Last->ReusableUntil > Now;
    // The connections before the last one have been idle for longer.
    if (Usable && Now - Last->IdleSince > MaxIdle)
      return nullptr;
    Connections.pop_back();
    if (Usable && Last->verifyReusable())
      return Last;
    Last->close();
  }
  return nullptr;
}

void UpstreamPool::release(const std::string &ServerId,
                           std::shared_ptr<UpstreamConnection> Connection) {
  if (!Connection->reusable())
    return;
  ConnectionList &Connections = this->IdleByServer[ServerId];
  if (Connections.size() >= MaxIdlePerServer) {
    Connections.front()->close();
    Connections.erase(Connections.begin());
  }
  Connection->setIdleClosedCallback(
      [this, ServerId, Weak = std::weak_ptr(Connection)] {
        const auto Closed = Weak.lock();
        const auto Found = this->IdleByServer.find(ServerId);
        if (Found != this->IdleByServer.end())
          std::erase(Found->second, Closed);
      });
  Connections.push_back(std::move(Connection));
}

void UpstreamPool::closeIdle(const std::string &ServerId) {
  const auto Found = this->IdleByServer.find(ServerId);
  if (Found == this->IdleByServer.end())
    return;
  for (const auto &Each : Found->second)
    Each->close();
  this->IdleByServer.erase(Found);
}

void UpstreamPool::closeExpired() {
  const TimePoint Now = this->Loop.clock().now();
  for (auto &[Server, Connections] : this->IdleByServer)
    std::erase_if(Connections, [Now](const auto &Each) {
      if (Each->reusable() && Each->ReusableUntil > Now)
        return false;
      Each->close();
      return true;
    });
  std::erase_if(this->IdleByServer,
                [](const auto &Each) { return Each.second.empty(); });
}

std::size_t UpstreamPool::idleCount() const {
  std::size_t Count = 0;
  for (const auto &[Server, Connections] : this->IdleByServer)
    Count += Connections.size();
  return Count;
}

} // namespace parsleywing
