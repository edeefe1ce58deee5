#include "Caller/CallerSocket.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <sys/socket.h>

namespace parsleywing {

void CallerSocketImpl::beginHead(Duration Timeout, std::uint64_t MaxHeadBytes) {
  this->Deadline = SteadyClock::now() + Timeout;
  this->RemainingHeadBytes = MaxHeadBytes;
  this->TimedOut = false;
  this->HeadTooLarge = false;
}

void CallerSocketImpl::enableResetOnClose() {
  this->ResetOnClose = true;
  try {
    this->setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // The caller has already disconnected.
  }
}

void CallerSocketImpl::shutdownSend() {
  if (!this->ResetOnClose)
    StreamSocketImpl::shutdownSend();
}

int CallerSocketImpl::receiveBytes(void *Buffer, int Length, int Flags) {
  const auto TimeLeft =
      std::chrono::duration_cast<Duration>(this->Deadline - SteadyClock::now());
  if (TimeLeft <= Duration::zero() ||
      !this->poll(Poco::Timespan(TimeLeft.count()),
                  Poco::Net::Socket::SELECT_READ)) {
    this->TimedOut = true;
    throw Poco::TimeoutException("the request did not come in time");
  }
  if (this->RemainingHeadBytes == 0) {
    this->HeadTooLarge = true;
    throw Poco::Net::MessageException("the head of the request is too large");
  }
  const int Received = StreamSocketImpl::receiveBytes(Buffer, Length, Flags);
  if (Received <= 0)
    return Received;
  const auto Count = static_cast<std::uint64_t>(Received);
  this->Counters.BytesReceived += Count;
  if (this->RemainingHeadBytes != UINT64_MAX)
    this->RemainingHeadBytes -= std::min(this->RemainingHeadBytes, Count);
  return Received;
}

int CallerSocketImpl::sendBytes(const void *Buffer, int Length, int Flags) {
  const int Sent = StreamSocketImpl::sendBytes(
      Buffer, Length, this->MoreFollows ? Flags | MSG_MORE : Flags);
  if (Sent > 0)
    this->Counters.BytesSent += static_cast<std::uint64_t>(Sent);
  return Sent;
}

} // namespace parsleywing
