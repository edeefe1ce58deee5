#include "Gateway/CallerSession.h"

#include "Http/HttpStatus.h"
#include <utility>

namespace parsleywing {

namespace {

/// A body that makes no progress for so long is given up. Callers of the
/// platform send whole bodies within milliseconds; the bound frees the memory
/// of those that stopped.
constexpr Duration BodyTimeout = std::chrono::seconds(10);

/// A connection that is to be closed, and on which a request may still come, is
/// looked at again after so long.
constexpr Duration RecheckInterval = std::chrono::milliseconds(500);

/// Bytes that are kept of what a caller sends ahead of its answer. While more
/// wait with the system, its leaving is noticed only by a reset.
constexpr std::size_t MaxAhead = 256U << 10U;

std::string chunkOf(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Size;
  for (std::size_t Left = Bytes.size(); Left > 0; Left /= Digits.size())
    Size.insert(Size.begin(), Digits[Left % Digits.size()]);
  return Size + "\r\n" + std::string(Bytes) + "\r\n";
}

} // namespace

HttpHead ownAnswerHead(int Status, const std::string &Reason) {
  HttpHead Head;
  Head.Status = Status;
  Head.Reason = Reason;
  return Head;
}

CallerSession::CallerSession(EventLoop &L, std::shared_ptr<ByteChannel> C,
                             GatewayLimits Bounds, Handler H, Closed E)
    : Loop(L), Channel(std::move(C)), Limits(Bounds), Handle(std::move(H)),
      TellClosed(std::move(E)) {}

CallerSession::~CallerSession() {
  this->Loop.cancel(this->Timer);
  if (!this->Channel->finishing())
    this->Channel->close();
}

void CallerSession::begin() {
  ChannelListener Listener;
  Listener.Received = [this](std::string_view Bytes) {
    const auto Alive = this->shared_from_this();
    this->onReceived(Bytes);
  };
  Listener.Ended = [this](ChannelEnd) {
    const auto Alive = this->shared_from_this();
    this->onEnded();
  };
  Listener.Drained = [this] {
    const auto Alive = this->shared_from_this();
    if (const auto Tell = this->Events.Drained)
      Tell();
  };
  this->Channel->listen(std::move(Listener));
  this->armTimer(this->Limits.IdleTimeout, true);
}

void CallerSession::onReceived(std::string_view Bytes) {
  // A request whose caller has gone already must not reach a server: one that
  // was read late, on a busy VM, has often been given up.
  if (this->Now == State::Over || this->Channel->peerClosed())
    return;
  this->In.append(Bytes);
  if (this->Now != State::Serving)
    this->process();
  this->limitAhead();
}

/// A caller that sends more is slowed down: the rest waits with the system.
void CallerSession::limitAhead() {
  if (this->Now == State::Serving && this->In.size() > MaxAhead)
    this->Channel->pauseReading();
  else
    this->Channel->resumeReading();
}

void CallerSession::onEnded() {
  if (this->Now == State::Over)
    return;
  const auto Tell =
      this->Now == State::Serving ? this->Events.Left : std::function<void()>();
  this->close();
  if (Tell)
    Tell();
}

void CallerSession::process() {
  bool More = true;
  while (More && (this->Now == State::Head || this->Now == State::Body))
    More = this->Now == State::Head ? this->takeHead() : this->takeBody();
}

bool CallerSession::takeHead() {
  // An empty line before a request line is allowed (RFC 9112, 2.2).
  while (this->In.starts_with("\r\n"))
    this->In.erase(0, 2);
  if (this->In.empty())
    return false;
  const std::size_t Length = headLength(this->In);
  const std::size_t Known = Length == 0 ? this->In.size() : Length;
  if (Known > this->Limits.MaxHeaderBytes) {
    this->refuse(HttpHeaderFieldsTooLarge, "Request Header Fields Too Large");
    return false;
  }
  if (Length == 0) {
    // Armed once a head: a byte now and then must not hold the connection.
    if (!this->HeadBegun)
      this->armTimer(this->Limits.HeaderTimeout, false);
    this->HeadBegun = true;
    return false;
  }
  this->HeadBegun = false;
  auto Head = parseRequestHead(std::string_view(this->In).substr(0, Length));
  this->In.erase(0, Length);
  if (!Head) {
    this->refuse(HttpBadRequest, "Bad Request");
    return false;
  }
  const auto Plan = planRequestBody(*Head);
  if (!Plan) {
    this->refuse(HttpBadRequest, "Bad Request");
    return false;
  }
  if (Plan->Length > this->Limits.MaxBodyBytes) {
    this->refuse(HttpContentTooLarge, "Content Too Large");
    return false;
  }
  this->Request = {};
  this->Request.HasBody = Plan->Framing != BodyFraming::None;
  this->Request.Arrived = this->Loop.clock().now();
  this->KeepOpen = keepsConnection(*Head);
  this->Chunked = !Head->OldVersion;
  if (Head->hasWord("Expect", "100-continue") && this->In.empty())
    this->Channel->write("HTTP/1.1 100 Continue\r\n\r\n");
  this->Request.Head = std::move(*Head);
  this->Decoder = BodyDecoder(*Plan);
  this->Now = State::Body;
  this->armTimer(BodyTimeout, false);
  return true;
}

bool CallerSession::takeBody() {
  const std::size_t Used = this->Decoder.feed(this->In, this->Request.Body);
  this->In.erase(0, Used);
  if (this->Decoder.malformed()) {
    this->refuse(HttpBadRequest, "Bad Request");
    return false;
  }
  if (this->Request.Body.size() > this->Limits.MaxBodyBytes) {
    this->refuse(HttpContentTooLarge, "Content Too Large");
    return false;
  }
  if (!this->Decoder.complete()) {
    if (Used > 0)
      this->armTimer(BodyTimeout, false);
    return false;
  }
  this->startRequest();
  return this->Now == State::Head && !this->In.empty();
}

void CallerSession::startRequest() {
  this->Loop.cancel(this->Timer);
  this->Timer = 0;
  this->Now = State::Serving;
  this->Handle(this->shared_from_this(), std::move(this->Request));
}

void CallerSession::refuse(int Status, const char *Reason) {
  this->Now = State::Serving;
  this->KeepOpen = false;
  this->answer(ownAnswerHead(Status, Reason), {});
}

void CallerSession::sendHead(HttpHead Head) {
  if (this->CloseAfter)
    this->KeepOpen = false;
  if (!this->KeepOpen)
    Head.add("Connection", "close");
  this->Channel->write(writeResponseHead(Head));
}

void CallerSession::answer(HttpHead Head, std::string_view Body) {
  if (this->Now != State::Serving)
    return;
  Head.remove("Content-Length");
  Head.add("Content-Length", std::to_string(Body.size()));
  this->sendHead(std::move(Head));
  this->Channel->write(Body);
  this->finishRequest();
}

void CallerSession::beginAnswer(HttpHead Head) {
  if (this->Now != State::Serving)
    return;
  Head.remove("Content-Length");
  // A caller of the older version takes the end of the connection for the end
  // of the answer.
  if (this->Chunked) {
    Head.add("Transfer-Encoding", "chunked");
  } else {
    this->KeepOpen = false;
    this->Channel->resetUnlessFinished();
  }
  this->sendHead(std::move(Head));
}

void CallerSession::piece(std::string_view Bytes) {
  if (this->Now != State::Serving || Bytes.empty())
    return;
  if (this->Chunked)
    this->Channel->write(chunkOf(Bytes));
  else
    this->Channel->write(Bytes);
}

void CallerSession::endAnswer() {
  if (this->Now != State::Serving)
    return;
  if (this->Chunked)
    this->Channel->write("0\r\n\r\n");
  this->finishRequest();
}

void CallerSession::cutAnswer() {
  if (this->Now == State::Over)
    return;
  this->Channel->abort();
  this->close();
}

void CallerSession::finishRequest() {
  this->Events = {};
  if (!this->KeepOpen) {
    this->Now = State::Over;
    this->Channel->finish();
    this->close();
    return;
  }
  this->Now = State::Head;
  this->AnsweredAt = this->Loop.clock().now();
  // An answer whose head left before the close was wanted has not announced it:
  // the caller's next request may be on its way.
  this->armTimer(this->CloseAfter ? RecheckInterval : this->Limits.IdleTimeout,
                 true);
  if (this->In.empty())
    return;
  // What came ahead is served from the loop: a caller that sends many requests
  // at once would else deepen the stack with each answer.
  this->Loop.after(Duration::zero(), [Self = this->weak_from_this()] {
    if (const auto Alive = Self.lock()) {
      Alive->process();
      Alive->limitAhead();
    }
  });
}

/// The caller may send its next request at any moment, and a loop that was late
/// has not read what has come: idle is only what holds no bytes in the system
/// either. A request that comes behind the look stays unread, and the reset
/// tells its caller that it has not run.
void CallerSession::closeWhenDone() {
  this->CloseAfter = true;
  if (this->Now != State::Head || !this->In.empty())
    return;
  if (this->Channel->closeIfQuiet())
    this->close();
  else
    this->armTimer(RecheckInterval, true);
}

void CallerSession::stop() {
  this->closeWhenDone();
  if (const auto Tell = this->Events.Stopping)
    Tell();
}

void CallerSession::close() {
  this->Now = State::Over;
  this->Loop.cancel(this->Timer);
  this->Timer = 0;
  this->Events = {};
  if (this->Channel->open() && !this->Channel->finishing())
    this->Channel->close();
  if (const auto Tell = std::exchange(this->TellClosed, {}))
    Tell(this);
}

void CallerSession::armTimer(Duration Limit, bool Idle) {
  this->Loop.cancel(this->Timer);
  this->Timer = this->Loop.after(Limit, [this, Idle] {
    const auto Alive = this->shared_from_this();
    this->onTimeout(Idle);
  });
}

void CallerSession::onTimeout(bool Idle) {
  this->Timer = 0;
  if (Idle) {
    this->closeWhenDone();
    return;
  }
  this->refuse(HttpRequestTimeout, "Request Timeout");
}

} // namespace parsleywing
