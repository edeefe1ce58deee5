#include "Gateway/FrontFixture.h"
#include "Gateway/LargeStream.h"

#include <Poco/Net/NetException.h>
#include <criterion/criterion.h>
#include <string>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr int SmallBuffer = 4096;
constexpr std::size_t SlowCallers = 8;
/// Less than the streams of all slow callers, of which each holds more than 64
/// KB in the router.
constexpr std::size_t SmallLimit = 400'000;
/// Longer than a response must stay unread for its end to be attributed to it.
constexpr auto UnreadTime = 2500ms;

bool serveLargeStream(Poco::Net::StreamSocket &Connection,
                      const std::string &Request) {
  sendLargeStream(Connection, Request);
  return true;
}

/// A caller with a small receive buffer that has sent a request.
Poco::Net::StreamSocket slowCaller(const FrontFixture &Front,
                                   const std::string &Path = "/stream/x",
                                   const std::string &Fields = "") {
  Poco::Net::StreamSocket Caller;
  Caller.init(AF_INET);
  Caller.setReceiveBufferSize(SmallBuffer);
  Caller.connect(Poco::Net::SocketAddress(Front.Settings.CallerAddress));
  Caller.setReceiveTimeout(Poco::Timespan(5, 0));
  sendText(Caller, "GET " + Path +
                       " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                       "Deadline-Ms: 30000\r\nAuthorization: Token key\r\n" +
                       Fields + "\r\n");
  return Caller;
}

/// Reads to the end of the stream. Returns whether it was complete.
bool readStream(Poco::Net::StreamSocket &Caller) {
  std::string Buffer(LargeEventBytes, '\0');
  std::string End;
  try {
    while (!End.ends_with("\r\n0\r\n\r\n")) {
      const int Count =
          Caller.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
      if (Count <= 0)
        return false;
      End += Buffer.substr(0, static_cast<std::size_t>(Count));
      End = End.substr(End.size() - std::min<std::size_t>(End.size(), 16));
    }
  } catch (const Poco::Net::ConnectionResetException &) {
    return false;
  }
  return true;
}

void setTimeouts(FrontFixture &Front) {
  for (GatewayRoute &Each : Front.Configuration.Routes)
    Each.Timeout = 30s;
}

double metricOf(const FrontFixture &Front, const std::string &Name) {
  const std::string Text = Front.metrics();
  const std::size_t At = Text.find("\nparsleywing_" + Name + " ");
  cr_assert_neq(At, std::string::npos, "no metric %s", Name.c_str());
  return std::stod(Text.substr(Text.find(' ', At + 1)));
}

/// Waits until the metric has the value. A caller sees the end of its
/// connection before the router counts it.
bool reaches(const FrontFixture &Front, const std::string &Name, double Value) {
  for (int Tries = 0; Tries < 100; ++Tries) {
    if (metricOf(Front, Name) == Value)
      return true;
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

/// The server ends its response, with a reset or a close, since the router does
/// not read it.
void checkEndOfUnread(bool WithReset) {
  const auto Serve = [WithReset](Poco::Net::StreamSocket &Connection,
                                 const std::string &Request) {
    Connection.setSendTimeout(Poco::Timespan(1, 500'000));
    try {
      sendLargeStream(Connection, Request);
    } catch (const Poco::Exception &) {
      if (WithReset)
        Connection.setLinger(true, 0);
      Connection.close();
    }
    return false;
  };
  ScriptedServer First(Serve);
  ScriptedServer Second(Serve);
  FrontFixture Front;
  Front.addServer(First);
  Front.addServer(Second);
  setTimeouts(Front);
  Front.start();
  Poco::Net::StreamSocket Caller = slowCaller(Front);
  std::this_thread::sleep_for(2 * UnreadTime);
  cr_assert_not(readStream(Caller));
  cr_assert_eq(First.requests().size() + Second.requests().size(), 1U);
  cr_assert(reaches(Front,
                    "requests_terminated_total{cause=\"caller-too-slow\"}", 1));
  cr_assert_eq(metricOf(Front, "server_crashes_total"), 0.0);
}

} // namespace

// Guards against a process that exceeds its memory since many callers read
// slowly, against callers that lose their responses for it although they read,
// and against memory that stays in use afterwards.
Test(SlowReaders, largestEndWhenBuffersAreFull, .timeout = 60) {
  ScriptedServer Server(serveLargeStream);
  FrontFixture Front;
  Front.Slots = 2 * SlowCallers;
  Front.addServer(Server);
  setTimeouts(Front);
  Front.Settings.MaxBufferBytes = SmallLimit;
  Front.start();
  std::vector<Poco::Net::StreamSocket> Slow;
  for (std::size_t Count = 0; Count < SlowCallers; ++Count)
    Slow.push_back(slowCaller(Front));
  std::this_thread::sleep_for(UnreadTime);
  cr_assert_gt(metricOf(Front, "buffer_evictions_total"), 0.0);
  cr_assert_leq(metricOf(Front, "buffered_bytes{use=\"to-caller\"}"),
                static_cast<double>(SmallLimit));
  std::size_t Complete = 0;
  for (Poco::Net::StreamSocket &Each : Slow)
    Complete += readStream(Each) ? 1U : 0U;
  // The streams that go on may exceed the limit once more.
  const double Ended = metricOf(Front, "buffer_evictions_total");
  cr_assert(reaches(Front, "requests_terminated_total{cause=\"buffers-full\"}",
                    Ended));
  cr_assert_gt(Complete, 0U);
  cr_assert_eq(static_cast<double>(Complete) + Ended,
               static_cast<double>(SlowCallers));
  cr_assert_eq(Server.requests().size(), SlowCallers);
  // Empty buffers keep at most 1 KB.
  for (const char *Use : {"to-caller", "to-server", "request-body"})
    cr_assert_leq(
        metricOf(Front, "buffered_bytes{use=\"" + std::string(Use) + "\"}"),
        static_cast<double>(SlowCallers) * 1024, "%s", Use);
}

// Guards against complete responses that nobody reads and that have no limit,
// on connections that stay open and on those that are to close.
Test(SlowReaders, unreadCompleteResponsesEnd, .timeout = 60) {
  constexpr std::size_t BodyBytes = 8U << 20U;
  constexpr std::size_t Limit = 40'000'000;
  ScriptedServer Server(
      [](Poco::Net::StreamSocket &Connection, const std::string &Request) {
        sendText(Connection, "HTTP/1.1 200 OK\r\nRequest-Id: " +
                                 fieldOf(Request, "Request-Id") +
                                 "\r\nResponse-Seal: s\r\nContent-Length: " +
                                 std::to_string(BodyBytes) + "\r\n\r\n" +
                                 std::string(BodyBytes, 'x'));
        return true;
      });
  for (const char *Fields : {"", "Connection: close\r\n"}) {
    FrontFixture Front;
    Front.Slots = SlowCallers;
    Front.addServer(Server);
    setTimeouts(Front);
    Front.Configuration.Limits.MaxBodyBytes = 2 * BodyBytes;
    Front.Settings.MaxBufferBytes = Limit;
    Front.start();
    std::vector<Poco::Net::StreamSocket> Slow;
    for (std::size_t Count = 0; Count < SlowCallers; ++Count) {
      Slow.push_back(slowCaller(Front, "/safe/x", Fields));
      std::this_thread::sleep_for(300ms);
    }
    const double Ended = metricOf(Front, "buffer_evictions_total");
    cr_assert_gt(Ended, 0.0, "%s", Fields);
    cr_assert_lt(Ended, static_cast<double>(SlowCallers), "%s", Fields);
    cr_assert_gt(Ended, metricOf(Front, "requests_terminated_total{cause="
                                        "\"buffers-full\"}"));
    cr_assert_leq(metricOf(Front, "buffered_bytes{use=\"to-caller\"}"),
                  static_cast<double>(Limit), "%s", Fields);
  }
}

// Guards against a server that is taken for crashed, and a stream that is sent
// again, since the server ends a response that the router does not read.
Test(SlowReaders, serverThatResetsUnreadResponseIsSound, .timeout = 60) {
  checkEndOfUnread(true);
}

// The same for a close, which the router sees only once it reads on.
Test(SlowReaders, serverThatClosesUnreadResponseIsSound, .timeout = 60) {
  checkEndOfUnread(false);
}

// Guards against bodies that together exceed the memory, against a refusal
// only after such a body has been read, and against the refusal of small ones.
Test(SlowReaders, largeBodyIsRefusedBeforeItIsRead, .timeout = 20) {
  ScriptedServer Server([](Poco::Net::StreamSocket &Connection,
                           const std::string &Request) {
    sendText(Connection, "HTTP/1.1 200 OK\r\nRequest-Id: " +
                             fieldOf(Request, "Request-Id") +
                             "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\n"
                             "ok");
    return true;
  });
  FrontFixture Front;
  Front.addServer(Server);
  Front.Settings.MaxBufferBytes = 100'000;
  Front.start();
  const std::string Fields = "Content-Length: 60000\r\n";
  const std::string Refused =
      Front.call(FrontFixture::request("/safe/x", Fields));
  cr_assert(Refused.starts_with("HTTP/1.1 503"), "%s", Refused.c_str());
  cr_assert_neq(fieldOf(Refused, "Retry-After"), "");
  const std::string Chunked = Front.call(
      FrontFixture::request("/safe/x", "Transfer-Encoding: chunked\r\n") +
      "ea60\r\n" + std::string(59'000, 'x'));
  cr_assert(Chunked.starts_with("HTTP/1.1 503"), "%s", Chunked.c_str());
  const std::string Served =
      Front.call(FrontFixture::request("/safe/x", "Content-Length: 8000\r\n") +
                 std::string(8000, 'x'));
  cr_assert(Served.starts_with("HTTP/1.1 200"), "%s", Served.c_str());
  cr_assert_eq(Server.requests().size(), 1U);
  cr_assert_eq(metricOf(Front, "requests_refused_total{reason=\"buffers-full"
                               "\"}"),
               2.0);
}
