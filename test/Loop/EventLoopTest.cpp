#include "Loop/ByteChannel.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

// Guards against a limit that is judged before what came within it is read.
Test(EventLoop, aTimerIsServedBehindALookAtTheSockets) {
  EventLoop Loop(Clock::steady());
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::StreamSocket Peer;
  Peer.connect(Listening.address());
  const auto Channel =
      ByteChannel::accepted(Loop, Listening.acceptConnection());
  bool Read = false;
  bool ReadBefore = false;
  ChannelListener Listener;
  Listener.Received = [&](std::string_view) { Read = true; };
  Channel->listen(std::move(Listener));
  Loop.after(20ms, [&] {
    ReadBefore = Read;
    Loop.stop();
  });
  Loop.post([&] {
    Peer.sendBytes("x", 1);             // Within the limit.
    std::this_thread::sleep_for(200ms); // The process stands still.
  });
  Loop.run();
  cr_assert(ReadBefore);
}
