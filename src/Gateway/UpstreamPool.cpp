#include "Gateway/UpstreamPool.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Idle connections kept for one server; more would hold places that other
/// routers need at a server that takes a few hundred in all.
constexpr std::size_t MaxIdleForServer = 16;

} // namespace

UpstreamPool::~UpstreamPool() {
  for (auto &[Server, Connections] : this->Kept)
    for (const auto &Each : Connections)
      Each->close();
}

std::shared_ptr<UpstreamConnection>
UpstreamPool::take(const std::string &ServerId, Duration MaxIdle) {
  const auto Found = this->Kept.find(ServerId);
  if (Found == this->Kept.end())
    return nullptr;
  const TimePoint Now = this->Loop.clock().now();
  Idle &Connections = Found->second;
  while (!Connections.empty()) {
    auto Last = Connections.back();
    const bool Usable = Last->reusable() && Last->IdleUntil > Now;
    // Those below have been idle for even longer.
    if (Usable && Now - Last->IdleSince > MaxIdle)
      return nullptr;
    Connections.pop_back();
    if (Usable && Last->reusableNow())
      return Last;
    Last->close();
  }
  return nullptr;
}

void UpstreamPool::put(const std::string &ServerId,
                       std::shared_ptr<UpstreamConnection> Connection) {
  if (!Connection->reusable())
    return;
  Idle &Connections = this->Kept[ServerId];
  if (Connections.size() >= MaxIdleForServer) {
    Connections.front()->close();
    Connections.erase(Connections.begin());
  }
  Connection->whenIdleEnds([this, ServerId, Ended = std::weak_ptr(Connection)] {
    const auto Gone = Ended.lock();
    const auto Found = this->Kept.find(ServerId);
    if (Found != this->Kept.end())
      std::erase(Found->second, Gone);
  });
  Connections.push_back(std::move(Connection));
}

void UpstreamPool::drop(const std::string &ServerId) {
  const auto Found = this->Kept.find(ServerId);
  if (Found == this->Kept.end())
    return;
  for (const auto &Each : Found->second)
    Each->close();
  this->Kept.erase(Found);
}

void UpstreamPool::closeOld() {
  const TimePoint Now = this->Loop.clock().now();
  for (auto &[Server, Connections] : this->Kept)
    std::erase_if(Connections, [Now](const auto &Each) {
      if (Each->reusable() && Each->IdleUntil > Now)
        return false;
      Each->close();
      return true;
    });
  std::erase_if(this->Kept,
                [](const auto &Each) { return Each.second.empty(); });
}

std::size_t UpstreamPool::idle() const {
  std::size_t Count = 0;
  for (const auto &[Server, Connections] : this->Kept)
    Count += Connections.size();
  return Count;
}

} // namespace parsleywing
