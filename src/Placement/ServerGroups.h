#ifndef PARSLEYWING_PLACEMENT_SERVERGROUPS_H
#define PARSLEYWING_PLACEMENT_SERVERGROUPS_H

#include "Placement/FleetView.h"
#include "Placement/PromptPart.h"

#include <map>
#include <vector>

namespace parsleywing {

/// Partitions the servers of each service into groups of bounded size. Each
/// group has its own allocator, so that the work of an allocator does not grow
/// with the fleet. All routers compute the same groups from the same list. Most
/// servers stay in their group when others come and go: the number of groups
/// changes only when the service has grown or shrunk by half.
class ServerGroups {
public:
  explicit ServerGroups(const ServerList &Servers = {});

  /// The group of a server; the service itself if it is not partitioned.
  std::uint64_t groupOfServer(const std::string &ServerId,
                              const std::string &Service) const;

  /// The group for a request to the service. All requests that share a prompt
  /// part get the same group, and the share of each group is proportional to
  /// its number of servers. `FallbackKey` replaces the shared part if the
  /// request has none.
  std::uint64_t groupForRequest(std::uint64_t Service,
                                const std::vector<PromptPart> &Parts,
                                std::uint64_t FallbackKey) const;

private:
  struct Partition {
    std::uint64_t Groups = 1;
    /// For each group, the number of servers that accept requests.
    std::vector<std::uint32_t> Sizes;
  };

  static std::uint64_t groupKey(std::uint64_t Service, std::uint64_t Index);

  std::map<std::uint64_t, Partition> Partitions;
};

} // namespace parsleywing

#endif
