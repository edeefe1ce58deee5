#ifndef PARSLEYWING_BACKEND_CONNECTIONCANCELLER_H
#define PARSLEYWING_BACKEND_CONNECTIONCANCELLER_H

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <mutex>
#include <optional>

namespace parsleywing {

/// Ends the connection of a call from another thread. Once broken it stays so:
/// a connection attached later is refused, which covers a break that comes
/// while the call still connects.
class ConnectionCanceller {
public:
  /// Shuts the attached connection down, which wakes a blocked read at once.
  /// Never blocks on the network.
  void cancel();

  bool isCancelled() const { return this->Broken; }

  /// False where the breaker was used already.
  bool attach(const Poco::Net::StreamSocket &Socket);

  /// Called before the socket is closed or kept for another call. Without it a
  /// late break would end whatever the connection, or its descriptor, carries
  /// by then.
  void detach();

private:
  std::mutex Mutex;
  std::optional<Poco::Net::StreamSocket> Attached;
  std::atomic<bool> Broken{false};
};

} // namespace parsleywing

#endif
