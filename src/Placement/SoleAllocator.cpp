#include "Placement/SoleAllocator.h"

#include "Placement/RouterOrder.h"
#include "Runtime/Id.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

bool SoleAllocator::isFirstOf(std::uint64_t Group) {
  const auto [Found, Fresh] = this->FirstOf.try_emplace(Group);
  if (Fresh)
    Found->second = firstListed(*this->OrderedBy, Group) == this->Self;
  return Found->second;
}

void SoleAllocator::takeView(const FleetView &View, const ServerGroups &Groups,
                             TimePoint Now) {
  this->ListsProvenAt = std::max(this->ListsProvenAt, View.ListsProvenAt);
  if (View.Servers == nullptr || View.RouterPlaces == nullptr ||
      View.Configuration == nullptr)
    return;
  if (this->OrderedBy != View.RouterPlaces) {
    this->OrderedBy = View.RouterPlaces;
    this->FirstOf.clear();
    const auto Own = View.RouterPlaces->find(this->Self);
    const std::int64_t Listed =
        Own == View.RouterPlaces->end() ? 0 : Own->second.ListedAt;
    if (Listed != std::exchange(this->ListedAt, Listed))
      this->FirstSince.clear();
  }
  std::unordered_map<std::uint64_t, TimePoint> Still;
  for (const auto &[Id, Server] : *View.Servers) {
    const auto Service = View.Configuration->Services.find(Server.Service);
    if (Service == View.Configuration->Services.end() ||
        Service->second.WarmUp.PerSecond <= 0 ||
        !this->isFirstOf(Groups.groupOf(Id, Server.Service)))
      continue;
    const std::uint64_t Hash = hashName(Id);
    const auto Known = this->FirstSince.find(Hash);
    Still[Hash] = Known == this->FirstSince.end() ? Now : Known->second;
  }
  this->FirstSince = std::move(Still);
}

bool SoleAllocator::owns(std::uint64_t Server, TimePoint Now) const {
  if (Now - this->ListsProvenAt > ListsLife)
    return false;
  const auto Found = this->FirstSince.find(Server);
  return Found != this->FirstSince.end() && Now - Found->second >= TakeOver;
}

} // namespace parsleywing
