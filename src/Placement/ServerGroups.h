#ifndef PARSLEYWING_PLACEMENT_SERVERGROUPS_H
#define PARSLEYWING_PLACEMENT_SERVERGROUPS_H

#include "Placement/FleetView.h"
#include "Placement/PromptPart.h"

#include <map>
#include <vector>

namespace parsleywing {

/// Cuts the engines of each service into groups of a bounded size, each with an
/// allocator of its own, so that an allocator's work does not grow with the
/// fleet. Every router computes the same groups from the same list, and most
/// servers stay in their group when others come and go: the number of groups
/// changes only when the service has grown or shrunk by half.
class ServerGroups {
public:
  explicit ServerGroups(const ServerList &Servers = {});

  /// The group of a server; the service itself where it is not cut.
  std::uint64_t groupOfServer(const std::string &ServerId,
                              const std::string &Service) const;

  /// The group for a request to the service: all requests that share a prompt
  /// part come to the same one, and each group gets its part of them by its
  /// number of servers.
  std::uint64_t groupForRequest(std::uint64_t Service,
                                const std::vector<PromptPart> &Parts,
                                std::uint64_t Otherwise) const;

private:
  struct Partition {
    std::uint64_t Groups = 1;
    /// Servers that take requests, in each group.
    std::vector<std::uint32_t> Sizes;
  };

  static std::uint64_t groupKey(std::uint64_t Service, std::uint64_t Index);

  std::map<std::uint64_t, Partition> Partitions;
};

} // namespace parsleywing

#endif
