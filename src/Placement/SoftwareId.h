#ifndef PARSLEYWING_PLACEMENT_SOFTWAREID_H
#define PARSLEYWING_PLACEMENT_SOFTWAREID_H

#include <cstdint>
#include <string_view>

namespace parsleywing {

struct GatewayServer;

/// Identifies one version of the software of one service. Events of two
/// versions do not form a stream.
struct SoftwareId {
  std::uint64_t Value = 0;

  friend bool operator==(const SoftwareId &, const SoftwareId &) = default;
  friend bool operator<(const SoftwareId &Left, const SoftwareId &Right) {
    return Left.Value < Right.Value;
  }
};

/// The software that the listed process of the server runs. If its version is
/// unknown, it equals that of no other process.
SoftwareId softwareOf(const GatewayServer &Server);
/// The software of a server's process of which only the start is known, in
/// milliseconds since 1970.
SoftwareId softwareOfProcess(std::string_view ServerId, std::int64_t StartedMs);

} // namespace parsleywing

#endif
