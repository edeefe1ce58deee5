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

HttpHead localReplyHead(int Status, const std::string &Reason) {
  HttpHead Head;
  Head.Status = Status;
  Head.Reason = Reason;
  return Head;
}

CallerSession::CallerSession(EventLoop &L, std::shared_ptr<ByteChannel> C,
                             GatewayLimits Bounds, Handler H, CloseCallback E)
    : Loop(L), Channel(std::move(C)), Limits(Bounds), OnRequest(std::move(H)),
      OnClosed(std::move(E)) {}

CallerSession::~CallerSession() {
  this->Loop.cancel(this->Timer);
  if (!this->Channel->finishing())
    this->Channel->close();
}

void CallerSession::start() {
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
    if (const auto Tell = this->Listener.SendBufferDrained)
      Tell();
  };
  this->Channel->setListener(std::move(Listener));
  this->armTimer(this->Limits.IdleTimeout, true);
}

void CallerSession::onReceived(std::string_view Bytes) {
  // A request whose caller has gone already must not reach a server: one that
  // was read late, on a busy VM, has often been given up.
  if (this->CurrentState == State::Closed || this->Channel->peerClosed())
    return;
  this->Input.append(Bytes);
  if (this->CurrentState != State::Serving)
    this->processInput();
  this->limitPipelining();
}

/// A caller that sends more is slowed down: the rest waits with the system.
void CallerSession::limitPipelining() {
  if (this->CurrentState == State::Serving && this->Input.size() > MaxAhead)
    this->Channel->pauseReading();
  else
    this->Channel->resumeReading();
}

void CallerSession::onEnded() {
  if (this->CurrentState == State::Closed)
    return;
  const auto Tell = this->CurrentState == State::Serving
                        ? this->Listener.Disconnected
                        : std::function<void()>();
  this->close();
  if (Tell)
    Tell();
}

void CallerSession::processInput() {
  bool More = true;
  while (More && (this->CurrentState == State::ReadingHead ||
                  this->CurrentState == State::ReadingBody))
    More = this->CurrentState == State::ReadingHead ? this->parseHead()
                                                    : this->parseBody();
}

bool CallerSession::parseHead() {
  // An empty line before a request line is allowed (RFC 9112, 2.2).
  while (this->Input.starts_with("\r\n"))
    this->Input.erase(0, 2);
  if (this->Input.empty())
    return false;
  const std::size_t Length = headLength(this->Input);
  const std::size_t Known = Length == 0 ? this->Input.size() : Length;
  if (Known > this->Limits.MaxHeaderBytes) {
    this->sendErrorAndClose(HttpHeaderFieldsTooLarge,
                            "Request Header Fields Too Large");
    return false;
  }
  if (Length == 0) {
    // Armed once a head: a byte now and then must not hold the connection.
    if (!this->HeadStarted)
      this->armTimer(this->Limits.HeaderTimeout, false);
    this->HeadStarted = true;
    return false;
  }
  this->HeadStarted = false;
  auto Head = parseRequestHead(std::string_view(this->Input).substr(0, Length));
  this->Input.erase(0, Length);
  if (!Head) {
    this->sendErrorAndClose(HttpBadRequest, "Bad Request");
    return false;
  }
  const auto Plan = requestBodyLength(*Head);
  if (!Plan) {
    this->sendErrorAndClose(HttpBadRequest, "Bad Request");
    return false;
  }
  if (Plan->ContentLength > this->Limits.MaxBodyBytes) {
    this->sendErrorAndClose(HttpContentTooLarge, "Content Too Large");
    return false;
  }
  this->Request = {};
  this->Request.HasBody = Plan->Framing != BodyFraming::None;
  this->Request.ReceivedAt = this->Loop.clock().now();
  this->KeepAlive = isKeepAlive(*Head);
  this->Chunked = !Head->IsHttp10;
  if (Head->hasToken("Expect", "100-continue") && this->Input.empty())
    this->Channel->write("HTTP/1.1 100 Continue\r\n\r\n");
  this->Request.Head = std::move(*Head);
  this->Decoder = BodyDecoder(*Plan);
  this->CurrentState = State::ReadingBody;
  this->armTimer(BodyTimeout, false);
  return true;
}

bool CallerSession::parseBody() {
  const std::size_t Used = this->Decoder.feed(this->Input, this->Request.Body);
  this->Input.erase(0, Used);
  if (this->Decoder.malformed()) {
    this->sendErrorAndClose(HttpBadRequest, "Bad Request");
    return false;
  }
  if (this->Request.Body.size() > this->Limits.MaxBodyBytes) {
    this->sendErrorAndClose(HttpContentTooLarge, "Content Too Large");
    return false;
  }
  if (!this->Decoder.complete()) {
    if (Used > 0)
      this->armTimer(BodyTimeout, false);
    return false;
  }
  this->dispatchRequest();
  return this->CurrentState == State::ReadingHead && !this->Input.empty();
}

void CallerSession::dispatchRequest() {
  this->Loop.cancel(this->Timer);
  this->Timer = 0;
  this->CurrentState = State::Serving;
  this->OnRequest(this->shared_from_this(), std::move(this->Request));
}

void CallerSession::sendErrorAndClose(int Status, const char *Reason) {
  this->CurrentState = State::Serving;
  this->KeepAlive = false;
  this->sendResponse(localReplyHead(Status, Reason), {});
}

void CallerSession::sendHead(HttpHead Head) {
  if (this->CloseAfterResponse)
    this->KeepAlive = false;
  if (!this->KeepAlive)
    Head.add("Connection", "close");
  this->Channel->write(writeResponseHead(Head));
}

void CallerSession::sendResponse(HttpHead Head, std::string_view Body) {
  if (this->CurrentState != State::Serving)
    return;
  Head.remove("Content-Length");
  Head.add("Content-Length", std::to_string(Body.size()));
  this->sendHead(std::move(Head));
  this->Channel->write(Body);
  this->finishRequest();
}

void CallerSession::startResponse(HttpHead Head) {
  if (this->CurrentState != State::Serving)
    return;
  Head.remove("Content-Length");
  // A caller of the older version takes the end of the connection for the end
  // of the answer.
  if (this->Chunked) {
    Head.add("Transfer-Encoding", "chunked");
  } else {
    this->KeepAlive = false;
    this->Channel->resetUnlessFinished();
  }
  this->sendHead(std::move(Head));
}

void CallerSession::sendChunk(std::string_view Bytes) {
  if (this->CurrentState != State::Serving || Bytes.empty())
    return;
  if (this->Chunked)
    this->Channel->write(chunkOf(Bytes));
  else
    this->Channel->write(Bytes);
}

void CallerSession::finishResponse() {
  if (this->CurrentState != State::Serving)
    return;
  if (this->Chunked)
    this->Channel->write("0\r\n\r\n");
  this->finishRequest();
}

void CallerSession::abortResponse() {
  if (this->CurrentState == State::Closed)
    return;
  this->Channel->abort();
  this->close();
}

void CallerSession::finishRequest() {
  this->Listener = {};
  if (!this->KeepAlive) {
    this->CurrentState = State::Closed;
    this->Channel->finish();
    this->close();
    return;
  }
  this->CurrentState = State::ReadingHead;
  this->LastResponseAt = this->Loop.clock().now();
  // An answer whose head left before the close was wanted has not announced it:
  // the caller's next request may be on its way.
  this->armTimer(this->CloseAfterResponse ? RecheckInterval
                                          : this->Limits.IdleTimeout,
                 true);
  if (this->Input.empty())
    return;
  // What came ahead is served from the loop: a caller that sends many requests
  // at once would else deepen the stack with each answer.
  this->Loop.after(Duration::zero(), [Self = this->weak_from_this()] {
    if (const auto Alive = Self.lock()) {
      Alive->processInput();
      Alive->limitPipelining();
    }
  });
}

/// The caller may send its next request at any moment, and a loop that was late
/// has not read what has come: idle is only what holds no bytes in the system
/// either. A request that comes behind the look stays unread, and the reset
/// tells its caller that it has not run.
void CallerSession::closeWhenIdle() {
  this->CloseAfterResponse = true;
  if (this->CurrentState != State::ReadingHead || !this->Input.empty())
    return;
  if (this->Channel->closeIfIdle())
    this->close();
  else
    this->armTimer(RecheckInterval, true);
}

void CallerSession::stop() {
  this->closeWhenIdle();
  if (const auto Tell = this->Listener.Stopping)
    Tell();
}

void CallerSession::close() {
  this->CurrentState = State::Closed;
  this->Loop.cancel(this->Timer);
  this->Timer = 0;
  this->Listener = {};
  if (this->Channel->isOpen() && !this->Channel->finishing())
    this->Channel->close();
  if (const auto Tell = std::exchange(this->OnClosed, {}))
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
    this->closeWhenIdle();
    return;
  }
  this->sendErrorAndClose(HttpRequestTimeout, "Request Timeout");
}

} // namespace parsleywing
