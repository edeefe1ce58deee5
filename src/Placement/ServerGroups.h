#ifndef PARSLEYWING_PLACEMENT_SERVERGROUPS_H
#define PARSLEYWING_PLACEMENT_SERVERGROUPS_H

#include "Placement/FleetView.h"
#include "Placement/PromptPart.h"

#include <map>
#include <vector>

namespace parsleywing {

/// Partitions the servers of each service into groups of bounded size. Each
/// group has its own allocator, so that the work of an allocator does not grow
/// with the fleet. All routers compute the same groups from the same list. The
/// number of groups of a service is a power of two. It changes only when the
/// number of listed servers crosses 40, 80, 160 and so on, so that servers
/// mostly stay in their group when others come and go.
class ServerGroups {
public:
  explicit ServerGroups(const ServerList &Servers = {});

  /// The group of a server; the hash of the service if that has only one group.
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
  struct ServiceGroups {
    std::uint64_t GroupCount = 1;
    /// For each group, the number of servers that accept requests.
    std::vector<std::uint32_t> Sizes;
  };

  static std::uint64_t groupKey(std::uint64_t Service, std::uint64_t Index);

  std::map<std::uint64_t, ServiceGroups> GroupsByService;
};

} // namespace parsleywing

#endif
