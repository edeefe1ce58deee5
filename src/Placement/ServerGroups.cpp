#include "Placement/ServerGroups.h"

#include "Runtime/Id.h"

#include <bit>

namespace parsleywing {

namespace {

/// The maximum mean size of a group. A request is bound to one group by its
/// shared part and cannot use others if this group is full. Groups are
/// therefore as large as one allocator can handle: of the 0.5 cores of a large
/// VM, it needs 0.16 for 35 engines and all for 140 engines.
constexpr std::uint64_t MaxMeanGroupSize = 40;

/// A power of two, so that most changes of the server count leave it the same.
std::uint64_t groupCountFor(std::uint64_t Servers) {
  if (Servers <= MaxMeanGroupSize)
    return 1;
  return std::bit_ceil((Servers + MaxMeanGroupSize - 1) / MaxMeanGroupSize);
}

} // namespace

ServerGroups::ServerGroups(const ServerList &Servers) {
  std::map<std::uint64_t, std::uint64_t> Counts;
  for (const auto &[Id, Server] : Servers)
    ++Counts[hashName(Server.Service)];
  for (const auto &[Service, Count] : Counts) {
    ServiceGroups &Entry = this->GroupsByService[Service];
    Entry.GroupCount = groupCountFor(Count);
    Entry.Sizes.resize(Entry.GroupCount);
  }
  for (const auto &[Id, Server] : Servers) {
    ServiceGroups &Entry = this->GroupsByService[hashName(Server.Service)];
    if (Server.acceptsRequests())
      ++Entry.Sizes[hashName(Id) % Entry.GroupCount];
  }
}

std::uint64_t ServerGroups::groupKey(std::uint64_t Service,
                                     std::uint64_t Index) {
  return Index == 0 ? Service : rendezvousScore(Service, Index);
}

std::uint64_t ServerGroups::groupOfServer(const std::string &ServerId,
                                          const std::string &Service) const {
  const std::uint64_t Hash = hashName(Service);
  const auto Found = this->GroupsByService.find(Hash);
  if (Found == this->GroupsByService.end())
    return Hash;
  return groupKey(Hash, hashName(ServerId) % Found->second.GroupCount);
}

std::uint64_t
ServerGroups::groupForRequest(std::uint64_t Service,
                              const std::vector<PromptPart> &Parts,
                              std::uint64_t FallbackKey) const {
  const auto Found = this->GroupsByService.find(Service);
  if (Found == this->GroupsByService.end() || Found->second.GroupCount == 1)
    return Service;
  const PromptPart *Shared = sharedPart(Parts);
  const std::uint64_t GroupingKey =
      Shared == nullptr ? FallbackKey : Shared->Id;
  // Weighted rendezvous hashing: the share of each group is proportional to its
  // size.
  std::uint64_t Best = 0;
  double BestScore = -1;
  const ServiceGroups &Entry = Found->second;
  for (std::uint64_t Index = 0; Index < Entry.GroupCount; ++Index) {
    if (Entry.Sizes[Index] == 0)
      continue;
    const double Score = weightedRendezvousScore(
        GroupingKey, groupKey(Service, Index), Entry.Sizes[Index]);
    if (Score > BestScore) {
      Best = Index;
      BestScore = Score;
    }
  }
  return groupKey(Service, Best);
}

} // namespace parsleywing
