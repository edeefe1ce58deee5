#ifndef PARSLEYWING_GATEWAY_FLEETFEEDTIMES_H
#define PARSLEYWING_GATEWAY_FLEETFEEDTIMES_H

#include "Runtime/Clock.h"

// Times that both threads of the feed go by.
namespace parsleywing::internal {

/// A relay looks more often whether its proof is due, since the others wait for
/// it.
inline constexpr Duration RelayProverInterval = std::chrono::milliseconds(100);

/// The waits between calls that fail. A relay finds the store again within the
/// second, and tells the others; they would hear of it all the same where they
/// asked more rarely still. Calls of 85 routers in an outage of 8 s, each 200
/// to 250 ms after the last: 5,700.
inline constexpr Duration InitialRetryDelay = std::chrono::milliseconds(250);
inline constexpr Duration MaxRelayRetryDelay = std::chrono::seconds(1);
inline constexpr Duration InitialFollowerRetryDelay =
    std::chrono::milliseconds(800);
inline constexpr Duration MaxFollowerRetryDelay = std::chrono::seconds(4);

/// A router that starts waits for so long for its relay's first word, which
/// takes two round trips (some 5 ms) where the relay is up, and one of its
/// looks (0.1 s) more where both start together.
inline constexpr Duration RelayGrace = std::chrono::milliseconds(600);

} // namespace parsleywing::internal

#endif
