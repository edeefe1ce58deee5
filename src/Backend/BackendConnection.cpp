#include "Backend/BackendConnection.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <cerrno>
#include <ostream>
#include <poll.h>
#include <sys/socket.h>

namespace parsleywing {

namespace {

/// The longest single wait; the deadline is looked at again after it.
constexpr Duration LongestWait = std::chrono::hours(1);

/// How often a paused clock is looked at while nothing comes.
constexpr Duration PausedLook = std::chrono::milliseconds(1);

Poco::Timespan toTimespan(Duration D) { return Poco::Timespan(D.count()); }

/// What is left until the deadline. Zero means no limit to the library, so
/// that a deadline just passed is told apart.
Duration remaining(const Clock &Time, TimePoint Deadline) {
  const Duration Left = Deadline - Time.now();
  if (Left <= Duration::zero())
    throw Poco::TimeoutException("no progress");
  return Left;
}

/// Waits until the socket is ready for one of these events or the deadline has
/// passed; what it is ready for. The library's own wait makes and closes an
/// epoll descriptor each time.
short waitFor(short Events, poco_socket_t Descriptor, const Clock &Time,
              TimePoint Deadline) {
  ::pollfd Waiting{Descriptor, Events, 0};
  int Ready = 0;
  do {
    const Duration Wait = std::min(remaining(Time, Deadline),
                                   Time.isPaused() ? PausedLook : LongestWait);
    const auto Left = std::chrono::ceil<std::chrono::milliseconds>(Wait);
    Ready = ::poll(&Waiting, 1, static_cast<int>(Left.count()));
  } while (Ready == 0 || (Ready < 0 && errno == EINTR));
  return Waiting.revents;
}

} // namespace

int internal::TimedSocket::receiveBytes(void *Buffer, int Length, int Flags) {
  waitFor(POLLIN, this->sockfd(), this->Time, this->Deadline);
  const int Count = StreamSocketImpl::receiveBytes(Buffer, Length, Flags);
  if (Count <= 0)
    this->PeerClosed = true;
  else
    this->Received += static_cast<std::uint64_t>(Count);
  return Count;
}

/// A server that answers a request before it has read it whole may read no more
/// of it. To go on would wait for it in vain, or have it reset the connection
/// together with the answer.
int internal::TimedSocket::sendBytes(const void *Buffer, int Length,
                                     int Flags) {
  const char *Bytes = static_cast<const char *>(Buffer);
  int Done = 0;
  while (Done < Length) {
    const short Ready =
        waitFor(POLLIN | POLLOUT, this->sockfd(), this->Time, this->Deadline);
    if ((Ready & POLLOUT) == 0)
      throw Poco::Net::ConnectionAbortedException("answered before the end");
    const ::ssize_t Count = ::send(this->sockfd(), Bytes + Done,
                                   static_cast<std::size_t>(Length - Done),
                                   Flags | MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno != EAGAIN && errno != EINTR)
      error(errno);
    if (Count < 0)
      continue;
    Done += static_cast<int>(Count);
    this->Sent += static_cast<std::uint64_t>(Count);
  }
  return Length;
}

/// The library's session without its habit of connecting again.
class BackendConnection::Session : public Poco::Net::HTTPClientSession {
public:
  explicit Session(const Poco::Net::StreamSocket &Socket)
      : HTTPClientSession(Socket) {
    this->setKeepAlive(true);
  }

  using HTTPClientSession::buffered;

  /// Sends what is left of the request; false where that failed, so that what
  /// has come can be received nevertheless.
  bool endRequest() {
    try {
      this->flushRequest();
    } catch (const Poco::Exception &) {
      this->clearException();
      return false;
    }
    return true;
  }

protected:
  void connect(const Poco::Net::SocketAddress &) override {
    throw Poco::Net::ConnectionAbortedException("the connection is gone");
  }
  bool mustReconnect() const override { return false; }
};

BackendConnection::BackendConnection(const std::string &A,
                                     Duration ConnectLimit,
                                     ConnectionCanceller &B, const Clock &Time)
    : Address(A), Canceller(nullptr), Socket(new internal::TimedSocket(Time)) {
  Poco::Net::StreamSocket Connected(this->Socket);
  Connected.connect(Poco::Net::SocketAddress(A), toTimespan(ConnectLimit));
  Connected.setNoDelay(true);
  this->Http = std::make_unique<Session>(Connected);
  if (!this->attach(B))
    throw Poco::Net::ConnectionAbortedException("broken off while connecting");
}

BackendConnection::~BackendConnection() { this->detach(); }

bool BackendConnection::attach(ConnectionCanceller &B) {
  if (!B.attach(this->Http->socket()))
    return false;
  this->Canceller = &B;
  return true;
}

void BackendConnection::detach() {
  if (this->Canceller)
    this->Canceller->detach();
  this->Canceller = nullptr;
}

void BackendConnection::send(Poco::Net::HTTPRequest &Request,
                             const std::string &Body) {
  Request.set("Host", this->Address);
  if (!Body.empty() || Request.getMethod() == "POST")
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
  std::ostream &Out = this->Http->sendRequest(Request);
  Out << Body;
  Out.flush();
}

std::istream &BackendConnection::receive(Poco::Net::HTTPResponse &Response) {
  this->SentCompletely = this->Http->endRequest();
  return this->Http->receiveResponse(Response);
}

bool BackendConnection::reusable() const {
  return this->SentCompletely && !this->Socket->PeerClosed &&
         this->Http->buffered() == 0;
}

bool BackendConnection::hasUnsolicitedInput() const {
  return this->Socket->poll(Poco::Timespan(0),
                            Poco::Net::SocketImpl::SELECT_READ |
                                Poco::Net::SocketImpl::SELECT_ERROR);
}

} // namespace parsleywing
