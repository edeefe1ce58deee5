#include "Backend/BackendConnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <array>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

/// Well before the deadline of the read.
constexpr auto MaxTime = 2s;
constexpr Duration ReadLimit = 6s;

/// The time after which reading the head of a response fails if the server
/// sends this again and again.
std::chrono::steady_clock::duration timeToFail(const std::string &Start,
                                               const std::string &Repeated) {
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  std::thread Server([&] {
    Poco::Net::StreamSocket Accepted = Listener.acceptConnection();
    const auto Until = std::chrono::steady_clock::now() + ReadLimit;
    try {
      Accepted.sendBytes(Start.data(), static_cast<int>(Start.size()));
      while (std::chrono::steady_clock::now() < Until)
        Accepted.sendBytes(Repeated.data(), static_cast<int>(Repeated.size()));
    } catch (const Poco::Exception &) {
      // The client has closed the connection.
    }
  });
  const auto Before = std::chrono::steady_clock::now();
  {
    ConnectionCanceller Canceller;
    BackendConnection Connection(Listener.address().toString(), 1s, Canceller,
                                 Clock::steady());
    Connection.setDeadline(Clock::steady().now() + ReadLimit);
    Poco::Net::HTTPRequest Request("GET", "/x",
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    Poco::Net::HTTPResponse Response;
    try {
      Connection.send(Request, "");
      Connection.receive(Response);
    } catch (const Poco::Exception &) {
      // What the test waits for.
    }
  }
  const auto Time = std::chrono::steady_clock::now() - Before;
  Server.join();
  return Time;
}

} // namespace

// Guards against header fields of a server that fill the memory until the
// deadline.
Test(EndlessHead, ofHeaderFieldsFails, .timeout = 60) {
  cr_expect(timeToFail("HTTP/1.1 200 OK\r\n", "Abc: def\r\n") < MaxTime);
}

// Guards against reading interim responses until the deadline.
Test(EndlessHead, ofInterimResponsesFails, .timeout = 60) {
  cr_expect(timeToFail("", "HTTP/1.1 100 Continue\r\n\r\n") < MaxTime);
}
