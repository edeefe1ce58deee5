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

/// Pause while no socket is watched, since POCO's PollSet then returns
/// immediately.
constexpr auto EmptyPause = std::chrono::milliseconds(20);
constexpr Duration PollTimeout = std::chrono::milliseconds(200);

/// State of a socket's receive buffer.
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

/// Whether the peer has closed the connection. Also works if unread bytes hide
/// the close from a read, and if this side has shut down sending.
bool isClosedByPeer(const Poco::Net::Socket &Caller) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (::getsockopt(Caller.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0)
    return true;
  return Info.tcpi_state != TCP_ESTABLISHED &&
         Info.tcpi_state != TCP_FIN_WAIT1 && Info.tcpi_state != TCP_FIN_WAIT2;
}

/// Bytes sent that the peer's host has not acknowledged yet.
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

void CallerWatch::linger(const Poco::Net::StreamSocket &Caller,
                         Duration SendTimeout) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->LingeringConnections.size() >= MaxLingering)
    return;
  this->LingeringConnections.push_back(
      {Caller, SendTimeout, 0, SteadyClock::now() + LingerTime});
  if (hasUnsent(Caller))
    ++this->UnsentResponses;
}

bool CallerWatch::hasUnsent(const Poco::Net::StreamSocket &Caller) {
  return unsentBytes(Caller) > 0;
}

bool CallerWatch::isSafeToClose(const Poco::Net::StreamSocket &Caller) {
  return !hasUnsent(Caller) && pendingInput(Caller) != PendingInput::Bytes;
}

void CallerWatch::run() {
  auto NextCheckAt = SteadyClock::now();
  while (!this->Stopping) {
    if (this->Sockets.empty())
      std::this_thread::sleep_for(EmptyPause);
    else
      for (const auto &[Socket, Mode] :
           this->Sockets.poll(Poco::Timespan(PollTimeout.count())))
        this->checkSocket(Socket);
    if (SteadyClock::now() < NextCheckAt)
      continue;
    NextCheckAt = SteadyClock::now() + BacklogInterval;
    this->checkBacklogs();
    this->closeLingering();
  }
}

void CallerWatch::checkSocket(const Poco::Net::Socket &Caller) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Callers.find(Caller.impl());
  if (Found == this->Callers.end())
    return;
  const PendingInput State = pendingInput(Caller);
  if (State == PendingInput::Nothing)
    return;
  // The poll set is level-triggered: a socket with unread bytes is removed, or
  // this thread would spin until they are read.
  this->Sockets.remove(Caller);
  if (State == PendingInput::Bytes) {
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
  std::erase_if(this->LingeringConnections, [Now](Lingering &Connection) {
    return shouldClose(Connection, Now);
  });
  this->UnsentResponses = static_cast<std::size_t>(std::ranges::count_if(
      this->LingeringConnections,
      [](const Lingering &Connection) { return Connection.UnsentBytes > 0; }));
}

bool CallerWatch::shouldClose(Lingering &Connection,
                              SteadyClock::time_point Now) {
  if (isClosedByPeer(Connection.Socket))
    return true;
  const int Unsent = unsentBytes(Connection.Socket);
  if (Unsent != Connection.UnsentBytes) {
    Connection.UnsentBytes = Unsent;
    Connection.ExpiresAt =
        Now + (Unsent > 0 ? Connection.SendTimeout : LingerTime);
  }
  return Connection.ExpiresAt <= Now;
}

} // namespace parsleywing
