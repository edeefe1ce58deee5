#include "Caller/CallerSocket.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <sys/socket.h>

namespace parsleywing {

void CallerSocketImpl::beginHead(Duration Timeout, std::uint64_t MaxHeadBytes) {
  this->Deadline = SteadyClock::now() + Timeout;
  this->HeadLeft = MaxHeadBytes;
  this->TimedOut = false;
  this->TooLarge = false;
}

void CallerSocketImpl::enableResetOnClose() {
  this->Resets = true;
  try {
    this->setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // The caller has left already.
  }
}

void CallerSocketImpl::shutdownSend() {
  if (!this->Resets)
    StreamSocketImpl::shutdownSend();
}

int CallerSocketImpl::receiveBytes(void *Buffer, int Length, int Flags) {
  const auto Left =
      std::chrono::duration_cast<Duration>(this->Deadline - SteadyClock::now());
  if (Left <= Duration::zero() || !this->poll(Poco::Timespan(Left.count()),
                                              Poco::Net::Socket::SELECT_READ)) {
    this->TimedOut = true;
    throw Poco::TimeoutException("the request did not come in time");
  }
  if (this->HeadLeft == 0) {
    this->TooLarge = true;
    throw Poco::Net::MessageException("the head of the request is too large");
  }
  const int Received = StreamSocketImpl::receiveBytes(Buffer, Length, Flags);
  if (Received <= 0)
    return Received;
  const auto Count = static_cast<std::uint64_t>(Received);
  this->Counters.BytesReceived += Count;
  if (this->HeadLeft != UINT64_MAX)
    this->HeadLeft -= std::min(this->HeadLeft, Count);
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
