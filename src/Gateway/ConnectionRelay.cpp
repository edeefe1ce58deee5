#include "Gateway/ConnectionRelay.h"

#include <utility>

namespace parsleywing {

namespace {

/// A router in another zone is a few ms away; a target that has not accepted by
/// then is stopped or cut off, and the caller's latency objective may be as
/// short as 120 ms.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(100);

/// Bytes that may wait for one side before reading from the other one pauses.
/// One more read of 64 KB may follow.
constexpr std::size_t MaxUnsentBytes = 64U << 10U;

} // namespace

ConnectionRelay::ConnectionRelay(EventLoop &L, std::shared_ptr<ByteChannel> C)
    : Loop(L), Caller(std::move(C)) {}

ConnectionRelay::~ConnectionRelay() {
  this->Loop.cancel(this->ConnectTimer);
  if (this->CurrentState == State::Ended || this->Target == nullptr)
    return;
  this->Target->abort();
  this->Caller->abort();
}

bool ConnectionRelay::start(const Poco::Net::SocketAddress &TargetAddress,
                            const Poco::Net::IPAddress &LocalAddress) {
  this->StartedAt = this->Loop.clock().now();
  this->Target = ByteChannel::connect(this->Loop, TargetAddress, LocalAddress);
  if (this->Target == nullptr)
    return false;
  ChannelListener OfTarget;
  OfTarget.Connected = [this] {
    const auto Alive = this->shared_from_this();
    this->onConnected();
  };
  OfTarget.Received = [this](std::string_view Bytes) {
    const auto Alive = this->shared_from_this();
    this->onTargetBytes(Bytes);
  };
  OfTarget.Ended = [this](ChannelEnd End) {
    const auto Alive = this->shared_from_this();
    this->onTargetEnd(End);
  };
  OfTarget.Drained = [this] { this->Caller->resumeReading(); };
  this->Target->setListener(std::move(OfTarget));
  ChannelListener OfCaller;
  OfCaller.Received = [this](std::string_view Bytes) {
    const auto Alive = this->shared_from_this();
    this->onCallerBytes(Bytes);
  };
  OfCaller.Ended = [this](ChannelEnd) {
    const auto Alive = this->shared_from_this();
    this->onCallerEnd();
  };
  OfCaller.Drained = [this] { this->Target->resumeReading(); };
  this->Caller->setListener(std::move(OfCaller));
  this->Caller->pauseReading();
  this->ConnectTimer = this->Loop.after(ConnectTimeout, [this] {
    const auto Alive = this->shared_from_this();
    this->ConnectTimer = 0;
    this->onConnectFailed();
  });
  return true;
}

void ConnectionRelay::abort() {
  if (this->CurrentState == State::Ended)
    return;
  this->Target->abort();
  this->Caller->abort();
  this->end("stopped");
}

void ConnectionRelay::onConnected() {
  this->Loop.cancel(this->ConnectTimer);
  this->ConnectTimer = 0;
  this->CurrentState = State::Forwarding;
  this->Caller->resumeReading();
}

void ConnectionRelay::onConnectFailed() {
  this->Loop.cancel(this->ConnectTimer);
  this->CurrentState = State::Ended;
  this->Target->close();
  const auto Failed = std::exchange(this->Events, {}).Failed;
  this->Caller->resumeReading();
  Failed(this->Caller);
}

void ConnectionRelay::onCallerBytes(std::string_view Bytes) {
  // A paused connection delivers bytes only if it has broken. A request whose
  // caller has already left must not reach a server.
  if (this->CurrentState != State::Forwarding || this->Caller->peerClosed())
    return;
  this->ToTarget += Bytes.size();
  this->AwaitsResponse = true;
  this->Target->write(Bytes);
  if (this->Target->unsent() > MaxUnsentBytes)
    this->Caller->pauseReading();
}

void ConnectionRelay::onCallerEnd() {
  if (this->CurrentState == State::Ended)
    return;
  this->Target->close();
  this->end("caller-left");
}

void ConnectionRelay::onTargetBytes(std::string_view Bytes) {
  this->ToCaller += Bytes.size();
  this->AwaitsResponse = false;
  this->Caller->write(Bytes);
  if (this->Caller->unsent() > MaxUnsentBytes)
    this->Target->pauseReading();
}

void ConnectionRelay::onTargetEnd(ChannelEnd End) {
  if (this->CurrentState == State::Connecting) {
    this->onConnectFailed();
    return;
  }
  if (this->CurrentState == State::Ended)
    return;
  if (End == ChannelEnd::Reset) {
    this->Caller->abort();
    this->end("target-reset");
    return;
  }
  // The system closes the connections of a process that was killed in order.
  // The caller of a request without a response sees a reset.
  if (this->AwaitsResponse)
    this->Caller->resetUnlessFinished();
  if (!this->Caller->closeIfIdle())
    this->Caller->finish();
  this->end("target-finished");
}

void ConnectionRelay::end(const char *Reason) {
  this->Loop.cancel(this->ConnectTimer);
  this->ConnectTimer = 0;
  this->CurrentState = State::Ended;
  if (const auto Callback = std::exchange(this->Events, {}).Ended)
    Callback(Reason);
}

} // namespace parsleywing
