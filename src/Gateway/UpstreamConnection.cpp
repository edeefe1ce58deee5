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
  auto Channel = ByteChannel::connecting(Loop, Address);
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
  Channel->listen(std::move(Listener));
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
  this->StillWanted = std::move(MaySend);
  this->Method = AskedMethod;
  this->RequestId = Id;
  this->Now = State::Head;
  this->Reusable = false;
  this->Channel->write(Bytes);
}

void UpstreamConnection::onConnected() {
  if (this->Now == State::Head && this->StillWanted && !this->StillWanted())
    this->end(UpstreamEnd::NotSent);
}

bool UpstreamConnection::mayHaveLeft() const {
  return this->Used || this->Channel->anySent();
}

void UpstreamConnection::close() {
  this->Now = State::Over;
  this->Reusable = false;
  this->Channel->close();
}

void UpstreamConnection::onReceived(std::string_view Bytes) {
  if (this->Now == State::Idle) {
    // Bytes that belong to no request.
    this->close();
    if (this->IdleEnded)
      this->IdleEnded();
    return;
  }
  this->In.append(Bytes);
  bool More = true;
  while (More && this->Channel->open())
    More = this->Now == State::Head ? this->takeHead() : this->takeBody();
}

bool UpstreamConnection::takeHead() {
  const std::size_t Length = headLength(this->In);
  if (Length == 0) {
    if (this->In.size() > MaxHeadBytes)
      this->end(UpstreamEnd::Spoilt);
    return false;
  }
  auto Head = parseResponseHead(std::string_view(this->In).substr(0, Length));
  this->In.erase(0, Length);
  if (!Head) {
    this->end(UpstreamEnd::Spoilt);
    return false;
  }
  if (Head->Status < FirstFinalStatus)
    return true;
  this->acceptHead(*Head);
  return this->Now == State::Body || this->Now == State::StrayBody;
}

void UpstreamConnection::acceptHead(const HttpHead &Head) {
  const auto Plan = planResponseBody(Head, this->Method);
  if (!Plan) {
    this->end(UpstreamEnd::Spoilt);
    return;
  }
  const ServerHead Read = this->Format.ReadServerHead(Head);
  this->Body = BodyDecoder(*Plan);
  const bool Stray =
      !Read.RequestId.empty() && Read.RequestId != this->RequestId;
  if (Stray) {
    this->Now = State::StrayBody;
    return;
  }
  this->KeepAfter = keepsConnection(Head) && !this->Body.endsWithConnection();
  const Duration Idle = Read.IdleLimit.value_or(UnstatedIdleLimit);
  this->IdleUntil = this->Loop.clock().now() + Idle - IdleMargin;
  this->Now = State::Body;
  this->Listener.Head(Head, Read);
}

bool UpstreamConnection::takeBody() {
  std::string Payload;
  const std::size_t Used = this->Body.feed(this->In, Payload);
  this->In.erase(0, Used);
  const bool Stray = this->Now == State::StrayBody;
  if (!Stray && !Payload.empty())
    this->Listener.Payload(Payload);
  if (!this->Channel->open())
    return false;
  if (this->Body.malformed()) {
    this->end(UpstreamEnd::Spoilt);
    return false;
  }
  if (!this->Body.complete())
    return false;
  if (Stray) {
    this->Now = State::Head;
    return !this->In.empty();
  }
  this->complete();
  return false;
}

void UpstreamConnection::complete() {
  // A request that has not gone out whole leaves the server waiting for its
  // rest, and whatever came next would be taken for it.
  this->Reusable =
      this->KeepAfter && this->In.empty() && this->Channel->unsent() == 0;
  this->In.clear();
  this->Now = State::Idle;
  this->Used = true;
  this->IdleSince = this->Loop.clock().now();
  if (!this->Reusable)
    this->Channel->close();
  // An idle connection must not keep the request that it has carried.
  const auto Told = std::exchange(this->Listener, {});
  Told.Ended(UpstreamEnd::Complete);
}

void UpstreamConnection::onEnded(ChannelEnd How) {
  if (this->Now == State::Idle) {
    this->Reusable = false;
    if (this->IdleEnded)
      this->IdleEnded();
    return;
  }
  if (this->Now == State::Over)
    return;
  const bool Whole = this->Now == State::Body &&
                     this->Body.endsWithConnection() &&
                     How == ChannelEnd::Finished;
  if (Whole) {
    this->complete();
    return;
  }
  this->end(this->mayHaveLeft() ? UpstreamEnd::Broken : UpstreamEnd::NotSent);
}

void UpstreamConnection::end(UpstreamEnd How) {
  this->close();
  const auto Told = this->Listener.Ended;
  Told(How);
}

} // namespace parsleywing
