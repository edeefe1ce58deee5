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
  Complete,  ///< The complete response was received.
  NotSent,   ///< Nothing was sent: no connection was established, or the
             ///< request's `SendCondition` forbade it.
  Broken,    ///< The connection ended early; the request may have run.
  Malformed, ///< The server sent an invalid response.
};

inline constexpr EnumNames<UpstreamEnd, 4> UpstreamEndNames{{
    {UpstreamEnd::Complete, "complete"},
    {UpstreamEnd::NotSent, "not-sent"},
    {UpstreamEnd::Broken, "broken"},
    {UpstreamEnd::Malformed, "spoilt"},
}};

/// Callbacks of one exchange. `Ended` is the last call.
struct UpstreamListener {
  std::function<void(const HttpHead &, const ServerResponseFields &)>
      HeadReceived;
  std::function<void(std::string_view)> PayloadReceived;
  std::function<void(UpstreamEnd)> Ended;
};

/// One HTTP connection to a server (the upstream), which carries one request at
/// a time. A response is matched to its request by the request ID: responses to
/// other requests, which a faulty server sends late, are skipped.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
public:
  /// Starts to connect. Null if the connection attempt fails immediately.
  static std::shared_ptr<UpstreamConnection>
  connect(EventLoop &Loop, const WireFormat &Format,
          const Poco::Net::SocketAddress &Address);

  UpstreamConnection(EventLoop &L, const WireFormat &F,
                     std::shared_ptr<ByteChannel> C);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection &) = delete;
  UpstreamConnection &operator=(const UpstreamConnection &) = delete;

  /// Sends a request. `SentMethod` and `SentId` are needed to interpret its
  /// response. If `SendCondition` returns false when the connection is
  /// established, the exchange ends with `NotSent`.
  void send(const std::string &Bytes, const std::string &SentMethod,
            const std::string &SentId, UpstreamListener NewListener,
            std::function<bool()> SendCondition = {});

  /// Whether any byte of the current request may have been sent.
  bool mayHaveSent() const;

  /// Counts the unsent request and the received bytes that are not parsed yet
  /// in a budget, which must outlive the connection.
  void setBudget(BufferBudget &Budget) {
    this->Channel->setBudget(Budget, BufferUse::ToServer);
    this->InputShare = BufferShare(Budget, BufferUse::ResponseBody);
  }

  /// The memory of both.
  std::size_t buffered() const {
    return this->Channel->unsent() + this->inputBytes();
  }

  /// Applies backpressure to the server while the caller reads slowly.
  void pauseReading() { this->Channel->pauseReading(); }
  void resumeReading() { this->Channel->resumeReading(); }

  /// Whether the server has sent nothing since the last read. Costs a system
  /// call.
  bool inputIdle() const { return this->Channel->inputIdle(); }

  /// Ends the exchange and the connection without further callbacks.
  void close();

  /// Whether the connection can carry another request: the response was
  /// complete, and no bytes followed it.
  bool reusable() const { return this->Reusable && this->Channel->isOpen(); }

  /// Whether the end of the last response was the end of the connection: the
  /// response stated no length.
  bool endedWithConnection() const { return this->Decoder.isCloseDelimited(); }

  /// Like `reusable`, but also checks for input from the server since the last
  /// read. A lagging loop may not have read the server's close yet; a request
  /// sent after it would be lost, and it would be unknown whether it ran. Costs
  /// a system call.
  bool verifyReusable() const {
    return this->reusable() && this->Channel->inputIdle();
  }

  /// Sets the callback for an idle connection that becomes unusable.
  void setIdleClosedCallback(std::function<void()> Callback) {
    this->IdleClosed = std::move(Callback);
  }

  /// When the server's idle timeout expires, with a safety margin; set by each
  /// response.
  TimePoint ReusableUntil{};
  TimePoint IdleSince{};
  /// Whether it has carried a request before.
  bool Used = false;

private:
  enum class State { Idle, ReadingHead, ReadingBody, SkippingBody, Closed };

  void onConnected();
  void onReceived(std::string_view Bytes);
  void onEnded(ChannelEnd End);
  /// Both return whether the remaining input may hold more to parse.
  bool parseHead();
  bool parseBody();
  void handleHead(const HttpHead &Head);
  bool skipBytes(std::size_t Count);
  std::size_t inputBytes() const {
    return heapBytes(this->Input) + this->Decoder.heapBytes();
  }
  void completeExchange();
  void failExchange(UpstreamEnd End);

  EventLoop &Loop;
  const WireFormat &Format;
  std::shared_ptr<ByteChannel> Channel;
  UpstreamListener Listener;
  std::function<void()> IdleClosed;
  std::function<bool()> SendCondition;
  std::string Method;
  std::string RequestId;
  std::string Input;
  BodyDecoder Decoder;
  BufferShare InputShare;
  /// The bytes of interim responses, and of responses to other requests, before
  /// the response to the current request.
  std::size_t PrecedingBytes = 0;
  State CurrentState = State::Idle;
  bool KeepAlive = false;
  bool Reusable = false;
};

} // namespace parsleywing

#endif
