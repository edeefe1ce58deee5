#ifndef PARSLEYWING_GATEWAY_REFUSALREASON_H
#define PARSLEYWING_GATEWAY_REFUSALREASON_H

#include "Runtime/EnumNames.h"

namespace parsleywing {

/// Why a router refuses a request that has not run. The log line of the request
/// says it, and each reason has a counter.
enum class RefusalReason {
  NoConfiguration,  ///< None is known yet.
  RouterOverloaded, ///< The router's loop is late.
  TooManyCallers,   ///< More are connected than are served.
  Stopping,         ///< The drain is nearly over.
  RouteMayBeNew,    ///< Unknown route, and the configuration may be old.
  KeyMayBeNew,      ///< Unknown key, and the configuration may be old.
  KeysMayBeRevoked, ///< The proof of the configuration is too old for keys.
  NoCapacityInTime, ///< The allocator had no server in time.
  NoUsableServer,   ///< No server of the service is listed and sound.
  NoServerRanIt,    ///< Those that were tried did not run it.
  DeadlineExceeded, ///< The caller's time ended before a server was found.
  CrashesServers,   ///< Servers that had it in hand have crashed.
};

inline constexpr EnumNames<RefusalReason, 12> RefusalReasonNames{{
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
    {RefusalReason::CrashesServers, "crashes-servers"},
}};

} // namespace parsleywing

#endif
