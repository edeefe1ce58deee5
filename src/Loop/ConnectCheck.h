#ifndef PARSLEYWING_LOOP_CONNECTCHECK_H
#define PARSLEYWING_LOOP_CONNECTCHECK_H

#include "Loop/EventLoop.h"
#include "Runtime/ConnectOutcome.h"

#include <Poco/Net/SocketAddress.h>
#include <functional>

namespace parsleywing {

/// Connects, closes the connection immediately, and calls `OnOutcome` from the
/// loop once, within `Timeout`. Costs the remote host one connection.
void checkConnect(EventLoop &Loop, const Poco::Net::SocketAddress &Address,
                  Duration Timeout,
                  std::function<void(ConnectOutcome)> OnOutcome);

} // namespace parsleywing

#endif
