#include "Placement/ServerOwnership.h"

#include "Placement/RouterOrder.h"
#include "Runtime/Id.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

bool ServerOwnership::isTopRankedFor(std::uint64_t Group) {
  const auto [Found, Inserted] = this->TopRankedForGroup.try_emplace(Group);
  if (Inserted)
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
    this->TopRankedForGroup.clear();
    const auto Self = View.RouterEndpoints->find(this->RouterName);
    const std::int64_t Revision =
        Self == View.RouterEndpoints->end() ? 0 : Self->second.ListedRevision;
    if (Revision != std::exchange(this->ListedRevision, Revision))
      this->TopRankedSince.clear();
  }
  std::unordered_map<std::uint64_t, TimePoint> Updated;
  for (const auto &[Id, Server] : *View.Servers) {
    const auto Service = View.Configuration->Services.find(Server.Service);
    if (Service == View.Configuration->Services.end() ||
        Service->second.WarmUp.RequestsPerSecond <= 0 ||
        !this->isTopRankedFor(Groups.groupOfServer(Id, Server.Service)))
      continue;
    const std::uint64_t Hash = hashName(Id);
    const auto Previous = this->TopRankedSince.find(Hash);
    Updated[Hash] =
        Previous == this->TopRankedSince.end() ? Now : Previous->second;
  }
  this->TopRankedSince = std::move(Updated);
}

bool ServerOwnership::owns(std::uint64_t Server, TimePoint Now) const {
  if (Now - this->ListsProvenAt > MaxListAge)
    return false;
  const auto Found = this->TopRankedSince.find(Server);
  return Found != this->TopRankedSince.end() &&
         Now - Found->second >= TakeoverDelay;
}

} // namespace parsleywing
