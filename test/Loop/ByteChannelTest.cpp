#include "Loop/ByteChannel.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

/// More than the system buffers for a connection whose peer does not read.
constexpr std::size_t LargeResponse = 32U << 20U;

/// A connection with its own loop and paused clock, and the peer's socket.
class Connection {
public:
  Connection() : Server(Poco::Net::SocketAddress("127.0.0.1:0")) {
    this->Peer.connect(this->Server.address());
    this->Peer.setReceiveTimeout(Poco::Timespan(2, 0));
    this->Channel =
        ByteChannel::fromAccepted(this->Loop, this->Server.acceptConnection());
    this->LoopThread = std::thread([this] { this->Loop.run(); });
  }

  ~Connection() {
    this->Loop.stop();
    this->LoopThread.join();
  }

  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Runs a task on the loop's thread and waits for it.
  void onLoop(const std::function<void()> &Task) {
    std::promise<void> Done;
    this->Loop.post([&] {
      Task();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  /// Advances the clock and waits until the loop has run its timers.
  void advance(Duration Step) {
    this->Time.advance(Step);
    // The current iteration may have read the clock earlier, and tasks run
    // before the timers of their iteration.
    for (int Iteration = 0; Iteration < 3; ++Iteration)
      this->onLoop([] {});
  }

  /// Reads until the connection ends, at most `MaxBytes`.
  std::size_t readUpTo(std::size_t MaxBytes) {
    std::vector<char> Buffer(1U << 20U);
    std::size_t ReadBytes = 0;
    try {
      while (ReadBytes < MaxBytes) {
        const int Count = this->Peer.receiveBytes(
            Buffer.data(),
            static_cast<int>(std::min(Buffer.size(), MaxBytes - ReadBytes)));
        if (Count <= 0)
          break;
        ReadBytes += static_cast<std::size_t>(Count);
      }
    } catch (const Poco::Exception &) {
      this->WasReset = true;
    }
    return ReadBytes;
  }

  Clock Time = Clock::paused();
  EventLoop Loop{Time};
  Poco::Net::ServerSocket Server;
  Poco::Net::StreamSocket Peer;
  std::shared_ptr<ByteChannel> Channel;
  bool WasReset = false;

private:
  std::thread LoopThread;
};

} // namespace

// Guards against a truncated response if the peer needs more time to read it
// than a finished connection waits for the peer's close.
Test(ByteChannel, finishSendsAllBufferedBytes, .timeout = 30) {
  Connection C;
  C.onLoop([&C] {
    C.Channel->write(std::string(LargeResponse, 'x'));
    C.Channel->finish();
  });
  std::size_t ReadBytes = C.readUpTo(LargeResponse / 2);
  C.advance(3s);
  ReadBytes += C.readUpTo(LargeResponse);
  cr_assert_eq(ReadBytes, LargeResponse, "read %zu", ReadBytes);
  cr_assert_not(C.WasReset);
}

// Guards against a connection that stays open forever because its peer stalls
// while a response is being sent.
Test(ByteChannel, stalledPeerIsDisconnected, .timeout = 30) {
  Connection C;
  bool Ended = false;
  C.onLoop([&C, &Ended] {
    C.Channel->setReleaseCallback(
        [&Ended](const ChannelLoss &Loss) { Ended = Loss.UnsentBytes > 0; });
    C.Channel->write(std::string(LargeResponse, 'x'));
    C.Channel->finish();
  });
  C.advance(14s);
  cr_assert_not(Ended);
  C.advance(2s);
  cr_assert(Ended);
}

// Guards against a truncated response that looks complete to a caller that
// takes the close of the connection as the end of the response.
Test(ByteChannel, closeWithUnsentBytesIsAReset, .timeout = 30) {
  Connection C;
  C.onLoop([&C] {
    C.Channel->write(std::string(LargeResponse, 'x'));
    C.Channel->close();
  });
  const std::size_t ReadBytes = C.readUpTo(LargeResponse);
  cr_assert_lt(ReadBytes, LargeResponse);
  cr_assert(C.WasReset);
}

namespace {

/// What the owner of a channel has heard of its peer.
struct Heard {
  std::string Received;
  std::optional<ChannelEnd> End;
};

/// Runs a task on the loop after the peer has sent these bytes and ended the
/// connection, and returns what is heard of it. The channel reads nothing
/// before the task.
Heard heardAfter(const std::string &Bytes,
                 const std::function<void(Poco::Net::StreamSocket &)> &EndPeer,
                 const std::function<void(ByteChannel &)> &Task) {
  Connection C;
  Heard Result;
  std::promise<void> Ended;
  C.onLoop([&] {
    ChannelListener Listener;
    Listener.Received = [&Result](std::string_view Bytes) {
      Result.Received += Bytes;
    };
    Listener.Ended = [&](ChannelEnd End) {
      Result.End = End;
      Ended.set_value();
    };
    C.Channel->setListener(std::move(Listener));
    if (!Bytes.empty())
      C.Peer.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    EndPeer(C.Peer);
    std::this_thread::sleep_for(50ms);
    Task(*C.Channel);
  });
  Ended.get_future().wait_for(2s);
  return Result;
}

void resetPeer(Poco::Net::StreamSocket &Peer) {
  Peer.setLinger(true, 0);
  Peer.close();
}

} // namespace

// Guards against a reset that looks like an orderly close, because a write met
// it before a read did.
Test(ByteChannel, resetDetectedByAWriteIsNoOrderlyClose, .timeout = 30) {
  const Heard Result = heardAfter("part", resetPeer, [](ByteChannel &Channel) {
    Channel.write("rest of an upload");
  });
  cr_assert(Result.Received == "part", "%s", Result.Received.c_str());
  cr_assert(Result.End.has_value());
  cr_assert(*Result.End == ChannelEnd::Reset);
}

// The same of a look at the input that takes nothing from it.
Test(ByteChannel, resetDetectedByAPeekIsNoOrderlyClose, .timeout = 30) {
  const Heard Result = heardAfter("", resetPeer, [](ByteChannel &Channel) {
    static_cast<void>(Channel.inputIdle());
  });
  cr_assert(Result.End.has_value());
  cr_assert(*Result.End == ChannelEnd::Reset);
}

// Guards against an orderly close that looks like a reset, because the peer
// answers later writes with one.
Test(ByteChannel, orderlyCloseBeforeAResetStaysOne, .timeout = 30) {
  const Heard Result = heardAfter(
      "part",
      [](Poco::Net::StreamSocket &Peer) {
        Peer.shutdownSend();
        std::this_thread::sleep_for(20ms);
        resetPeer(Peer);
      },
      [](ByteChannel &Channel) { Channel.write("rest of an upload"); });
  cr_assert(Result.Received == "part", "%s", Result.Received.c_str());
  cr_assert(Result.End.has_value());
  cr_assert(*Result.End == ChannelEnd::Finished);
}

// Guards against a peer's reset that is never reported: a write fails with the
// reset while reading is paused, and the system reports an error only once.
Test(ByteChannel, resetDetectedByAWriteIsReported, .timeout = 30) {
  Connection C;
  std::atomic<bool> Ended{false};
  C.onLoop([&C, &Ended] {
    ChannelListener Listener;
    Listener.Ended = [&Ended](ChannelEnd) { Ended = true; };
    C.Channel->setListener(std::move(Listener));
    C.Channel->pauseReading();
    C.Peer.setLinger(true, 0);
    C.Peer.close();
    std::this_thread::sleep_for(50ms);
    C.Channel->write("chunk");
  });
  std::this_thread::sleep_for(200ms);
  cr_assert(Ended);
}

// Guards against a connection that stays open forever because its peer reads
// the last response very slowly.
Test(ByteChannel, finishedConnectionHasAnOverallLimit, .timeout = 30) {
  Connection C;
  std::atomic<bool> Released{false};
  C.onLoop([&C, &Released] {
    C.Channel->setReleaseCallback(
        [&Released](const ChannelLoss &) { Released = true; });
    C.Channel->write(std::string(LargeResponse, 'x'));
    C.Channel->finish();
  });
  for (int Step = 0; Step < 6; ++Step) {
    C.readUpTo(1U << 20U);
    C.advance(10s);
  }
  C.advance(1s);
  cr_assert(Released);
}

// Guards against a response that is destroyed by a reset in flight: the local
// system has accepted it, but the peer has not acknowledged it.
Test(ByteChannel, unacknowledgedBytesPreventCloseIfIdle, .timeout = 30) {
  Poco::Net::ServerSocket Server(Poco::Net::SocketAddress("127.0.0.1:0"));
  EventLoop Loop(Clock::paused());
  Poco::Net::StreamSocket Peer(Poco::Net::SocketAddress::IPv4);
  Peer.setReceiveBufferSize(4096);
  Peer.connect(Server.address());
  const auto Channel =
      ByteChannel::fromAccepted(Loop, Server.acceptConnection());
  Channel->write(std::string(100U << 10U, 'x'));
  cr_assert_eq(Channel->unsent(), 0U);
  cr_assert_not(Channel->closeIfIdle());
  cr_assert(Channel->isOpen());
}
