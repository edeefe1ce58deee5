#include "Backend/BackendConnection.h"
#include "Backend/EngineFixture.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

using namespace parsleywing;
using parsleywing::test::eventually;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto Timeout = milliseconds(300);
constexpr auto Pause = seconds(2);

/// A connection to a server whose bytes the test sends itself.
class ConnectionFixture {
public:
  ConnectionFixture() : Server(this->Listening.acceptConnection()) {
    this->Connection.setDeadline(this->Time.now() + Timeout);
    Poco::Net::HTTPRequest Request("GET", "/", "HTTP/1.1");
    this->Connection.send(Request, "");
  }

  /// Sends bytes of the response and waits until they are in the socket.
  void respond(const std::string &Bytes) {
    this->Server.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    cr_assert(
        eventually([&] { return this->Connection.hasUnsolicitedInput(); }));
  }

  Clock Time = Clock::paused();
  Poco::Net::ServerSocket Listening{Poco::Net::SocketAddress("127.0.0.1", 0)};
  ConnectionCanceller Canceller;
  BackendConnection Connection{this->Listening.address().toString(), seconds(5),
                               this->Canceller, this->Time};
  Poco::Net::StreamSocket Server;
};

} // namespace

// Guards against a sound server that is taken for silent because of a pause of
// the router: the response arrives in time, while the reading thread does not
// run until after the deadline.
Test(Standstill, readsWhatArrivedBeforeItLooksAtTheDeadline, .timeout = 30) {
  ConnectionFixture F;
  F.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  F.Time.advance(Pause);
  Poco::Net::HTTPResponse Response;
  std::string Body;
  try {
    std::istream &In = F.Connection.receive(Response);
    Body.push_back(static_cast<char>(In.rdbuf()->sbumpc()));
    Body.push_back(static_cast<char>(In.rdbuf()->sbumpc()));
  } catch (const Poco::TimeoutException &) {
    cr_assert_fail("the bytes in the socket were not read");
  }
  cr_expect_eq(Response.getStatus(), 200);
  cr_expect_eq(Body, "ab");
}

// Guards against a stuck server that is waited for without end because bytes
// without progress keep arriving: only those count that were there at the first
// look after the deadline.
Test(Standstill, bytesThatArriveAfterThatLookDoNotExtendTheDeadline,
     .timeout = 30) {
  ConnectionFixture F;
  F.respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
  Poco::Net::HTTPResponse Response;
  std::istream &In = F.Connection.receive(Response);
  F.respond("a");
  F.Time.advance(Pause);
  bool TimedOut = false;
  try {
    In.rdbuf()->sbumpc();
    F.respond("b");
    In.rdbuf()->sbumpc();
  } catch (const Poco::TimeoutException &) {
    TimedOut = true;
  }
  cr_expect(TimedOut);
}
