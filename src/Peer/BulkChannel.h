#ifndef PARSLEYWING_PEER_BULKCHANNEL_H
#define PARSLEYWING_PEER_BULKCHANNEL_H

#include "Peer/PeerCodec.h"
#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace parsleywing {

/// The limits of a bulk message: its size, and the time to transfer it.
struct BulkLimits {
  std::size_t Bytes = 0;
  Duration Deadline = Duration::zero();
};

/// Sends one sealed message over a new connection: its length in four bytes,
/// the message, and one byte back as acknowledgement. A persistent connection
/// could break unnoticed and lose the next message; bulk messages are rare
/// enough for a new connection each. If the first connection yields no
/// acknowledgement, the message is sent again on a second one. Blocks for at
/// most twice the deadline.
Result<void> sendBulk(const std::string &Address, const std::string &Message,
                      const BulkLimits &Limits);

/// Receives bulk messages on a small thread pool. A message that exceeds the
/// size limit, or that is incomplete at the deadline, ends its connection.
class BulkServer {
public:
  /// Processes a complete message. Returns whether the message was accepted; if
  /// not, no acknowledgement is sent.
  using Sink = std::function<bool(const std::string &)>;

  BulkServer(const Poco::Net::ServerSocket &Socket, Sink Received,
             const BulkLimits &Limits);
  ~BulkServer();
  BulkServer(const BulkServer &) = delete;
  BulkServer &operator=(const BulkServer &) = delete;

private:
  Poco::Net::TCPServer Server;
};

} // namespace parsleywing

#endif
