#include "Loop/ByteChannel.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <ctime>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

// Guards against a response that is discarded by its own timeout: it arrives
// while a task blocks the loop, and the loop then runs the timer before reading
// it.
Test(EventLoop, inputReceivedWhileBlockedIsReadBeforeTimersRun, .timeout = 30) {
  Poco::Net::ServerSocket Server(Poco::Net::SocketAddress("127.0.0.1:0"));
  Clock Time = Clock::paused();
  EventLoop Loop(Time);
  Poco::Net::StreamSocket Peer;
  Peer.connect(Server.address());
  const auto Channel =
      ByteChannel::fromAccepted(Loop, Server.acceptConnection());
  bool WasReceived = false;
  bool WasReceivedAtTimer = false;
  ChannelListener Listener;
  Listener.Received = [&WasReceived](std::string_view) { WasReceived = true; };
  Channel->setListener(std::move(Listener));
  Loop.post([&Peer, &Time] {
    Peer.sendBytes("answer", 6);
    std::this_thread::sleep_for(50ms);
    Time.advance(1s);
  });
  Loop.after(500ms, [&] {
    WasReceivedAtTimer = WasReceived;
    Loop.stop();
  });
  Loop.run();
  cr_assert(WasReceivedAtTimer);
}

// Guards against a loop that uses a whole core while it has no sockets.
Test(EventLoop, anIdleLoopWithoutSocketsWaits, .timeout = 30) {
  EventLoop Loop(Clock::steady());
  std::jthread Stopper([&Loop] {
    std::this_thread::sleep_for(400ms);
    Loop.stop();
  });
  const std::clock_t ProcessorTime = std::clock();
  Loop.run();
  cr_assert_lt(std::clock() - ProcessorTime, CLOCKS_PER_SEC / 10);
}

// Guards against a busy router that reports spare processor time.
Test(EventLoop, busyTimeIsNotCountedAsWaiting, .timeout = 30) {
  EventLoop Loop(Clock::steady());
  const TimePoint Begin = Loop.clock().now();
  Loop.after(10ms, [] { std::this_thread::sleep_for(200ms); });
  Loop.after(300ms, [&Loop] { Loop.stop(); });
  Loop.run();
  const Duration Elapsed = Loop.clock().now() - Begin;
  cr_assert_leq(Loop.waited().count(), (Elapsed - 200ms).count());
  cr_assert_gt(Loop.waited().count(), Duration(20ms).count());
}
