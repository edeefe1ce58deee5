#ifndef PARSLEYWING_GATEWAY_UPSTREAMCONNECTION_H
#define PARSLEYWING_GATEWAY_UPSTREAMCONNECTION_H

#include "Gateway/WireFormat.h"
#include "Http/BodyDecoder.h"
#include "Loop/ByteChannel.h"

#include <memory>
#include <string>

namespace parsleywing {

/// How the exchange of one request with a server ended.
enum class UpstreamEnd {
  Complete,  ///< The whole answer came.
  NotSent,   ///< No connection came about: nothing of the request has left.
  Broken,    ///< The connection ended early; the request may have run.
  Malformed, ///< The server sent something that is no answer to it.
};

inline constexpr EnumNames<UpstreamEnd, 4> UpstreamEndNames{{
    {UpstreamEnd::Complete, "complete"},
    {UpstreamEnd::NotSent, "not-sent"},
    {UpstreamEnd::Broken, "broken"},
    {UpstreamEnd::Malformed, "spoilt"},
}};

/// What an exchange tells its request. `Ended` is the last call.
struct UpstreamListener {
  std::function<void(const HttpHead &, const ServerResponseFields &)>
      HeadReceived;
  std::function<void(std::string_view)> PayloadReceived;
  std::function<void(UpstreamEnd)> Ended;
};

/// One connection to a server: one request at a time, each with the one answer
/// that bears its identity. Answers to other requests, which a faulty server
/// sends late, are read over and dropped.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
public:
  /// Connects. Null where the system refuses at once.
  static std::shared_ptr<UpstreamConnection>
  connect(EventLoop &Loop, const WireFormat &Format,
          const Poco::Net::SocketAddress &Address);

  UpstreamConnection(EventLoop &L, const WireFormat &F,
                     std::shared_ptr<ByteChannel> C);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection &) = delete;
  UpstreamConnection &operator=(const UpstreamConnection &) = delete;

  /// Sends a request. `Method` and `RequestId` tell its answer. Where the
  /// connection comes about only when `MaySend` says no, nothing is sent.
  void send(const std::string &Bytes, const std::string &Method,
            const std::string &RequestId, UpstreamListener Wanted,
            std::function<bool()> MaySend = {});

  /// Whether any byte of the present request may have left.
  bool mayHaveSent() const;

  /// Slows the server down to what the caller takes.
  void pauseReading() { this->Channel->pauseReading(); }
  void resumeReading() { this->Channel->resumeReading(); }

  /// Ends the exchange and the connection; nothing more is told.
  void close();

  /// Can carry another request: the answer was whole, nothing came behind it.
  bool reusable() const { return this->Reusable && this->Channel->isOpen(); }

  /// The same, with a look at what the server has sent since the last read. A
  /// loop that is late has not heard of a server's close: a request sent behind
  /// it is lost, and nobody knows whether it ran. Costs a call of the system.
  bool verifyReusable() const {
    return this->reusable() && this->Channel->inputIdle();
  }

  /// Called where an idle connection turns out to be of no more use.
  void onIdleClosed(std::function<void()> Gone) {
    this->IdleClosed = std::move(Gone);
  }

  /// Until when the server keeps it; set with each answer.
  TimePoint ReusableUntil{};
  TimePoint IdleSince{};
  /// It has carried a request before.
  bool Used = false;

private:
  enum class State { Idle, ReadingHead, ReadingBody, SkippingBody, Closed };

  void onConnected();
  void onReceived(std::string_view Bytes);
  void onEnded(ChannelEnd How);
  /// Whether there may be more to take out of the buffer.
  bool parseHead();
  bool parseBody();
  void handleHead(const HttpHead &Head);
  void completeExchange();
  void failExchange(UpstreamEnd How);

  EventLoop &Loop;
  const WireFormat &Format;
  std::shared_ptr<ByteChannel> Channel;
  UpstreamListener Listener;
  std::function<void()> IdleClosed;
  std::function<bool()> SendAllowed;
  std::string Method;
  std::string RequestId;
  std::string Input;
  BodyDecoder Decoder;
  State CurrentState = State::Idle;
  bool KeepAlive = false;
  bool Reusable = false;
};

} // namespace parsleywing

#endif
