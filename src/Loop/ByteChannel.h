#ifndef PARSLEYWING_LOOP_BYTECHANNEL_H
#define PARSLEYWING_LOOP_BYTECHANNEL_H

#include "Loop/BufferBudget.h"
#include "Loop/EventLoop.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <memory>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace parsleywing {

/// How the peer ended a connection.
enum class ChannelEnd {
  Finished, ///< Orderly close: everything the peer sent has been received.
  Reset,    ///< The connection broke: bytes may be missing.
};

/// Data that was lost when a connection was released.
struct ChannelLoss {
  /// Bytes that were written but not yet accepted by the system, unless the
  /// peer had already closed the connection.
  std::size_t UnsentBytes = 0;
  /// Bytes that were received after `finish` and discarded.
  std::size_t DiscardedBytes = 0;
  /// Received bytes were still in the system's receive buffer.
  bool HasUnreadInput = false;
  /// The peer's IP and port if anything was lost; empty if the system no longer
  /// knows them.
  std::string PeerAddress;

  bool any() const {
    return this->UnsentBytes + this->DiscardedBytes > 0 || this->HasUnreadInput;
  }
};

/// Callbacks of a connection to its owner, called on the loop's thread. None is
/// called after `close`, `finish` or `abort`.
struct ChannelListener {
  std::function<void()> Connected;
  std::function<void(std::string_view)> Received;
  std::function<void(ChannelEnd)> Ended;
  /// The system has accepted everything that was written.
  std::function<void()> Drained;
};

/// One TCP connection on an event loop. The write buffer is bounded
/// only by the process's `BufferBudget`; the owner checks `unsent` and pauses
/// its source. If the peer accepts no buffered
/// bytes for 15 s, the connection is treated as reset by the peer. If a
/// connection ends with buffered bytes, the peer sees a reset, so that it
/// cannot mistake a truncated response for a complete one. The loop keeps the
/// object alive until the connection is closed.
class ByteChannel : public std::enable_shared_from_this<ByteChannel> {
public:
  /// Wraps an accepted connection. Null if the connection has already failed.
  static std::shared_ptr<ByteChannel>
  fromAccepted(EventLoop &Loop, const Poco::Net::StreamSocket &Socket);

  /// Starts connecting; `Connected` or `Ended` reports the outcome. Null if the
  /// system call fails immediately (no free descriptor, no route).
  static std::shared_ptr<ByteChannel>
  connect(EventLoop &Loop, const Poco::Net::SocketAddress &Address);
  /// The same from this local address, unless it is the wildcard.
  static std::shared_ptr<ByteChannel>
  connect(EventLoop &Loop, const Poco::Net::SocketAddress &Address,
          const Poco::Net::IPAddress &LocalAddress);

  ByteChannel(EventLoop &L, const Poco::Net::StreamSocket &S,
              bool IsConnecting);
  ByteChannel(const ByteChannel &) = delete;
  ByteChannel &operator=(const ByteChannel &) = delete;

  void setListener(ChannelListener NewListener) {
    this->Listener = std::move(NewListener);
  }

  /// Sets the callback that is called once when the connection is released, by
  /// either side, with the data that was lost. It costs one system call at
  /// release.
  void setReleaseCallback(std::function<void(const ChannelLoss &)> Callback) {
    this->ReleaseCallback = std::move(Callback);
  }

  /// Counts the write buffer in a budget, which must outlive the connection,
  /// and keeps to its limit before each read.
  void setBudget(BufferBudget &NewBudget, BufferUse Use) {
    this->Budget = &NewBudget;
    this->Share = BufferShare(NewBudget, Use);
  }

  /// Sends what the system accepts immediately and buffers the rest.
  void write(std::string_view Bytes);

  std::size_t unsent() const { return this->SendBuffer.size(); }
  /// Whether the system has accepted any byte.
  bool anySent() const { return this->SentBytes > 0; }
  bool isOpen() const { return !this->Closed; }
  /// Whether the peer has sent neither bytes nor a close since the last read.
  /// Costs one system call.
  bool inputIdle();
  /// Whether the peer's close was read after the bytes that are being
  /// delivered. Reliable only on accepted connections.
  bool peerClosed() const { return this->PeerClosed; }
  /// Whether `finish` was called and the connection is not closed yet.
  bool finishing() const { return this->Finishing && !this->Closed; }

  /// Stops and resumes reading, for a consumer that cannot keep up.
  void pauseReading();
  void resumeReading();

  /// Graceful close: sends the buffered bytes as long as the peer accepts some
  /// of them, for at most a minute, shuts down the sending side, and waits
  /// briefly for the peer to close. An immediate close with unread bytes would
  /// reset the connection and could destroy the response in flight.
  void finish();

  /// Closes immediately.
  void close();

  /// Closes immediately if no bytes are buffered on either side or in flight to
  /// the peer. Returns false if the connection stays open. Bytes that arrive
  /// later are answered with a reset, which shows the sender that they were not
  /// processed; `finish` would read and discard them.
  bool closeIfIdle();

  /// Closes with a reset, so that the peer cannot mistake what it has received
  /// for a complete response.
  void abort();

  /// From now on, ending the connection other than by `finish` sends a reset.
  /// For responses whose end is marked by the close of the connection.
  void resetUnlessFinished() { this->CloseDelimited = true; }

private:
  /// What the peer has sent that has not been read yet.
  enum class PendingInput { None, Bytes, End };

  void start();
  void onReady(int Modes);
  void onConnected();
  void readAvailable();
  void flush();
  void sendPending();
  void shutdownSend();
  void releaseAfter(Duration Timeout);
  void startStallTimer();
  void updatePollModes();
  void onPeerEnd(ChannelEnd End);
  void release();
  void enableResetOnClose();
  ChannelLoss lossAtRelease();
  PendingInput peekInput();
  ::ssize_t receive(char *Buffer, std::size_t Size, int Flags);
  ::ssize_t sendBuffered();
  void recordFailure(int ErrorNumber);
  bool allAcknowledged() const;
  std::string peerAddress() const;

  EventLoop &Loop;
  Poco::Net::StreamSocket Socket;
  ChannelListener Listener;
  std::function<void(const ChannelLoss &)> ReleaseCallback;
  std::string SendBuffer;
  BufferBudget *Budget = nullptr;
  BufferShare Share;
  std::uint64_t SentBytes = 0;
  std::size_t DiscardedBytes = 0;
  TimerId FinishTimer = 0;
  TimerId StallTimer = 0;
  bool Connecting;
  /// On accepted connections, a close behind the bytes is read with them: a
  /// request whose caller has left is not processed. Otherwise a short read is
  /// the last one of a wake-up, and the next poll reports a close: with one
  /// system call less for each event of a stream, a router spends 15 % less
  /// processor time.
  bool ReadsUntilEmpty;
  bool ReadingPaused = false;
  bool Finishing = false;
  bool SendShutDown = false;
  bool Closed = false;
  bool PeerClosed = false;
  /// A call has met a failure of the connection. The system reports it once;
  /// later reads return the same as behind an orderly close.
  bool Failed = false;
  /// The peer takes an orderly close as the end of a complete response.
  bool CloseDelimited = false;
};

} // namespace parsleywing

#endif
