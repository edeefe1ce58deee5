#include "Platform/TimedSocket.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace parsleywing {

namespace {

/// Upper bound on a single poll; the deadline is checked again after it.
constexpr Duration MaxWait = std::chrono::hours(1);

/// Interval at which a paused clock is checked while waiting.
constexpr Duration PausedClockInterval = std::chrono::milliseconds(1);

/// Returns the time left until the deadline. Throws if it has passed, since
/// POCO treats a timeout of zero as no limit.
Duration remaining(const Clock &Time, TimePoint Deadline) {
  const Duration TimeLeft = Deadline - Time.now();
  if (TimeLeft <= Duration::zero())
    throw Poco::TimeoutException("no progress");
  return TimeLeft;
}

/// Waits until the socket is ready for one of `Events` and returns the ready
/// events. Throws when the deadline passes. Used instead of POCO's `poll`,
/// which creates and closes an epoll descriptor on each call.
short waitFor(short Events, poco_socket_t Descriptor, const Clock &Time,
              TimePoint Deadline) {
  ::pollfd Poll{Descriptor, Events, 0};
  int Ready = 0;
  do {
    const Duration Wait =
        std::min(remaining(Time, Deadline),
                 Time.isPaused() ? PausedClockInterval : MaxWait);
    const auto TimeLeft = std::chrono::ceil<std::chrono::milliseconds>(Wait);
    Ready = ::poll(&Poll, 1, static_cast<int>(TimeLeft.count()));
  } while (Ready == 0 || (Ready < 0 && errno == EINTR));
  return Poll.revents;
}

} // namespace

/// Whether bytes have arrived that this thread has not read in time, since it
/// was not running. Once per deadline: a peer that goes on sending has no right
/// to more time.
bool internal::TimedSocket::mayReadLate() {
  if (this->Time.now() < this->Deadline || this->LateReadFor == this->Deadline)
    return false;
  this->LateReadFor = this->Deadline;
  ::pollfd Poll{this->sockfd(), POLLIN, 0};
  return ::poll(&Poll, 1, 0) > 0;
}

/// Reads what has arrived. Fails on each read behind a failure of the
/// connection, so that no caller takes one for an orderly close.
int internal::TimedSocket::receiveNow(void *Buffer, int Length, int Flags) {
  int Count = 0;
  try {
    Count = StreamSocketImpl::receiveBytes(Buffer, Length, Flags);
  } catch (const Poco::Exception &) {
    this->Failed = true;
    throw;
  }
  if (Count <= 0 && this->Failed)
    throw Poco::Net::ConnectionResetException("the connection has failed");
  return Count;
}

int internal::TimedSocket::receiveBytes(void *Buffer, int Length, int Flags) {
  if (!this->mayReadLate())
    waitFor(POLLIN, this->sockfd(), this->Time, this->Deadline);
  const int Count = this->receiveNow(Buffer, Length, Flags);
  if (Count <= 0)
    this->PeerClosed = true;
  else
    this->Received += static_cast<std::uint64_t>(Count);
  if (this->Received > this->MaxReceived)
    throw Poco::Net::MessageException("the response is too large");
  this->checkReceived({static_cast<const char *>(Buffer),
                       static_cast<std::size_t>(std::max(Count, 0))});
  return Count;
}

void internal::TimedSocket::checkReceived(std::string_view Bytes) {
  if (!this->Check)
    return;
  if (Bytes.empty()) {
    this->Check->finish();
    return;
  }
  if (const Result<void> Checked = this->Check->feed(Bytes); !Checked)
    throw Poco::Net::MessageException("malformed response",
                                      Checked.error().Message);
}

bool internal::TimedSocket::receiveResponseEnd() {
  std::array<char, 1024> Rest{};
  while (this->Check && !this->responseComplete() && !this->PeerClosed)
    this->receiveBytes(Rest.data(), static_cast<int>(Rest.size()), 0);
  return this->responseComplete();
}

/// Stops sending when the server responds early: a server that responds before
/// it has read the complete request may stop reading. Sending more could block
/// until the deadline, or make the server reset the connection and lose the
/// response.
int internal::TimedSocket::sendBytes(const void *Buffer, int Length,
                                     int Flags) {
  const char *Bytes = static_cast<const char *>(Buffer);
  int Done = 0;
  while (Done < Length) {
    const short Ready =
        waitFor(POLLIN | POLLOUT, this->sockfd(), this->Time, this->Deadline);
    if ((Ready & POLLOUT) == 0)
      throw Poco::Net::ConnectionAbortedException(
          "the server responded before the request was sent");
    const ::ssize_t Count = ::send(this->sockfd(), Bytes + Done,
                                   static_cast<std::size_t>(Length - Done),
                                   Flags | MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno != EAGAIN && errno != EINTR) {
      // Behind the peer's orderly close, a write fails with EPIPE, which does
      // not make that close a reset.
      this->Failed = this->Failed || errno != EPIPE;
      error(errno);
    }
    if (Count < 0)
      continue;
    Done += static_cast<int>(Count);
    this->Sent += static_cast<std::uint64_t>(Count);
  }
  return Length;
}

} // namespace parsleywing
