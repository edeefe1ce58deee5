#include "Placement/VersionHistory.h"

#include "Placement/StreamLifetime.h"

#include <algorithm>
#include <set>
#include <utility>

namespace parsleywing {

namespace {

/// How long software is kept that no stream can have begun at any more, since
/// requests that arrived earlier may still ask for it.
constexpr Duration ExpiryMargin = std::chrono::seconds(5);

} // namespace

void VersionHistory::recordListed(const GatewayServer &Server, TimePoint Now) {
  const auto [Known, IsNew] =
      this->ByService[Server.Service].try_emplace(softwareOf(Server), Now);
  if (!IsNew && Known->second)
    Known->second = Now;
}

void VersionHistory::update(const FleetView &View, TimePoint Now) {
  if (View.Configuration == nullptr || View.Servers == nullptr ||
      View.ListsProvenAt == TimePoint{})
    return;
  if (!this->KnownSince ||
      View.ListsProvenAt - this->ListsProvenAt > MaxProofGap)
    this->KnownSince = View.ListsProvenAt;
  this->ListsProvenAt = std::max(this->ListsProvenAt, View.ListsProvenAt);
  if (View.Configuration != this->Configuration) {
    this->Configuration = View.Configuration;
    this->updateRoutes(*View.Configuration, Now);
  }
  if (View.Servers != this->Servers) {
    this->Servers = View.Servers;
    this->updateServers(*View.Servers, Now);
  }
  this->removeExpired(Now);
}

void VersionHistory::updateRoutes(const GatewayConfiguration &New,
                                  TimePoint Now) {
  std::vector<StreamRoute> NewRoutes;
  this->MaxLifetime = Duration::zero();
  for (const GatewayRoute &Each : New.Routes) {
    if (Each.Kind != RequestKind::Stream)
      continue;
    this->MaxLifetime = std::max(this->MaxLifetime, maxStreamLifetime(Each));
    StreamRoute Route{Each.Host, Each.Prefix, {}, Each.Timeout};
    for (const RouteTarget &Target : Each.Targets)
      if (Target.Weight > 0)
        Route.Services.push_back(Target.Service);
    std::ranges::sort(Route.Services);
    NewRoutes.push_back(std::move(Route));
  }
  // The routes of a process's first configuration are no change.
  if (!this->Routes.empty() && NewRoutes != this->Routes)
    this->KnownSince = Now;
  this->Routes = std::move(NewRoutes);
}

void VersionHistory::updateServers(const ServerList &New, TimePoint Now) {
  std::map<std::string, std::set<SoftwareId>> Listed;
  for (const auto &[Id, Server] : New)
    Listed[Server.Service].insert(softwareOf(Server));
  for (auto &[Service, Known] : this->ByService)
    for (auto &[Software, LeftAt] : Known)
      if (!LeftAt && !Listed[Service].contains(Software))
        LeftAt = Now;
  for (const auto &[Service, Software] : Listed)
    for (const SoftwareId Each : Software)
      this->ByService[Service][Each] = std::nullopt;
}

void VersionHistory::removeExpired(TimePoint Now) {
  const TimePoint First =
      Now - this->MaxLifetime - this->MaxListDelay - ExpiryMargin;
  for (auto &[Service, Known] : this->ByService)
    std::erase_if(Known, [First](const auto &Each) {
      return Each.second && *Each.second < First;
    });
  std::erase_if(this->ByService,
                [](const auto &Each) { return Each.second.empty(); });
}

VersionHistory::Answer VersionHistory::evidenceFor(const GatewayRoute &Route,
                                                   TimePoint Arrival) const {
  const TimePoint First =
      Arrival - maxStreamLifetime(Route) - this->MaxListDelay;
  std::set<SoftwareId> Possible;
  for (const RouteTarget &Target : Route.Targets) {
    const auto Service = this->ByService.find(Target.Service);
    if (Target.Weight == 0 || Service == this->ByService.end())
      continue;
    for (const auto &[Software, LeftAt] : Service->second)
      if (!LeftAt || *LeftAt >= First)
        Possible.insert(Software);
  }
  if (Possible.size() > 1)
    return {VersionEvidence::Several};
  if (Possible.empty() || !this->KnownSince || *this->KnownSince > First)
    return {VersionEvidence::TooShort};
  return {VersionEvidence::One, *Possible.begin()};
}

Duration VersionHistory::span() const {
  return this->KnownSince ? std::max(this->ListsProvenAt - *this->KnownSince,
                                     Duration::zero())
                          : Duration::zero();
}

std::size_t VersionHistory::size() const {
  std::size_t Count = 0;
  for (const auto &[Service, Known] : this->ByService)
    Count += Known.size();
  return Count;
}

} // namespace parsleywing
