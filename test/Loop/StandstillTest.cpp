#include "Loop/ByteChannel.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

/// The process stands still as it reads its clock for the given time: a second
/// passes, in which a peer's bytes arrive. Returns whether the loop delivers
/// them before it runs a timer that has become due meanwhile.
bool deliversBeforeTimer(int StandstillAtReading) {
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
  Loop.after(500ms, [&] {
    WasReceivedAtTimer = WasReceived;
    Loop.stop();
  });
  int Readings = 0;
  Time.setBeforeRead([&] {
    if (++Readings != StandstillAtReading)
      return;
    Peer.sendBytes("answer", 6);
    Time.advance(1s);
  });
  Loop.run();
  return WasReceivedAtTimer;
}

} // namespace

// Guards against a server that is taken for silent, although its bytes arrived
// while the router's process stood still.
Test(Standstill, inputIsReadBeforeTimersRun, .timeout = 60) {
  constexpr int Readings = 16;
  for (int Reading = 1; Reading <= Readings; ++Reading)
    cr_expect(deliversBeforeTimer(Reading), "standstill at reading %d",
              Reading);
}
