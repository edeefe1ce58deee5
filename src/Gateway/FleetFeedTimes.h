#ifndef PARSLEYWING_GATEWAY_FLEETFEEDTIMES_H
#define PARSLEYWING_GATEWAY_FLEETFEEDTIMES_H

#include "Runtime/Clock.h"

// Times used by both threads of the feed.
namespace parsleywing::internal {

/// How often a relay checks whether its proof is due; more often than other
/// routers, since these wait for it. Also how often the watcher checks whether
/// it still has to wait.
inline constexpr Duration RelayProverInterval = std::chrono::milliseconds(100);

/// Delays between calls that fail. A relay detects within a second that the
/// store is back and notifies the others, so followers may retry more rarely.
/// With delays of 200 to 250 ms, 85 routers made 5,700 calls in an outage of
/// 8 s.
inline constexpr Duration InitialRetryDelay = std::chrono::milliseconds(250);
inline constexpr Duration MaxRelayRetryDelay = std::chrono::seconds(1);
inline constexpr Duration InitialFollowerRetryDelay =
    std::chrono::milliseconds(800);
inline constexpr Duration MaxFollowerRetryDelay = std::chrono::seconds(4);

/// How long a router that starts waits for the first status of its relay. That
/// takes two round trips (about 5 ms) if the relay is running, plus one run of
/// the relay's prover (10 ms before its first proof) if both start together.
inline constexpr Duration RelayGrace = std::chrono::milliseconds(600);

} // namespace parsleywing::internal

#endif
