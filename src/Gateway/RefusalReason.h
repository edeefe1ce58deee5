#ifndef PARSLEYWING_GATEWAY_REFUSALREASON_H
#define PARSLEYWING_GATEWAY_REFUSALREASON_H

#include "Runtime/EnumNames.h"

namespace parsleywing {

/// Why a router refuses a request that has not run. Part of the request's log
/// line; each reason has a counter.
enum class RefusalReason {
  NoConfiguration,  ///< No configuration is known yet.
  RouterOverloaded, ///< The event loop's lag is too high.
  TooManyCallers,   ///< The caller connection limit is exceeded.
  Stopping,         ///< The drain is close to its end.
  RouteMayBeNew,    ///< Unknown route; the configuration may be outdated.
  KeyMayBeNew,      ///< Unknown key; the configuration may be outdated.
  KeysMayBeRevoked, ///< The configuration's proof is too old to accept keys.
  NoCapacityInTime, ///< The allocator found no free capacity in time.
  NoUsableServer,   ///< No server of the service is listed and healthy.
  NoServerRanIt,    ///< None of the servers that were tried ran the request.
  DeadlineExceeded, ///< The deadline passed before a server was found.
  ServersPaused,    ///< All servers that accept requests want a pause.
  CrashesServers,   ///< Servers have crashed while processing the request.
  RetryBudgetSpent, ///< The retry budget of its service permits no retry.
  StreamUnknown,    ///< No router knows the software that began the stream.
  StreamNotFound,   ///< Some routers that may know it did not answer.
  VersionGone,      ///< No server has the software that began the stream.
  BuffersFull,      ///< The buffers have no room for the body.
};

inline constexpr EnumNames<RefusalReason, 18> RefusalReasonNames{{
    {RefusalReason::NoConfiguration, "no-configuration"},
    {RefusalReason::RouterOverloaded, "short-of-time"},
    {RefusalReason::TooManyCallers, "too-many-callers"},
    {RefusalReason::Stopping, "stopping"},
    {RefusalReason::RouteMayBeNew, "route-may-be-new"},
    {RefusalReason::KeyMayBeNew, "key-may-be-new"},
    {RefusalReason::KeysMayBeRevoked, "keys-may-be-revoked"},
    {RefusalReason::NoCapacityInTime, "no-room-in-time"},
    {RefusalReason::NoUsableServer, "no-usable-server"},
    {RefusalReason::NoServerRanIt, "no-server-ran-it"},
    {RefusalReason::DeadlineExceeded, "time-is-over"},
    {RefusalReason::ServersPaused, "servers-paused"},
    {RefusalReason::CrashesServers, "crashes-servers"},
    {RefusalReason::RetryBudgetSpent, "retry-budget-spent"},
    {RefusalReason::StreamUnknown, "stream-unknown"},
    {RefusalReason::StreamNotFound, "stream-not-found"},
    {RefusalReason::VersionGone, "version-gone"},
    {RefusalReason::BuffersFull, "buffers-full"},
}};

} // namespace parsleywing

#endif
