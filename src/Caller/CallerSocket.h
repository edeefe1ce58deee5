#ifndef PARSLEYWING_CALLER_CALLERSOCKET_H
#define PARSLEYWING_CALLER_CALLERSOCKET_H

#include "Caller/CallerCounters.h"
#include "Runtime/Clock.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <chrono>

namespace parsleywing {

/// The socket of one caller, with the limits that POCO's server lacks. POCO
/// limits each single read and each header field: a caller that sends a byte
/// every few seconds would hold a thread for hours, and a hundred long fields
/// would take most of a megabyte. This bounds a request as a whole, beneath
/// everything that POCO reads. Used by the thread of the connection only.
class CallerSocketImpl : public Poco::Net::StreamSocketImpl {
public:
  /// Borrows the descriptor of `Accepted`, which stays its owner and has to
  /// outlive this object.
  CallerSocketImpl(const Poco::Net::StreamSocket &Accepted, CallerCounters &C)
      : StreamSocketImpl(Accepted.impl()->sockfd()), Counters(C) {}

  /// A request begins: its bytes are to come within `Timeout`, its head within
  /// `MaxHeadBytes`.
  void beginHead(Duration Timeout, std::uint64_t MaxHeadBytes);

  /// The head is whole; only the time is limited from here on.
  void endHead() { this->HeadLeft = UINT64_MAX; }

  /// While set, bytes wait for those that follow (at most the system's 200 ms),
  /// so that the pieces that POCO sends one by one travel in one segment and
  /// wake the caller once.
  void setMoreFollows(bool Follows) { this->MoreFollows = Follows; }

  /// The connection is to end with a reset.
  void enableResetOnClose();
  bool willReset() const { return this->Resets; }

  bool receiveTimedOut() const { return this->TimedOut; }
  bool headTooLarge() const { return this->TooLarge; }

  /// Leaves the descriptor to its owner. POCO's session closes its socket as it
  /// ends; the owner would close the number a second time, and by then it may
  /// be another connection's.
  void close() override { this->reset(); }

  /// POCO ends the sending side of an answer without a stated end as the
  /// response is destroyed; a connection that is to be reset must not end so.
  void shutdownSend() override;

  int receiveBytes(void *Buffer, int Length, int Flags) override;
  int sendBytes(const void *Buffer, int Length, int Flags) override;
  using StreamSocketImpl::receiveBytes;
  using StreamSocketImpl::sendBytes;

protected:
  /// Gives the descriptor back unclosed.
  ~CallerSocketImpl() override { this->reset(); }

private:
  using SteadyClock = std::chrono::steady_clock;

  CallerCounters &Counters;
  SteadyClock::time_point Deadline;
  std::uint64_t HeadLeft = UINT64_MAX;
  bool TimedOut = false;
  bool TooLarge = false;
  bool MoreFollows = false;
  bool Resets = false;
};

/// Makes a stream socket of an own implementation, which POCO allows only to
/// derived classes.
class CallerSocket : public Poco::Net::StreamSocket {
public:
  explicit CallerSocket(CallerSocketImpl *Impl) : StreamSocket(Impl) {}
};

} // namespace parsleywing

#endif
