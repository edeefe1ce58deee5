#include "Placement/SoftwareId.h"

#include "Placement/FleetView.h"
#include "Runtime/Id.h"

#include <string>

namespace parsleywing {

SoftwareId softwareOf(const GatewayServer &Server) {
  if (Server.Version.empty())
    return softwareOfProcess(Server.Id, Server.StartedMs);
  // No version equals a start time.
  return {rendezvousScore(hashName(Server.Service),
                          hashName("version " + Server.Version))};
}

SoftwareId softwareOfProcess(std::string_view ServerId,
                             std::int64_t StartedMs) {
  return {rendezvousScore(hashName(ServerId),
                          hashName("start " + std::to_string(StartedMs)))};
}

} // namespace parsleywing
