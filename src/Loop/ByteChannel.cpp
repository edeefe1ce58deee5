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

constexpr std::size_t ReadBytes = 64U << 10U;

// Reads and sends go past the library, and each is told not to wait: to make a
// socket of the library so costs two calls of the system a connection.

/// How long a connection waits for the peer's close behind its own end.
constexpr Duration FinishLimit = std::chrono::seconds(2);

/// How long a finished connection may take to send what waits, however slowly
/// its peer takes it.
constexpr Duration SendingLimit = std::chrono::seconds(60);

/// How long a peer may take none of the bytes that wait for it.
constexpr Duration TakingLimit = std::chrono::seconds(15);

} // namespace

std::shared_ptr<ByteChannel>
ByteChannel::accepted(EventLoop &Loop, const Poco::Net::StreamSocket &Socket) {
  try {
    auto Channel = std::make_shared<ByteChannel>(Loop, Socket, false);
    Channel->begin();
    return Channel;
  } catch (const Poco::Exception &) {
    // Its peer may have reset it already; the socket closes with its owner.
    return nullptr;
  }
}

std::shared_ptr<ByteChannel>
ByteChannel::connecting(EventLoop &Loop,
                        const Poco::Net::SocketAddress &Address) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connectNB(Address);
    auto Channel = std::make_shared<ByteChannel>(Loop, Socket, true);
    Channel->begin();
    return Channel;
  } catch (const Poco::Exception &) {
    // The caller takes null as "no connection", like a refused one.
    return nullptr;
  }
}

ByteChannel::ByteChannel(EventLoop &L, const Poco::Net::StreamSocket &S,
                         bool NotYetConnected)
    : Loop(L), Socket(S), Connecting(NotYetConnected) {}

void ByteChannel::begin() {
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
    if (!this->Closed && this->Out.empty() && !this->Finishing &&
        this->Listener.Drained)
      this->Listener.Drained();
  }
}

void ByteChannel::onConnected() {
  // A loop that was late may find the peer's end behind the connection's begin.
  if (this->Socket.impl()->socketError() != 0 || !this->quiet()) {
    this->peerEnded(ChannelEnd::Reset);
    return;
  }
  this->Connecting = false;
  this->watchModes();
  if (this->Listener.Connected)
    this->Listener.Connected();
}

void ByteChannel::readAvailable() {
  static thread_local std::array<char, ReadBytes> Buffer;
  std::optional<ChannelEnd> End;
  std::size_t Filled = 0;
  while (Filled < Buffer.size() && !End) {
    const ::ssize_t Count =
        ::recv(this->Socket.impl()->sockfd(), Buffer.data() + Filled,
               Buffer.size() - Filled, MSG_DONTWAIT);
    if (Count > 0)
      Filled += static_cast<std::size_t>(Count);
    else if (Count == 0)
      End = ChannelEnd::Finished;
    else if (errno == EAGAIN || errno == EWOULDBLOCK)
      break;
    else if (errno != EINTR)
      End = ChannelEnd::Reset;
  }
  this->PeerClosed = End.has_value();
  if (this->Finishing)
    this->DiscardedBytes += Filled;
  else if (Filled > 0 && this->Listener.Received)
    this->Listener.Received({Buffer.data(), Filled});
  if (End)
    this->peerEnded(*End);
}

void ByteChannel::write(std::string_view Bytes) {
  if (this->Closed || this->Finishing)
    return;
  this->Out.append(Bytes);
  if (!this->Connecting)
    this->flush();
}

bool ByteChannel::quiet() const {
  return !this->Closed && this->peek() == Waiting::Nothing;
}

ByteChannel::Waiting ByteChannel::peek() const {
  char First = 0;
  const ::ssize_t Count = ::recv(this->Socket.impl()->sockfd(), &First,
                                 sizeof(First), MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return Waiting::Bytes;
  const bool Nothing = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return Nothing ? Waiting::Nothing : Waiting::End;
}

/// Whether the peer's system has confirmed all that was sent: a reset would
/// destroy the rest on its way.
bool ByteChannel::allConfirmed() const {
  return unconfirmedBytes(this->Socket.impl()->sockfd()) == 0;
}

void ByteChannel::flush() {
  this->sendWaiting();
  if (this->Out.empty() && this->Finishing && !this->SendingEnded)
    this->endSending();
  this->watchTaking();
  this->watchModes();
}

void ByteChannel::sendWaiting() {
  while (!this->Out.empty()) {
    const ::ssize_t Count =
        ::send(this->Socket.impl()->sockfd(), this->Out.data(),
               this->Out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    // The read side reports the end with what the peer still sent, also where
    // reading was paused.
    if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      this->Out.clear();
      this->Paused = false;
    }
    if (Count <= 0)
      break;
    this->SentBytes += static_cast<std::uint64_t>(Count);
    this->Out.erase(0, static_cast<std::size_t>(Count));
  }
}

/// Only from here on does the peer's close count as late: until now it had no
/// end to answer.
void ByteChannel::endSending() {
  this->SendingEnded = true;
  try {
    this->Socket.shutdownSend();
  } catch (const Poco::Exception &) {
    this->release();
    return;
  }
  this->releaseAfter(FinishLimit);
}

void ByteChannel::releaseAfter(Duration Limit) {
  this->Loop.cancel(this->FinishTimer);
  this->FinishTimer = this->Loop.after(
      Limit, [Self = this->shared_from_this()] { Self->release(); });
}

void ByteChannel::watchTaking() {
  if (this->Closed || this->Out.empty() || this->TakingTimer != 0)
    return;
  this->TakingTimer = this->Loop.after(
      TakingLimit, [Self = this->shared_from_this(), Before = this->SentBytes] {
        Self->TakingTimer = 0;
        if (Self->SentBytes == Before && !Self->Out.empty())
          Self->peerEnded(ChannelEnd::Reset);
        else
          Self->watchTaking();
      });
}

void ByteChannel::watchModes() {
  if (this->Closed || this->Connecting)
    return;
  int Modes = Poco::Net::PollSet::POLL_ERROR;
  if (!this->Paused)
    Modes |= Poco::Net::PollSet::POLL_READ;
  if (!this->Out.empty())
    Modes |= Poco::Net::PollSet::POLL_WRITE;
  this->Loop.update(this->Socket, Modes);
}

void ByteChannel::pauseReading() {
  this->Paused = true;
  this->watchModes();
}

void ByteChannel::resumeReading() {
  this->Paused = false;
  this->watchModes();
}

void ByteChannel::finish() {
  if (this->Closed || this->Finishing)
    return;
  this->Finishing = true;
  this->Paused = false;
  this->releaseAfter(SendingLimit);
  this->flush();
}

void ByteChannel::close() { this->release(); }

bool ByteChannel::closeIfQuiet() {
  if (!this->Out.empty() || !this->quiet() || !this->allConfirmed())
    return false;
  this->release();
  return true;
}

void ByteChannel::abort() {
  if (this->Closed)
    return;
  this->resetOnClose();
  this->release();
}

void ByteChannel::resetOnClose() {
  try {
    this->Socket.setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // The connection is gone already; the close is all that is left.
  }
}

void ByteChannel::peerEnded(ChannelEnd How) {
  if (this->Closed)
    return;
  const bool Tell = !this->Finishing && this->Listener.Ended;
  this->release();
  if (Tell)
    this->Listener.Ended(How);
}

void ByteChannel::release() {
  if (this->Closed)
    return;
  const auto Self = this->shared_from_this();
  const ChannelLoss Loss = this->loss();
  if (!this->Out.empty() || (this->EndIsMeant && !this->Finishing))
    this->resetOnClose();
  this->Closed = true;
  this->Loop.cancel(this->FinishTimer);
  this->Loop.cancel(this->TakingTimer);
  this->Loop.remove(this->Socket);
  this->Socket.close();
  this->Out.clear();
  if (const auto Tell = std::exchange(this->TellReleased, {}))
    Tell(Loss);
}

ChannelLoss ByteChannel::loss() const {
  ChannelLoss Loss;
  if (!this->PeerClosed)
    Loss.Unsent = this->Out.size();
  if (!this->TellReleased)
    return Loss;
  Loss.Discarded = this->DiscardedBytes;
  Loss.Unread = !this->PeerClosed && this->peek() == Waiting::Bytes;
  if (Loss.any())
    Loss.Peer = this->peer();
  return Loss;
}

std::string ByteChannel::peer() const {
  try {
    return this->Socket.peerAddress().toString();
  } catch (const Poco::Exception &) {
    // The peer has reset the connection.
    return {};
  }
}

} // namespace parsleywing
