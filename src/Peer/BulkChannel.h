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

/// The limits of a bulk message.
struct BulkLimits {
  std::size_t Bytes = 0;
  Duration Deadline = Duration::zero();
};

/// Sends one sealed message over a connection of its own: its length in four
/// bytes, the message, and one byte back as receipt. A connection kept open
/// could go silent unseen and swallow the next message; a new one for each of
/// the few bulk messages cannot, and a second connection is tried where the
/// first brings no receipt. Blocks for at most twice the deadline.
Result<void> sendBulk(const std::string &Address, const std::string &Message,
                      const BulkLimits &Limits);

/// Receives bulk messages on a few threads of its own. A message larger than
/// the limit, or not whole by the deadline, ends its connection.
class BulkServer {
public:
  /// Takes a whole message; says whether it was of use, else no receipt goes.
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
