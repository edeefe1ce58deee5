#include "Loop/ByteChannel.h"

#include "Runtime/SentBytes.h"

#include <Poco/Net/NetException.h>
#include <array>
#include <cerrno>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace parsleywing {

namespace {

constexpr std::size_t ReadBufferBytes = 64U << 10U;

// Reads and sends bypass Poco and pass MSG_DONTWAIT on each call: making a Poco
// socket non-blocking would cost two more system calls per connection.

/// How long a connection waits for the peer to close after shutting down its
/// own sending side.
constexpr Duration PeerCloseTimeout = std::chrono::seconds(2);

/// How long a finished connection may take to send its buffered bytes, even if
/// the peer keeps accepting some.
constexpr Duration FinishTimeout = std::chrono::seconds(60);

/// How long a peer may accept none of the buffered bytes.
constexpr Duration StallTimeout = std::chrono::seconds(15);

} // namespace

std::shared_ptr<ByteChannel>
ByteChannel::fromAccepted(EventLoop &Loop,
                          const Poco::Net::StreamSocket &Socket) {
  try {
    auto Channel = std::make_shared<ByteChannel>(Loop, Socket, false);
    Channel->start();
    return Channel;
  } catch (const Poco::Exception &) {
    // The peer may have reset the connection already. The socket closes when
    // its owner releases it.
    return nullptr;
  }
}

std::shared_ptr<ByteChannel>
ByteChannel::connect(EventLoop &Loop, const Poco::Net::SocketAddress &Address) {
  return connect(Loop, Address, Poco::Net::IPAddress(Address.family()));
}

std::shared_ptr<ByteChannel>
ByteChannel::connect(EventLoop &Loop, const Poco::Net::SocketAddress &Address,
                     const Poco::Net::IPAddress &LocalAddress) {
  try {
    Poco::Net::StreamSocket Socket;
    if (!LocalAddress.isWildcard())
      Socket.impl()->bind(Poco::Net::SocketAddress(LocalAddress, 0), true);
    Socket.connectNB(Address);
    auto Channel = std::make_shared<ByteChannel>(Loop, Socket, true);
    Channel->start();
    return Channel;
  } catch (const Poco::Exception &) {
    // The caller handles null like a refused connection.
    return nullptr;
  }
}

ByteChannel::ByteChannel(EventLoop &L, const Poco::Net::StreamSocket &S,
                         bool IsConnecting)
    : Loop(L), Socket(S), Connecting(IsConnecting),
      ReadsUntilEmpty(!IsConnecting) {}

void ByteChannel::start() {
  this->Socket.setNoDelay(true);
  const int Modes = this->Connecting ? Poco::Net::PollSet::POLL_WRITE
                                     : Poco::Net::PollSet::POLL_READ;
  this->Loop.add(
      this->Socket, Modes | Poco::Net::PollSet::POLL_ERROR,
      [Self = this->shared_from_this()](int Ready) { Self->onReady(Ready); });
}

void ByteChannel::onReady(int Modes) {
  const bool Failed = (Modes & Poco::Net::PollSet::POLL_ERROR) != 0;
  if (this->Connecting)
    this->onConnected();
  else if (Failed || (Modes & Poco::Net::PollSet::POLL_READ) != 0)
    this->readAvailable();
  if (!this->Closed && !this->Connecting &&
      (Modes & Poco::Net::PollSet::POLL_WRITE) != 0) {
    this->flush();
    if (!this->Closed && this->SendBuffer.empty() && !this->Finishing &&
        this->Listener.Drained)
      this->Listener.Drained();
  }
}

void ByteChannel::onConnected() {
  // If the loop was delayed, the peer may already have closed the connection
  // after accepting it.
  if (this->Socket.impl()->socketError() != 0 || !this->inputIdle()) {
    this->onPeerEnd(ChannelEnd::Reset);
    return;
  }
  this->Connecting = false;
  this->updatePollModes();
  if (this->Listener.Connected)
    this->Listener.Connected();
}

void ByteChannel::readAvailable() {
  const auto Self = this->shared_from_this();
  if (this->Budget != nullptr)
    this->Budget->relieve();
  if (this->Closed)
    return;
  static thread_local std::array<char, ReadBufferBytes> Buffer;
  std::optional<ChannelEnd> End;
  std::size_t ReceivedBytes = 0;
  bool MayHaveMore = true;
  while (ReceivedBytes < Buffer.size() && MayHaveMore && !End) {
    const std::size_t Room = Buffer.size() - ReceivedBytes;
    const ::ssize_t Count =
        this->receive(Buffer.data() + ReceivedBytes, Room, 0);
    MayHaveMore = this->ReadsUntilEmpty || Count < 0 ||
                  static_cast<std::size_t>(Count) == Room;
    if (Count > 0)
      ReceivedBytes += static_cast<std::size_t>(Count);
    else if (Count == 0)
      End = this->Failed ? ChannelEnd::Reset : ChannelEnd::Finished;
    else if (errno == EAGAIN || errno == EWOULDBLOCK)
      break;
    else if (errno != EINTR)
      End = ChannelEnd::Reset;
  }
  this->PeerClosed = End.has_value();
  if (this->Finishing)
    this->DiscardedBytes += ReceivedBytes;
  else if (ReceivedBytes > 0 && this->Listener.Received)
    this->Listener.Received({Buffer.data(), ReceivedBytes});
  if (End)
    this->onPeerEnd(*End);
}

void ByteChannel::write(std::string_view Bytes) {
  if (this->Closed || this->Finishing)
    return;
  this->SendBuffer.append(Bytes);
  this->Share.set(heapBytes(this->SendBuffer));
  if (!this->Connecting)
    this->flush();
}

/// Notes a failure of the connection that a system call has returned. A write
/// behind the peer's orderly close fails with EPIPE, which does not make that
/// close a reset.
void ByteChannel::recordFailure(int ErrorNumber) {
  const bool IsFailure = ErrorNumber != EAGAIN && ErrorNumber != EWOULDBLOCK &&
                         ErrorNumber != EINTR && ErrorNumber != EPIPE;
  this->Failed = this->Failed || IsFailure;
}

::ssize_t ByteChannel::receive(char *Buffer, std::size_t Size, int Flags) {
  const ::ssize_t Count =
      ::recv(this->Socket.impl()->sockfd(), Buffer, Size, Flags | MSG_DONTWAIT);
  if (Count < 0)
    this->recordFailure(errno);
  return Count;
}

::ssize_t ByteChannel::sendBuffered() {
  const ::ssize_t Count =
      ::send(this->Socket.impl()->sockfd(), this->SendBuffer.data(),
             this->SendBuffer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Count < 0)
    this->recordFailure(errno);
  return Count;
}

bool ByteChannel::inputIdle() {
  return !this->Closed && this->peekInput() == PendingInput::None;
}

ByteChannel::PendingInput ByteChannel::peekInput() {
  char FirstByte = 0;
  const ::ssize_t Count =
      this->receive(&FirstByte, sizeof(FirstByte), MSG_PEEK);
  if (Count > 0)
    return PendingInput::Bytes;
  const bool IsEmpty = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return IsEmpty ? PendingInput::None : PendingInput::End;
}

/// Whether the peer has acknowledged everything that was sent. A reset would
/// destroy unacknowledged bytes in flight.
bool ByteChannel::allAcknowledged() const {
  return unacknowledgedBytes(this->Socket.impl()->sockfd()) == 0;
}

void ByteChannel::flush() {
  this->sendPending();
  if (this->SendBuffer.empty() && this->Finishing && !this->SendShutDown)
    this->shutdownSend();
  this->startStallTimer();
  this->updatePollModes();
}

void ByteChannel::sendPending() {
  while (!this->SendBuffer.empty()) {
    const ::ssize_t Count = this->sendBuffered();
    if (Count < 0 && errno == EINTR)
      continue;
    // The read side reports the error after delivering what the peer has sent,
    // so reading is resumed if it was paused.
    if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      this->SendBuffer.clear();
      this->ReadingPaused = false;
    }
    if (Count <= 0)
      break;
    this->SentBytes += static_cast<std::uint64_t>(Count);
    this->SendBuffer.erase(0, static_cast<std::size_t>(Count));
  }
  releaseIfEmpty(this->SendBuffer);
  this->Share.set(heapBytes(this->SendBuffer));
}

/// The limit for the peer's close starts here, because the peer cannot respond
/// to the end of the stream earlier.
void ByteChannel::shutdownSend() {
  this->SendShutDown = true;
  try {
    this->Socket.shutdownSend();
  } catch (const Poco::Exception &) {
    this->release();
    return;
  }
  this->releaseAfter(PeerCloseTimeout);
}

void ByteChannel::releaseAfter(Duration Timeout) {
  this->Loop.cancel(this->FinishTimer);
  this->FinishTimer = this->Loop.after(
      Timeout, [Self = this->shared_from_this()] { Self->release(); });
}

void ByteChannel::startStallTimer() {
  if (this->Closed || this->SendBuffer.empty() || this->StallTimer != 0)
    return;
  this->StallTimer =
      this->Loop.after(StallTimeout, [Self = this->shared_from_this(),
                                      SentBefore = this->SentBytes] {
        Self->StallTimer = 0;
        if (Self->SentBytes == SentBefore && !Self->SendBuffer.empty())
          Self->onPeerEnd(ChannelEnd::Reset);
        else
          Self->startStallTimer();
      });
}

void ByteChannel::updatePollModes() {
  if (this->Closed || this->Connecting)
    return;
  int Modes = Poco::Net::PollSet::POLL_ERROR;
  if (!this->ReadingPaused)
    Modes |= Poco::Net::PollSet::POLL_READ;
  if (!this->SendBuffer.empty())
    Modes |= Poco::Net::PollSet::POLL_WRITE;
  this->Loop.update(this->Socket, Modes);
}

void ByteChannel::pauseReading() {
  this->ReadingPaused = true;
  this->updatePollModes();
}

void ByteChannel::resumeReading() {
  this->ReadingPaused = false;
  this->updatePollModes();
}

void ByteChannel::finish() {
  if (this->Closed || this->Finishing)
    return;
  this->Finishing = true;
  this->ReadingPaused = false;
  this->releaseAfter(FinishTimeout);
  this->flush();
}

void ByteChannel::close() { this->release(); }

bool ByteChannel::closeIfIdle() {
  if (!this->SendBuffer.empty() || !this->inputIdle() ||
      !this->allAcknowledged())
    return false;
  this->release();
  return true;
}

void ByteChannel::abort() {
  if (this->Closed)
    return;
  this->enableResetOnClose();
  this->release();
}

void ByteChannel::enableResetOnClose() {
  try {
    this->Socket.setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // The connection has failed already and only needs to be closed.
  }
}

void ByteChannel::onPeerEnd(ChannelEnd End) {
  if (this->Closed)
    return;
  const bool ShouldNotify = !this->Finishing && this->Listener.Ended;
  this->release();
  if (ShouldNotify)
    this->Listener.Ended(End);
}

void ByteChannel::release() {
  if (this->Closed)
    return;
  const auto Self = this->shared_from_this();
  const ChannelLoss Loss = this->lossAtRelease();
  if (!this->SendBuffer.empty() || (this->CloseDelimited && !this->Finishing))
    this->enableResetOnClose();
  this->Closed = true;
  this->Loop.cancel(this->FinishTimer);
  this->Loop.cancel(this->StallTimer);
  this->Loop.remove(this->Socket);
  this->Socket.close();
  std::string().swap(this->SendBuffer);
  this->Share.set(0);
  if (const auto Callback = std::exchange(this->ReleaseCallback, {}))
    Callback(Loss);
}

ChannelLoss ByteChannel::lossAtRelease() {
  ChannelLoss Loss;
  if (!this->PeerClosed)
    Loss.UnsentBytes = this->SendBuffer.size();
  if (!this->ReleaseCallback)
    return Loss;
  Loss.DiscardedBytes = this->DiscardedBytes;
  Loss.HasUnreadInput =
      !this->PeerClosed && this->peekInput() == PendingInput::Bytes;
  if (Loss.any())
    Loss.PeerAddress = this->peerAddress();
  return Loss;
}

std::string ByteChannel::peerAddress() const {
  try {
    return this->Socket.peerAddress().toString();
  } catch (const Poco::Exception &) {
    // The peer has reset the connection, so the system has no address.
    return {};
  }
}

} // namespace parsleywing
