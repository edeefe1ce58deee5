#include "Gateway/CallerSession.h"

#include <Poco/Net/ServerSocket.h>
#include <array>
#include <chrono>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

HttpHead plainAnswer() {
  HttpHead Head;
  Head.Status = 200;
  Head.Reason = "OK";
  return Head;
}

} // namespace

// Symptom: a caller's whole request gets neither an answer nor a refusal,
// beside a flood at its router. Sequence: the router stands still for a moment;
// a request comes on a connection that has been idle; the router then closes
// idle connections to make room, before it reads. Cause: idle was what had not
// been read. Fails without the look at unread bytes.
Test(CallerSession,
     aRequestThatIsNotReadYetIsAnsweredBeforeItsConnectionCloses) {
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
        From->sendResponse(plainAnswer(), "served");
      },
      [](CallerSession *) {});
  Session->start();
  const std::string Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  Caller.sendBytes(Request.data(), static_cast<int>(Request.size()));
  // The bytes are with the system; the loop has not turned.
  std::this_thread::sleep_for(20ms);
  Session->closeWhenIdle();
  Loop.after(200ms, [&Loop] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Requests, 1);
  Caller.setReceiveTimeout(Poco::Timespan(1, 0));
  std::array<char, 512> Buffer{};
  const int Count = Caller.receiveBytes(Buffer.data(), Buffer.size());
  const std::string Got(Buffer.data(), static_cast<std::size_t>(Count));
  cr_assert_neq(Got.find("200 OK"), std::string::npos, "%s", Got.c_str());
  cr_assert_neq(Got.find("Connection: close"), std::string::npos);
}
