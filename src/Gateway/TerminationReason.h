#ifndef PARSLEYWING_GATEWAY_TERMINATIONREASON_H
#define PARSLEYWING_GATEWAY_TERMINATIONREASON_H

#include "Runtime/EnumNames.h"

namespace parsleywing {

/// Why a request ended with neither a server's response nor a refusal: it was
/// answered with 502 or 504, its response was truncated, or its caller left.
/// Part of the request's log line; each reason has a counter.
enum class TerminationReason {
  Deadline,           ///< The caller's or the route's timeout was reached.
  Draining,           ///< The drain reached its limit.
  CallerLeft,         ///< The caller closed its connection.
  ServerDisconnected, ///< The server ended the connection early.
  ServerUnresponsive, ///< The server stopped responding.
  ServerRestarted,    ///< The server's process had been replaced.
  InvalidResponse,    ///< The server's response was malformed or incomplete.
  ServerError,        ///< The server responded with an error.
  CrashesServers,     ///< Servers have crashed while processing the request.
  BuffersFull,        ///< It held the most memory when the buffers were full.
  CallerTooSlow,      ///< The server ended a response that stayed unread.
};

inline constexpr EnumNames<TerminationReason, 11> TerminationReasonNames{{
    {TerminationReason::Deadline, "deadline"},
    {TerminationReason::Draining, "draining"},
    {TerminationReason::CallerLeft, "caller-left"},
    {TerminationReason::ServerDisconnected, "server-disconnected"},
    {TerminationReason::ServerUnresponsive, "server-unresponsive"},
    {TerminationReason::ServerRestarted, "server-restarted"},
    {TerminationReason::InvalidResponse, "invalid-response"},
    {TerminationReason::ServerError, "server-error"},
    {TerminationReason::CrashesServers, "crashes-servers"},
    {TerminationReason::BuffersFull, "buffers-full"},
    {TerminationReason::CallerTooSlow, "caller-too-slow"},
}};

} // namespace parsleywing

#endif
