#include "Gateway/CallerSession.h"

#include <Poco/Net/ServerSocket.h>
#include <array>
#include <chrono>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

HttpHead okHead() {
  HttpHead Head;
  Head.Status = 200;
  Head.Reason = "OK";
  return Head;
}

} // namespace

// Guards against a complete request that gets no response during a flood. The
// loop is blocked while a request arrives on an idle connection, and the router
// then closes idle connections to make room before it reads from them. Fails if
// a connection with unread bytes in the kernel counts as idle.
Test(CallerSession, respondsToUnreadRequestBeforeClosingConnection) {
  EventLoop Loop(Clock::steady());
  Poco::Net::ServerSocket Listening(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::StreamSocket Caller;
  Caller.connect(Listening.address());
  const auto Channel =
      ByteChannel::fromAccepted(Loop, Listening.acceptConnection());
  int Requests = 0;
  const auto Session = std::make_shared<CallerSession>(
      Loop, Channel, GatewayLimits{},
      [&Requests](const std::shared_ptr<CallerSession> &From,
                  const IncomingRequest &) {
        ++Requests;
        From->sendResponse(okHead(), "served");
      },
      [](CallerSession *) {});
  Session->start();
  const std::string Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  Caller.sendBytes(Request.data(), static_cast<int>(Request.size()));
  // The kernel holds the bytes; the loop has not run yet.
  std::this_thread::sleep_for(20ms);
  Session->closeWhenIdle();
  Loop.after(200ms, [&Loop] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Requests, 1);
  Caller.setReceiveTimeout(Poco::Timespan(1, 0));
  std::array<char, 512> Buffer{};
  const int Count = Caller.receiveBytes(Buffer.data(), Buffer.size());
  const std::string Received(Buffer.data(), static_cast<std::size_t>(Count));
  cr_assert_neq(Received.find("200 OK"), std::string::npos, "%s",
                Received.c_str());
  cr_assert_neq(Received.find("Connection: close"), std::string::npos);
}
