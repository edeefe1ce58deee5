#ifndef PARSLEYWING_CALLER_CALLERSOCKET_H
#define PARSLEYWING_CALLER_CALLERSOCKET_H

#include "Caller/CallerCounters.h"
#include "Runtime/Clock.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <chrono>

namespace parsleywing {

/// The socket implementation of one caller connection. Enforces limits that
/// POCO's server lacks: POCO limits each single read and each header field, so
/// a caller that sends a byte every few seconds could hold a thread for hours,
/// and a hundred long fields could take most of a megabyte. This class limits a
/// request as a whole, below everything that POCO reads. Used only by the
/// connection's thread.
class CallerSocketImpl : public Poco::Net::StreamSocketImpl {
public:
  /// Borrows the file descriptor of `Accepted`, which remains its owner and
  /// must outlive this object.
  CallerSocketImpl(const Poco::Net::StreamSocket &Accepted, CallerCounters &C)
      : StreamSocketImpl(Accepted.impl()->sockfd()), Counters(C) {}

  /// Starts a request: all its bytes must arrive within `Timeout`, and its head
  /// must not exceed `MaxHeadBytes`.
  void beginHead(Duration Timeout, std::uint64_t MaxHeadBytes);

  /// The head is complete: only the time is limited from here on.
  void endHead() { this->RemainingHeadBytes = UINT64_MAX; }

  /// While set, sends with MSG_MORE: the kernel holds data back for up to
  /// 200 ms, so that consecutive writes of POCO share one segment and wake the
  /// caller once.
  void setMoreFollows(bool Follows) { this->MoreFollows = Follows; }

  /// Makes closing the connection send a reset (RST).
  void enableResetOnClose();
  bool willReset() const { return this->ResetOnClose; }

  bool receiveTimedOut() const { return this->TimedOut; }
  bool headTooLarge() const { return this->HeadTooLarge; }

  /// Detaches from the descriptor without closing it. POCO's session closes its
  /// socket when it is destroyed; the owner would then close the same number a
  /// second time, when it may already belong to another connection.
  void close() override { this->reset(); }

  /// Does nothing if the connection is to be reset. POCO calls it when a
  /// response delimited by the end of the connection is destroyed, and a FIN
  /// would make a truncated response look complete.
  void shutdownSend() override;

  int receiveBytes(void *Buffer, int Length, int Flags) override;
  int sendBytes(const void *Buffer, int Length, int Flags) override;
  using StreamSocketImpl::receiveBytes;
  using StreamSocketImpl::sendBytes;

protected:
  /// Detaches from the descriptor without closing it.
  ~CallerSocketImpl() override { this->reset(); }

private:
  using SteadyClock = std::chrono::steady_clock;

  CallerCounters &Counters;
  SteadyClock::time_point Deadline;
  std::uint64_t RemainingHeadBytes = UINT64_MAX;
  bool TimedOut = false;
  bool HeadTooLarge = false;
  bool MoreFollows = false;
  bool ResetOnClose = false;
};

/// A stream socket with a custom implementation; POCO lets only derived classes
/// set one.
class CallerSocket : public Poco::Net::StreamSocket {
public:
  explicit CallerSocket(CallerSocketImpl *Impl) : StreamSocket(Impl) {}
};

} // namespace parsleywing

#endif
