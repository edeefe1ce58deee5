#include "Gateway/FrontFixture.h"
#include "Gateway/PausingServer.h"

#include <Poco/Exception.h>
#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

constexpr int Events = 6;
const std::string Comment = ": \n\n";
/// Of the 10 s that a caller allows. Another server is asked after a second at
/// most, twice in a row, and responds at once.
constexpr auto MaxTime = 5s;
/// How long a faulty server goes on if nobody closes the connection.
constexpr auto MaxSending = 9s;

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string PlainHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

/// What a faulty server sends, first once and then again and again.
struct EndlessBytes {
  std::string Start;
  std::string Repeated;
  std::chrono::milliseconds Interval{0};
};

/// Sends until the connection is closed. Returns whether the router closed it.
bool sendEndlessly(Socket &Connection, const EndlessBytes &Bytes) {
  const auto Until = std::chrono::steady_clock::now() + MaxSending;
  try {
    sendText(Connection, Bytes.Start);
    while (std::chrono::steady_clock::now() < Until) {
      sendText(Connection, Bytes.Repeated);
      std::this_thread::sleep_for(Bytes.Interval);
    }
  } catch (const Poco::Exception &) {
    return true;
  }
  return false;
}

struct Outcome {
  std::string Response;
  std::chrono::steady_clock::duration Time{};
  bool Closed = false;
};

/// Calls a router with two servers. The one that is asked first sends bytes
/// without end.
Outcome callWith(const std::string &Path, const EndlessBytes &Bytes) {
  std::atomic<int> Requests{0};
  std::atomic<bool> Closed{false};
  Outcome Result;
  {
    const auto Serve = [&](Socket &Connection, const std::string &Request) {
      if (Requests++ == 0) {
        Closed = sendEndlessly(Connection, Bytes);
        return false;
      }
      sendWithPause(Connection, Request, {PausePoint::BeforeHead, 0ms, Events});
      return true;
    };
    ScriptedServer First(Serve);
    ScriptedServer Second(Serve);
    FrontFixture Front;
    Front.addServer(First);
    Front.addServer(Second);
    for (GatewayRoute &Each : Front.Configuration.Routes)
      Each.Timeout = 10s;
    Front.start();
    const auto Start = std::chrono::steady_clock::now();
    Result.Response = Front.call(
        "GET " + Path +
        " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 10000\r\n"
        "Authorization: Token key\r\n\r\n");
    Result.Time = std::chrono::steady_clock::now() - Start;
  }
  Result.Closed = Closed;
  return Result;
}

void expectServed(const std::string &Path, const EndlessBytes &Bytes) {
  const Outcome Result = callWith(Path, Bytes);
  cr_expect(Result.Response.starts_with("HTTP/1.1 200"), "%s",
            Result.Response.substr(0, 200).c_str());
  if (Path == "/stream/x")
    cr_expect(isWholeStream(Result.Response, Events, Comment), "%s",
              Result.Response.substr(0, 400).c_str());
  else
    cr_expect(Result.Response.ends_with("\r\n\r\nr1"), "%s",
              Result.Response.substr(0, 400).c_str());
  cr_expect(Result.Time < MaxTime);
  cr_expect(Result.Closed);
}

} // namespace

// Guards against reading interim responses for as long as a server sends them.
Test(EndlessResponse, ofInterimResponses, .timeout = 60) {
  expectServed("/safe/x", {"", "HTTP/1.1 100 Continue\r\n\r\n"});
}

// Guards against skipping a response to another request that never ends.
Test(EndlessResponse, ofAnotherRequest, .timeout = 60) {
  expectServed("/safe/x", {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                           "Response-Seal: s\r\n\r\n",
                           std::string(1000, 'x')});
}

// Guards against trailers that never end, behind a body that has.
Test(EndlessResponse, ofTrailers, .timeout = 60) {
  expectServed("/safe/x", {PlainHead + "2\r\nr1\r\n0\r\n", "A: b\r\n"});
}

// Guards against keeping an event that never ends in memory.
Test(EndlessResponse, ofOneEvent, .timeout = 60) {
  expectServed("/stream/x", {StreamHead, "4\r\nxxxx\r\n"});
}

// Guards against taking bytes that complete no event for a sign of life.
Test(EndlessResponse, ofOneEventByteByByte, .timeout = 60) {
  expectServed("/stream/x", {StreamHead, "1\r\nx\r\n", 100ms});
}

// Guards against taking comments for a sign of life.
Test(EndlessResponse, ofComments, .timeout = 60) {
  expectServed("/stream/x", {StreamHead, "4\r\n: \n\n\r\n", 100ms});
}

// Guards against a lookup that waits for a body that comes byte by byte.
Test(EndlessResponse, ofABodyByteByByte, .timeout = 60) {
  expectServed("/safe/x", {PlainHead, "1\r\nx\r\n", 100ms});
}
