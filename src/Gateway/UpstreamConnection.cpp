#include "Gateway/UpstreamConnection.h"

#include <utility>

namespace parsleywing {

namespace {

/// Max size of a response head.
constexpr std::size_t MaxHeadBytes = 32U << 10U;
/// Max size of everything that precedes the response to a request: interim
/// responses and late responses to other requests.
constexpr std::size_t MaxPrecedingBytes = 256U << 10U;
/// Lower statuses are interim responses.
constexpr int FirstFinalStatus = 200;

/// Assumed for a server that does not state its idle timeout.
constexpr Duration DefaultIdleTimeout = std::chrono::seconds(3);
/// Safety margin below the server's idle timeout. If the server closes the
/// connection while a request is on its way, it is unknown whether the request
/// ran.
constexpr Duration IdleMargin = std::chrono::milliseconds(600);

} // namespace

std::shared_ptr<UpstreamConnection>
UpstreamConnection::connect(EventLoop &Loop, const WireFormat &Format,
                            const Poco::Net::SocketAddress &Address) {
  auto Channel = ByteChannel::connect(Loop, Address);
  if (Channel == nullptr)
    return nullptr;
  auto Connection = std::make_shared<UpstreamConnection>(Loop, Format, Channel);
  ChannelListener Listener;
  // Raw pointers are safe: the destructor closes the channel, which then makes
  // no more callbacks.
  Listener.Connected = [Self = Connection.get()] {
    const auto Alive = Self->shared_from_this();
    Self->onConnected();
  };
  Listener.Received = [Self = Connection.get()](std::string_view Bytes) {
    const auto Alive = Self->shared_from_this();
    Self->onReceived(Bytes);
  };
  Listener.Ended = [Self = Connection.get()](ChannelEnd End) {
    const auto Alive = Self->shared_from_this();
    Self->onEnded(End);
  };
  Channel->setListener(std::move(Listener));
  return Connection;
}

UpstreamConnection::UpstreamConnection(EventLoop &L, const WireFormat &F,
                                       std::shared_ptr<ByteChannel> C)
    : Loop(L), Format(F), Channel(std::move(C)) {}

UpstreamConnection::~UpstreamConnection() { this->Channel->close(); }

void UpstreamConnection::send(const std::string &Bytes,
                              const std::string &SentMethod,
                              const std::string &SentId,
                              UpstreamListener NewListener,
                              std::function<bool()> SendCondition) {
  this->Listener = std::move(NewListener);
  this->SendCondition = std::move(SendCondition);
  this->Method = SentMethod;
  this->RequestId = SentId;
  this->CurrentState = State::ReadingHead;
  this->Reusable = false;
  this->PrecedingBytes = 0;
  this->Channel->write(Bytes);
}

void UpstreamConnection::onConnected() {
  if (this->CurrentState == State::ReadingHead && this->SendCondition &&
      !this->SendCondition())
    this->failExchange(UpstreamEnd::NotSent);
}

bool UpstreamConnection::mayHaveSent() const {
  return this->Used || this->Channel->anySent();
}

void UpstreamConnection::close() {
  this->CurrentState = State::Closed;
  this->Reusable = false;
  this->Channel->close();
}

void UpstreamConnection::onReceived(std::string_view Bytes) {
  if (this->CurrentState == State::Idle) {
    // The server sent bytes without a request.
    this->close();
    if (this->IdleClosed)
      this->IdleClosed();
    return;
  }
  this->Input.append(Bytes);
  bool More = true;
  while (More && this->Channel->isOpen())
    More = this->CurrentState == State::ReadingHead ? this->parseHead()
                                                    : this->parseBody();
  releaseIfEmpty(this->Input);
  this->InputShare.set(this->inputBytes());
}

bool UpstreamConnection::parseHead() {
  const std::size_t Length = headLength(this->Input);
  if (Length == 0) {
    if (this->Input.size() > MaxHeadBytes)
      this->failExchange(UpstreamEnd::Malformed);
    return false;
  }
  auto Head =
      parseResponseHead(std::string_view(this->Input).substr(0, Length));
  this->Input.erase(0, Length);
  if (!Head) {
    this->failExchange(UpstreamEnd::Malformed);
    return false;
  }
  if (Head->Status < FirstFinalStatus)
    return this->skipBytes(Length);
  this->handleHead(*Head);
  return this->CurrentState == State::ReadingBody ||
         this->CurrentState == State::SkippingBody;
}

/// Counts bytes that precede the response. Returns false if they are too many,
/// which ends the exchange.
bool UpstreamConnection::skipBytes(std::size_t Count) {
  this->PrecedingBytes += Count;
  if (this->PrecedingBytes <= MaxPrecedingBytes)
    return true;
  this->failExchange(UpstreamEnd::Malformed);
  return false;
}

void UpstreamConnection::handleHead(const HttpHead &Head) {
  const auto BodySize = responseBodyLength(Head, this->Method);
  if (!BodySize) {
    this->failExchange(UpstreamEnd::Malformed);
    return;
  }
  const ServerResponseFields Fields = this->Format.ParseServerResponse(Head);
  this->Decoder = BodyDecoder(*BodySize);
  const bool IsOtherResponse =
      !Fields.RequestId.empty() && Fields.RequestId != this->RequestId;
  if (IsOtherResponse) {
    this->CurrentState = State::SkippingBody;
    return;
  }
  this->KeepAlive = isKeepAlive(Head) && !this->Decoder.isCloseDelimited();
  const Duration IdleTimeout = Fields.IdleTimeout.value_or(DefaultIdleTimeout);
  this->ReusableUntil = this->Loop.clock().now() + IdleTimeout - IdleMargin;
  this->CurrentState = State::ReadingBody;
  this->Listener.HeadReceived(Head, Fields);
}

bool UpstreamConnection::parseBody() {
  std::string Payload;
  const std::size_t Used = this->Decoder.feed(this->Input, Payload);
  this->Input.erase(0, Used);
  const bool Skipping = this->CurrentState == State::SkippingBody;
  if (Skipping && !this->skipBytes(Used))
    return false;
  if (!Skipping && !Payload.empty())
    this->Listener.PayloadReceived(Payload);
  if (!this->Channel->isOpen())
    return false;
  if (this->Decoder.malformed()) {
    this->failExchange(UpstreamEnd::Malformed);
    return false;
  }
  if (!this->Decoder.complete())
    return false;
  if (Skipping) {
    this->CurrentState = State::ReadingHead;
    return !this->Input.empty();
  }
  this->completeExchange();
  return false;
}

void UpstreamConnection::completeExchange() {
  // If the request has not been sent completely, the server still waits for its
  // rest and would take the next request for it.
  this->Reusable =
      this->KeepAlive && this->Input.empty() && this->Channel->unsent() == 0;
  this->Input.clear();
  this->CurrentState = State::Idle;
  this->Used = true;
  this->IdleSince = this->Loop.clock().now();
  if (!this->Reusable)
    this->Channel->close();
  // An idle connection must not keep the finished request alive.
  const auto OldListener = std::exchange(this->Listener, {});
  OldListener.Ended(UpstreamEnd::Complete);
}

void UpstreamConnection::onEnded(ChannelEnd End) {
  if (this->CurrentState == State::Idle) {
    this->Reusable = false;
    if (this->IdleClosed)
      this->IdleClosed();
    return;
  }
  if (this->CurrentState == State::Closed)
    return;
  const bool IsComplete = this->CurrentState == State::ReadingBody &&
                          this->Decoder.isCloseDelimited() &&
                          End == ChannelEnd::Finished;
  if (IsComplete) {
    this->completeExchange();
    return;
  }
  this->failExchange(this->mayHaveSent() ? UpstreamEnd::Broken
                                         : UpstreamEnd::NotSent);
}

void UpstreamConnection::failExchange(UpstreamEnd End) {
  this->close();
  const auto Callback = this->Listener.Ended;
  Callback(End);
}

} // namespace parsleywing
