#ifndef PARSLEYWING_LOOP_BYTECHANNEL_H
#define PARSLEYWING_LOOP_BYTECHANNEL_H

#include "Loop/EventLoop.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <memory>
#include <string>
#include <string_view>

namespace parsleywing {

/// How the peer ended a connection.
enum class ChannelEnd {
  Finished, ///< It closed in order: all it sent has come.
  Reset,    ///< It broke: bytes may be missing.
};

/// What a connection lost as it was released.
struct ChannelLoss {
  /// Bytes that were written and that the system had not taken, where the peer
  /// had not ended the connection before.
  std::size_t UnsentBytes = 0;
  /// Bytes that came behind `finish` and were told nobody.
  std::size_t DiscardedBytes = 0;
  /// Bytes of the peer waited in the system.
  bool HasUnreadInput = false;
  /// The peer's IP and port where anything was lost; empty where the system
  /// does not know them any more.
  std::string PeerAddress;

  bool any() const {
    return this->UnsentBytes + this->DiscardedBytes > 0 || this->HasUnreadInput;
  }
};

/// What a connection tells its owner, on the loop's thread. Nothing is told
/// after `close`, `finish` or `abort`.
struct ChannelListener {
  std::function<void()> Connected;
  std::function<void(std::string_view)> Received;
  std::function<void(ChannelEnd)> Ended;
  /// All that was written has been taken by the system.
  std::function<void()> Drained;
};

/// One TCP connection on an event loop. Writes are buffered without a bound;
/// the owner looks at `unsent` and stops its source. A peer that takes none of
/// what waits for 15 s is given up, as if it had reset the connection.
/// Wherever a connection ends while bytes still wait, its peer sees a reset:
/// what it has must not look whole. The loop keeps the object alive until the
/// connection is closed.
class ByteChannel : public std::enable_shared_from_this<ByteChannel> {
public:
  /// Takes over an accepted connection. Null where it is of no use any more.
  static std::shared_ptr<ByteChannel>
  fromAccepted(EventLoop &Loop, const Poco::Net::StreamSocket &Socket);

  /// Begins to connect; `Connected` or `Ended` tells the outcome. Null where
  /// the system refuses at once (no descriptor left, no way there).
  static std::shared_ptr<ByteChannel>
  connect(EventLoop &Loop, const Poco::Net::SocketAddress &Address);

  ByteChannel(EventLoop &L, const Poco::Net::StreamSocket &S,
              bool NotYetConnected);
  ByteChannel(const ByteChannel &) = delete;
  ByteChannel &operator=(const ByteChannel &) = delete;

  void setListener(ChannelListener Wanted) {
    this->Listener = std::move(Wanted);
  }

  /// Called once as the connection is released, by whichever side, with what it
  /// lost. Costs a call of the system then.
  void setReleaseCallback(std::function<void(const ChannelLoss &)> Told) {
    this->ReleaseCallback = std::move(Told);
  }

  /// Sends what the system takes at once and keeps the rest.
  void write(std::string_view Bytes);

  std::size_t unsent() const { return this->SendBuffer.size(); }
  /// Whether any byte has been handed to the system.
  bool anySent() const { return this->SentBytes > 0; }
  bool isOpen() const { return !this->Closed; }
  /// Whether the peer has sent neither bytes nor its end since the last read.
  /// Costs a call.
  bool inputIdle() const;
  /// The peer's end was read behind the bytes that are being told.
  bool peerClosed() const { return this->PeerClosed; }
  /// `finish` was called and the peer has not closed yet.
  bool finishing() const { return this->Finishing && !this->Closed; }

  /// Stops and starts reading, for a reader that cannot keep up.
  void pauseReading();
  void resumeReading();

  /// Sends the rest for as long as the peer takes any of it, a minute at most,
  /// ends the stream in order, and waits briefly for the peer to close: a close
  /// with unread bytes would reset the connection and could destroy the answer
  /// on its way.
  void finish();

  /// Closes at once.
  void close();

  /// Closes at once where no bytes wait on either side or are on their way to
  /// the peer; false where it stays open. Bytes that come later are answered by
  /// a reset, unread: their sender learns that nobody has acted on them.
  /// `finish` would read and drop them.
  bool closeIfIdle();

  /// Closes with a reset, so that the peer cannot take what it has for whole.
  void abort();

  /// From now on any end but `finish` is a reset: the peer takes the end of the
  /// connection for the end of the answer.
  void resetUnlessFinished() { this->CloseDelimited = true; }

private:
  /// What of the peer waits in the system.
  enum class PendingInput { None, Bytes, End };

  void start();
  void onReady(int Modes);
  void onConnected();
  void readAvailable();
  void flush();
  void sendPending();
  void shutdownSend();
  void releaseAfter(Duration Limit);
  void startStallTimer();
  void updatePollModes();
  void onPeerEnd(ChannelEnd How);
  void release();
  void enableResetOnClose();
  ChannelLoss lossAtRelease() const;
  PendingInput peekInput() const;
  bool allAcknowledged() const;
  std::string peerAddress() const;

  EventLoop &Loop;
  Poco::Net::StreamSocket Socket;
  ChannelListener Listener;
  std::function<void(const ChannelLoss &)> ReleaseCallback;
  std::string SendBuffer;
  std::uint64_t SentBytes = 0;
  std::size_t DiscardedBytes = 0;
  TimerId FinishTimer = 0;
  TimerId StallTimer = 0;
  bool Connecting;
  bool ReadingPaused = false;
  bool Finishing = false;
  bool SendShutDown = false;
  bool Closed = false;
  bool PeerClosed = false;
  /// An orderly end tells the peer that the answer is whole.
  bool CloseDelimited = false;
};

} // namespace parsleywing

#endif
