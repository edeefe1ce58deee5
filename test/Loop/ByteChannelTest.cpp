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

/// More than the system takes of a connection whose peer does not read.
constexpr std::size_t LargeAnswer = 32U << 20U;

/// A connection on a loop of its own, whose clock the test moves, and its peer.
class Connection {
public:
  Connection() : Listening(Poco::Net::SocketAddress("127.0.0.1:0")) {
    this->Peer.connect(this->Listening.address());
    this->Peer.setReceiveTimeout(Poco::Timespan(2, 0));
    this->Channel = ByteChannel::fromAccepted(
        this->Loop, this->Listening.acceptConnection());
    this->Worker = std::thread([this] { this->Loop.run(); });
  }

  ~Connection() {
    this->Loop.stop();
    this->Worker.join();
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

  /// Moves the clock, and waits until the loop has served its timers.
  void advance(Duration Step) {
    this->Time.advance(Step);
    // The round at hand may have looked at the clock before, and a task runs
    // ahead of its round's timers.
    for (int Round = 0; Round < 3; ++Round)
      this->onLoop([] {});
  }

  /// Reads until the peer's end has come, at most so many bytes.
  std::size_t readUpTo(std::size_t Most) {
    std::vector<char> Buffer(1U << 20U);
    std::size_t Got = 0;
    try {
      while (Got < Most) {
        const int Count = this->Peer.receiveBytes(
            Buffer.data(),
            static_cast<int>(std::min(Buffer.size(), Most - Got)));
        if (Count <= 0)
          break;
        Got += static_cast<std::size_t>(Count);
      }
    } catch (const Poco::Exception &) {
      this->Reset = true;
    }
    return Got;
  }

  Clock Time = Clock::paused();
  EventLoop Loop{Time};
  Poco::Net::ServerSocket Listening;
  Poco::Net::StreamSocket Peer;
  std::shared_ptr<ByteChannel> Channel;
  bool Reset = false;

private:
  std::thread Worker;
};

} // namespace

// Guards against an answer that is cut off where its reader takes longer than a
// finished connection waits for the peer's close.
Test(ByteChannel, whatWasWrittenLeavesWholeBehindAFinish, .timeout = 30) {
  Connection C;
  C.onLoop([&C] {
    C.Channel->write(std::string(LargeAnswer, 'x'));
    C.Channel->finish();
  });
  std::size_t Got = C.readUpTo(LargeAnswer / 2);
  C.advance(3s);
  Got += C.readUpTo(LargeAnswer);
  cr_assert_eq(Got, LargeAnswer, "got %zu", Got);
  cr_assert_not(C.Reset);
}

// Guards against a connection that is kept for ever for a peer that stands
// still with an answer on its way.
Test(ByteChannel, aPeerThatTakesNothingIsGivenUp, .timeout = 30) {
  Connection C;
  bool Ended = false;
  C.onLoop([&C, &Ended] {
    C.Channel->setReleaseCallback(
        [&Ended](const ChannelLoss &Loss) { Ended = Loss.UnsentBytes > 0; });
    C.Channel->write(std::string(LargeAnswer, 'x'));
    C.Channel->finish();
  });
  C.advance(14s);
  cr_assert_not(Ended);
  C.advance(2s);
  cr_assert(Ended);
}

// Guards against an answer that looks whole to a caller that takes the end of
// the connection for its end, though a part never left.
Test(ByteChannel, aCloseWithBytesUnsentIsAReset, .timeout = 30) {
  Connection C;
  C.onLoop([&C] {
    C.Channel->write(std::string(LargeAnswer, 'x'));
    C.Channel->close();
  });
  const std::size_t Got = C.readUpTo(LargeAnswer);
  cr_assert_lt(Got, LargeAnswer);
  cr_assert(C.Reset);
}

// Guards against a peer whose leaving is never told: a write learns of its
// reset while reading is paused, and the system reports an error once only.
Test(ByteChannel, aResetThatAWriteLearnsOfIsTold, .timeout = 30) {
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
    C.Channel->write("piece");
  });
  std::this_thread::sleep_for(200ms);
  cr_assert(Ended);
}

// Guards against a connection that is kept without end for a peer that takes
// its last answer a little at a time.
Test(ByteChannel, aFinishedConnectionHasAnOverallLimit, .timeout = 30) {
  Connection C;
  std::atomic<bool> Released{false};
  C.onLoop([&C, &Released] {
    C.Channel->setReleaseCallback(
        [&Released](const ChannelLoss &) { Released = true; });
    C.Channel->write(std::string(LargeAnswer, 'x'));
    C.Channel->finish();
  });
  for (int Step = 0; Step < 6; ++Step) {
    C.readUpTo(1U << 20U);
    C.advance(10s);
  }
  C.advance(1s);
  cr_assert(Released);
}

// Guards against an answer that a reset destroys on its way: the system has
// taken it, the peer's has not.
Test(ByteChannel, aConnectionWhoseAnswerIsNotConfirmedIsNotQuiet,
     .timeout = 30) {
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1:0"));
  EventLoop Loop(Clock::paused());
  Poco::Net::StreamSocket Peer(Poco::Net::SocketAddress::IPv4);
  Peer.setReceiveBufferSize(4096);
  Peer.connect(Listening.address());
  const auto Channel =
      ByteChannel::fromAccepted(Loop, Listening.acceptConnection());
  Channel->write(std::string(100U << 10U, 'x'));
  cr_assert_eq(Channel->unsent(), 0U);
  cr_assert_not(Channel->closeIfIdle());
  cr_assert(Channel->isOpen());
}
