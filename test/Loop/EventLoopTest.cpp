#include "Loop/ByteChannel.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

// Guards against an answer that is thrown away by its own time limit: the loop
// stood still in a task while it came, and served the limit first.
Test(EventLoop, whatCameDuringAStandstillIsReadBeforeTimersAreServed,
     .timeout = 30) {
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1:0"));
  Clock Time = Clock::paused();
  EventLoop Loop(Time);
  Poco::Net::StreamSocket Peer;
  Peer.connect(Listening.address());
  const auto Channel =
      ByteChannel::fromAccepted(Loop, Listening.acceptConnection());
  bool Heard = false;
  bool HeardAtTimer = false;
  ChannelListener Listener;
  Listener.Received = [&Heard](std::string_view) { Heard = true; };
  Channel->setListener(std::move(Listener));
  Loop.post([&Peer, &Time] {
    Peer.sendBytes("answer", 6);
    std::this_thread::sleep_for(50ms);
    Time.advance(1s);
  });
  Loop.after(500ms, [&] {
    HeardAtTimer = Heard;
    Loop.stop();
  });
  Loop.run();
  cr_assert(HeardAtTimer);
}
