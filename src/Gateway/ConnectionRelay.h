#ifndef PARSLEYWING_GATEWAY_CONNECTIONRELAY_H
#define PARSLEYWING_GATEWAY_CONNECTIONRELAY_H

#include "Loop/ByteChannel.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleywing {

/// Forwards the bytes of a caller connection to another router and back,
/// without parsing them. Nothing is read from the caller until the target is
/// connected. Ends are mirrored, so that the caller cannot mistake a truncated
/// response for a complete one, and the target notices that its caller left.
///
/// The owner keeps the object alive until one of the callbacks `Failed` or
/// `Ended`.
class ConnectionRelay : public std::enable_shared_from_this<ConnectionRelay> {
public:
  struct Callbacks {
    /// The target cannot be reached, and nothing was read from the caller: its
    /// connection is to be served here.
    std::function<void(std::shared_ptr<ByteChannel> Caller)> Failed;
    /// The relay has ended. The caller's connection may still be sending the
    /// last bytes.
    std::function<void(const char *Reason)> Ended;
  };

  ConnectionRelay(EventLoop &L, std::shared_ptr<ByteChannel> C);
  ~ConnectionRelay();
  ConnectionRelay(const ConnectionRelay &) = delete;
  ConnectionRelay &operator=(const ConnectionRelay &) = delete;

  /// Must be called before `start`.
  void setCallbacks(Callbacks New) { this->Events = std::move(New); }

  /// Connects to the target from this local address. Returns false, without a
  /// callback, if that fails immediately; the caller's connection is then as
  /// before.
  bool start(const Poco::Net::SocketAddress &TargetAddress,
             const Poco::Net::IPAddress &LocalAddress);

  /// Resets both sides.
  void abort();

  std::uint64_t bytesToTarget() const { return this->ToTarget; }
  std::uint64_t bytesToCaller() const { return this->ToCaller; }
  TimePoint startedAt() const { return this->StartedAt; }

private:
  enum class State { Connecting, Forwarding, Ended };

  void onConnected();
  void onConnectFailed();
  void onCallerBytes(std::string_view Bytes);
  void onCallerEnd();
  void onTargetBytes(std::string_view Bytes);
  void onTargetEnd(ChannelEnd End);
  void end(const char *Reason);

  EventLoop &Loop;
  std::shared_ptr<ByteChannel> Caller;
  std::shared_ptr<ByteChannel> Target;
  Callbacks Events;
  State CurrentState = State::Connecting;
  TimerId ConnectTimer = 0;
  TimePoint StartedAt{};
  std::uint64_t ToTarget = 0;
  std::uint64_t ToCaller = 0;
  /// Bytes of the caller were forwarded since the last byte of the target.
  bool AwaitsResponse = false;
};

} // namespace parsleywing

#endif
