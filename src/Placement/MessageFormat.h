#ifndef PARSLEYWING_PLACEMENT_MESSAGEFORMAT_H
#define PARSLEYWING_PLACEMENT_MESSAGEFORMAT_H

#include <cstdint>

namespace parsleywing {

/// The formats of the messages between routers, oldest first. A router states
/// in its entry in the store which one it reads, and reads all earlier ones
/// too. Routers of two releases can therefore run side by side.
enum class MessageFormat : std::uint32_t {
  WithoutStreams = 4,
  /// Adds the messages about streams, and the versions of servers.
  WithStreams = 5,
  /// Adds an account's usage in other groups to allocation requests.
  WithAccountUsage = 6,
  /// Adds reports about prompt parts that crash servers.
  WithPartCrashes = 7,
  /// Adds queries for the spare processor time of other routers.
  WithHeadroom = 8,
  /// Adds the load that servers state in their responses, for allocators.
  WithServerLoad = 9,
  /// Adds how a relay knows the changes that it passes on.
  WithUpdateSource = 10,
};

inline constexpr MessageFormat OldestMessageFormat =
    MessageFormat::WithoutStreams;
inline constexpr MessageFormat NewestMessageFormat =
    MessageFormat::WithUpdateSource;

} // namespace parsleywing

#endif
