#include "Caller/CallerWatch.h"

#include "Runtime/SentBytes.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketImpl.h>
#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace parsleywing {

namespace {

/// POCO's PollSet returns at once when it holds no socket.
constexpr auto EmptyPause = std::chrono::milliseconds(20);
constexpr Duration PollTime = std::chrono::milliseconds(200);

/// What a socket's receiving side holds.
enum class PendingInput { Nothing, Bytes, Closed };

PendingInput pendingInput(const Poco::Net::Socket &Caller) {
  char Byte = 0;
  const ssize_t Count =
      ::recv(Caller.impl()->sockfd(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return PendingInput::Bytes;
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return PendingInput::Nothing;
  return PendingInput::Closed;
}

/// Whether the peer has closed, also where unread bytes hide it from a read
/// and where this side has shut down sending.
bool isClosedByPeer(const Poco::Net::Socket &Caller) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (::getsockopt(Caller.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0)
    return true;
  return Info.tcpi_state != TCP_ESTABLISHED &&
         Info.tcpi_state != TCP_FIN_WAIT1 && Info.tcpi_state != TCP_FIN_WAIT2;
}

/// Bytes sent that the peer's system has not taken yet.
int unsentBytes(const Poco::Net::Socket &Caller) {
  return unacknowledgedBytes(Caller.impl()->sockfd()).value_or(0);
}

} // namespace

CallerWatch::CallerWatch() : Thread([this] { this->run(); }) {}

CallerWatch::~CallerWatch() {
  this->Stopping = true;
  this->Thread.join();
}

void CallerWatch::add(const Poco::Net::StreamSocket &Caller,
                      std::function<void()> OnDisconnected) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Callers[Caller.impl()] =
      Watched{Caller, std::move(OnDisconnected), false};
  this->Sockets.add(Caller, Poco::Net::PollSet::POLL_READ);
}

void CallerWatch::remove(const Poco::Net::StreamSocket &Caller) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Callers.erase(Caller.impl()) > 0 && this->Sockets.has(Caller))
    this->Sockets.remove(Caller);
}

void CallerWatch::linger(const Poco::Net::StreamSocket &Ended,
                         Duration SendTimeout) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->LingeringConnections.size() >= MaxLingering)
    return;
  this->LingeringConnections.push_back(
      {Ended, SendTimeout, 0, SteadyClock::now() + LingerTime});
  if (hasUnsent(Ended))
    ++this->Unsent;
}

bool CallerWatch::hasUnsent(const Poco::Net::StreamSocket &Caller) {
  return unsentBytes(Caller) > 0;
}

bool CallerWatch::isSafeToClose(const Poco::Net::StreamSocket &Caller) {
  return !hasUnsent(Caller) && pendingInput(Caller) != PendingInput::Bytes;
}

void CallerWatch::run() {
  auto NextBacklogs = SteadyClock::now();
  while (!this->Stopping) {
    if (this->Sockets.empty())
      std::this_thread::sleep_for(EmptyPause);
    else
      for (const auto &[Socket, Mode] :
           this->Sockets.poll(Poco::Timespan(PollTime.count())))
        this->checkSocket(Socket);
    if (SteadyClock::now() < NextBacklogs)
      continue;
    NextBacklogs = SteadyClock::now() + BacklogInterval;
    this->checkBacklogs();
    this->closeLingering();
  }
}

void CallerWatch::checkSocket(const Poco::Net::Socket &Caller) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Callers.find(Caller.impl());
  if (Found == this->Callers.end())
    return;
  const PendingInput Held = pendingInput(Caller);
  if (Held == PendingInput::Nothing)
    return;
  // The set reports a readable socket again and again. One with unread bytes
  // leaves it, or this thread would spin until they are read.
  this->Sockets.remove(Caller);
  if (Held == PendingInput::Bytes) {
    Found->second.HasBacklog = true;
    return;
  }
  Found->second.OnDisconnected();
  this->Callers.erase(Found);
}

void CallerWatch::checkBacklogs() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto &[Impl, Caller] : this->Callers) {
    if (!Caller.HasBacklog || !isClosedByPeer(Caller.Socket))
      continue;
    Caller.HasBacklog = false;
    Caller.OnDisconnected();
  }
}

void CallerWatch::closeLingering() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Now = SteadyClock::now();
  std::erase_if(this->LingeringConnections,
                [Now](Lingering &Held) { return shouldClose(Held, Now); });
  this->Unsent = static_cast<std::size_t>(std::ranges::count_if(
      this->LingeringConnections,
      [](const Lingering &Held) { return Held.Unsent > 0; }));
}

bool CallerWatch::shouldClose(Lingering &Held, SteadyClock::time_point Now) {
  if (isClosedByPeer(Held.Socket))
    return true;
  const int Unsent = unsentBytes(Held.Socket);
  if (Unsent != Held.Unsent) {
    Held.Unsent = Unsent;
    Held.ExpiresAt = Now + (Unsent > 0 ? Held.SendTimeout : LingerTime);
  }
  return Held.ExpiresAt <= Now;
}

} // namespace parsleywing
