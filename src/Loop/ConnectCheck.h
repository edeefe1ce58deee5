#ifndef PARSLEYWING_LOOP_CONNECTCHECK_H
#define PARSLEYWING_LOOP_CONNECTCHECK_H

#include "Loop/EventLoop.h"
#include "Runtime/EnumNames.h"

#include <Poco/Net/SocketAddress.h>
#include <functional>

namespace parsleywing {

/// What a connection tells about its far end.
enum class ConnectOutcome {
  Listening, ///< A process has taken the connection.
  Refused,   ///< The host is there, and no process listens at the port.
  Unknown,   ///< Neither came within the limit.
};

inline constexpr EnumNames<ConnectOutcome, 3> ConnectOutcomeNames{{
    {ConnectOutcome::Listening, "listening"},
    {ConnectOutcome::Refused, "refused"},
    {ConnectOutcome::Unknown, "unknown"},
}};

/// Connects, closes at once, and tells the outcome from the loop, once, within
/// `Limit`. Costs the far end one connection.
void checkConnect(EventLoop &Loop, const Poco::Net::SocketAddress &Address,
                  Duration Limit, std::function<void(ConnectOutcome)> Told);

} // namespace parsleywing

#endif
