#include "Placement/ServerOwnership.h"

#include "Placement/RouterOrder.h"
#include "Runtime/Id.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

bool ServerOwnership::isFirstFor(std::uint64_t Group) {
  const auto [Found, Fresh] = this->FirstForGroup.try_emplace(Group);
  if (Fresh)
    Found->second = topRankedRouter(*this->Routers, Group) == this->RouterName;
  return Found->second;
}

void ServerOwnership::updateView(const FleetView &View,
                                 const ServerGroups &Groups, TimePoint Now) {
  this->ListsProvenAt = std::max(this->ListsProvenAt, View.ListsProvenAt);
  if (View.Servers == nullptr || View.RouterEndpoints == nullptr ||
      View.Configuration == nullptr)
    return;
  if (this->Routers != View.RouterEndpoints) {
    this->Routers = View.RouterEndpoints;
    this->FirstForGroup.clear();
    const auto Own = View.RouterEndpoints->find(this->RouterName);
    const std::int64_t Listed =
        Own == View.RouterEndpoints->end() ? 0 : Own->second.ListedRevision;
    if (Listed != std::exchange(this->ListedRevision, Listed))
      this->FirstSince.clear();
  }
  std::unordered_map<std::uint64_t, TimePoint> Still;
  for (const auto &[Id, Server] : *View.Servers) {
    const auto Service = View.Configuration->Services.find(Server.Service);
    if (Service == View.Configuration->Services.end() ||
        Service->second.WarmUp.PerSecond <= 0 ||
        !this->isFirstFor(Groups.groupOfServer(Id, Server.Service)))
      continue;
    const std::uint64_t Hash = hashName(Id);
    const auto Known = this->FirstSince.find(Hash);
    Still[Hash] = Known == this->FirstSince.end() ? Now : Known->second;
  }
  this->FirstSince = std::move(Still);
}

bool ServerOwnership::owns(std::uint64_t Server, TimePoint Now) const {
  if (Now - this->ListsProvenAt > MaxListAge)
    return false;
  const auto Found = this->FirstSince.find(Server);
  return Found != this->FirstSince.end() &&
         Now - Found->second >= TakeoverDelay;
}

} // namespace parsleywing
