#ifndef PARSLEYWING_BACKEND_CONNECTIONCANCELLER_H
#define PARSLEYWING_BACKEND_CONNECTIONCANCELLER_H

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <mutex>
#include <optional>

namespace parsleywing {

/// Cancels a call from another thread by shutting down its connection. A used
/// canceller stays cancelled: it refuses connections attached later, which
/// covers a cancellation while the call is still connecting. Thread-safe.
class ConnectionCanceller {
public:
  /// Shuts the attached connection down, which unblocks a pending read
  /// immediately. Never blocks on the network.
  void cancel();

  bool isCancelled() const { return this->Cancelled; }

  /// Attaches a connection; false if the call was already cancelled.
  bool attach(const Poco::Net::StreamSocket &Socket);

  /// Must be called before the socket is closed or returned to the pool.
  /// Otherwise a late `cancel` would shut down whatever call uses the
  /// connection or its descriptor by then.
  void detach();

private:
  std::mutex Mutex;
  std::optional<Poco::Net::StreamSocket> Attached;
  std::atomic<bool> Cancelled{false};
};

} // namespace parsleywing

#endif
