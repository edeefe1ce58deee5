#ifndef PARSLEYWING_LOOP_CONNECTCHECK_H
#define PARSLEYWING_LOOP_CONNECTCHECK_H

#include "Loop/EventLoop.h"
#include "Runtime/EnumNames.h"

#include <Poco/Net/SocketAddress.h>
#include <functional>

namespace parsleywing {

/// What a connection attempt shows about the remote host.
enum class ConnectOutcome {
  Listening, ///< The connection was accepted.
  Refused,   ///< The host is up, but no process listens on the port.
  Unknown,   ///< Neither was observed within the time limit.
};

inline constexpr EnumNames<ConnectOutcome, 3> ConnectOutcomeNames{{
    {ConnectOutcome::Listening, "listening"},
    {ConnectOutcome::Refused, "refused"},
    {ConnectOutcome::Unknown, "unknown"},
}};

/// Connects, closes the connection immediately, and calls `OnOutcome` from the
/// loop once, within `Timeout`. Costs the remote host one connection.
void checkConnect(EventLoop &Loop, const Poco::Net::SocketAddress &Address,
                  Duration Timeout,
                  std::function<void(ConnectOutcome)> OnOutcome);

} // namespace parsleywing

#endif
