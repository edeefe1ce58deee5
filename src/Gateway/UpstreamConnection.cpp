#include "Gateway/UpstreamConnection.h"

#include <utility>

namespace parsleywing {

namespace {

/// The longest head that a server may send.
constexpr std::size_t MaxHeadBytes = 32U << 10U;
constexpr int FirstFinalStatus = 200;

/// Where a server does not say how long it keeps an idle connection.
constexpr Duration UnstatedIdleLimit = std::chrono::seconds(3);
/// A request must not cross the server's close: it would not be known whether
/// it ran.
constexpr Duration IdleMargin = std::chrono::milliseconds(600);

} // namespace

std::shared_ptr<UpstreamConnection>
UpstreamConnection::connect(EventLoop &Loop, const WireFormat &Format,
                            const Poco::Net::SocketAddress &Address) {
  auto Channel = ByteChannel::connect(Loop, Address);
  if (Channel == nullptr)
    return nullptr;
  auto Made = std::make_shared<UpstreamConnection>(Loop, Format, Channel);
  ChannelListener Listener;
  // Raw pointers: the destructor closes the channel, which tells nothing more.
  Listener.Connected = [Self = Made.get()] {
    const auto Alive = Self->shared_from_this();
    Self->onConnected();
  };
  Listener.Received = [Self = Made.get()](std::string_view Bytes) {
    const auto Alive = Self->shared_from_this();
    Self->onReceived(Bytes);
  };
  Listener.Ended = [Self = Made.get()](ChannelEnd How) {
    const auto Alive = Self->shared_from_this();
    Self->onEnded(How);
  };
  Channel->setListener(std::move(Listener));
  return Made;
}

UpstreamConnection::UpstreamConnection(EventLoop &L, const WireFormat &F,
                                       std::shared_ptr<ByteChannel> C)
    : Loop(L), Format(F), Channel(std::move(C)) {}

UpstreamConnection::~UpstreamConnection() { this->Channel->close(); }

void UpstreamConnection::send(const std::string &Bytes,
                              const std::string &AskedMethod,
                              const std::string &Id, UpstreamListener Told,
                              std::function<bool()> MaySend) {
  this->Listener = std::move(Told);
  this->SendAllowed = std::move(MaySend);
  this->Method = AskedMethod;
  this->RequestId = Id;
  this->CurrentState = State::ReadingHead;
  this->Reusable = false;
  this->Channel->write(Bytes);
}

void UpstreamConnection::onConnected() {
  if (this->CurrentState == State::ReadingHead && this->SendAllowed &&
      !this->SendAllowed())
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
    // Bytes that belong to no request.
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
    return true;
  this->handleHead(*Head);
  return this->CurrentState == State::ReadingBody ||
         this->CurrentState == State::SkippingBody;
}

void UpstreamConnection::handleHead(const HttpHead &Head) {
  const auto Plan = responseBodyLength(Head, this->Method);
  if (!Plan) {
    this->failExchange(UpstreamEnd::Malformed);
    return;
  }
  const ServerResponseFields Read = this->Format.ParseServerResponse(Head);
  this->Decoder = BodyDecoder(*Plan);
  const bool Stray =
      !Read.RequestId.empty() && Read.RequestId != this->RequestId;
  if (Stray) {
    this->CurrentState = State::SkippingBody;
    return;
  }
  this->KeepAlive = isKeepAlive(Head) && !this->Decoder.isCloseDelimited();
  const Duration Idle = Read.IdleTimeout.value_or(UnstatedIdleLimit);
  this->ReusableUntil = this->Loop.clock().now() + Idle - IdleMargin;
  this->CurrentState = State::ReadingBody;
  this->Listener.HeadReceived(Head, Read);
}

bool UpstreamConnection::parseBody() {
  std::string Payload;
  const std::size_t Used = this->Decoder.feed(this->Input, Payload);
  this->Input.erase(0, Used);
  const bool Stray = this->CurrentState == State::SkippingBody;
  if (!Stray && !Payload.empty())
    this->Listener.PayloadReceived(Payload);
  if (!this->Channel->isOpen())
    return false;
  if (this->Decoder.malformed()) {
    this->failExchange(UpstreamEnd::Malformed);
    return false;
  }
  if (!this->Decoder.complete())
    return false;
  if (Stray) {
    this->CurrentState = State::ReadingHead;
    return !this->Input.empty();
  }
  this->completeExchange();
  return false;
}

void UpstreamConnection::completeExchange() {
  // A request that has not gone out whole leaves the server waiting for its
  // rest, and whatever came next would be taken for it.
  this->Reusable =
      this->KeepAlive && this->Input.empty() && this->Channel->unsent() == 0;
  this->Input.clear();
  this->CurrentState = State::Idle;
  this->Used = true;
  this->IdleSince = this->Loop.clock().now();
  if (!this->Reusable)
    this->Channel->close();
  // An idle connection must not keep the request that it has carried.
  const auto Told = std::exchange(this->Listener, {});
  Told.Ended(UpstreamEnd::Complete);
}

void UpstreamConnection::onEnded(ChannelEnd How) {
  if (this->CurrentState == State::Idle) {
    this->Reusable = false;
    if (this->IdleClosed)
      this->IdleClosed();
    return;
  }
  if (this->CurrentState == State::Closed)
    return;
  const bool Whole = this->CurrentState == State::ReadingBody &&
                     this->Decoder.isCloseDelimited() &&
                     How == ChannelEnd::Finished;
  if (Whole) {
    this->completeExchange();
    return;
  }
  this->failExchange(this->mayHaveSent() ? UpstreamEnd::Broken
                                         : UpstreamEnd::NotSent);
}

void UpstreamConnection::failExchange(UpstreamEnd How) {
  this->close();
  const auto Told = this->Listener.Ended;
  Told(How);
}

} // namespace parsleywing
