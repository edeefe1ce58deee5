#include "Gateway/FrontFixture.h"

#include <Poco/Net/NetException.h>
#include <atomic>
#include <criterion/criterion.h>
#include <ctime>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

/// More response bytes than the kernel buffers for a caller that does not read.
constexpr std::size_t LargeResponseBytes = 16U << 20U;

std::string okResponse(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
         "Content-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An HTTP chunk with one event; `Id` has one digit.
std::string eventChunk(int Id) {
  const std::string Number = std::to_string(Id);
  return "f\r\nid: " + Number + "\ndata: " + Number + "\n\n\r\n";
}

const std::string StreamEnd = "0\r\n\r\n";

/// Reads until the text contains `Marker` or the router ends the connection.
std::string readUntil(Socket &From, const std::string &Marker) {
  std::string Received;
  std::vector<char> Buffer(64U << 10U);
  try {
    while (Received.find(Marker) == std::string::npos) {
      const int Count =
          From.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
      if (Count <= 0)
        break;
      Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  } catch (const Poco::TimeoutException &) {
    Received += "(silent)";
  } catch (const Poco::Exception &) {
    Received += "(broken)";
  }
  return Received;
}

/// A request with a deadline of 9 s.
std::string requestWithLongDeadline(const std::string &Path) {
  std::string Request = FrontFixture::request(Path);
  Request.replace(Request.find("2000"), 4, "9000");
  return Request;
}

/// The same in HTTP/1.0.
std::string http10Request(const std::string &Path) {
  std::string Request = requestWithLongDeadline(Path);
  Request.replace(Request.find("HTTP/1.1"), 8, "HTTP/1.0");
  return Request;
}

/// Sends an event every 600 ms on /stream/ until `release`, for at most 5.4 s.
/// All other requests get a short response.
class SlowStreamServer {
  bool serve(Socket &S, const std::string &Request) {
    if (Request.find(" /stream/") == std::string::npos) {
      sendText(S, okResponse("hello"));
      return true;
    }
    sendText(S, StreamHead);
    for (int Id = 1; Id < 10 && this->Streaming; ++Id) {
      sendText(S, eventChunk(Id));
      this->pause();
    }
    sendText(S, StreamEnd);
    return true;
  }

  void pause() const {
    for (int Step = 0; Step < 120 && this->Streaming; ++Step)
      std::this_thread::sleep_for(5ms);
  }

  std::atomic<bool> Streaming{true};

public:
  void release() { this->Streaming = false; }

  ScriptedServer Server{[this](Socket &S, const std::string &Request) {
    return this->serve(S, Request);
  }};
};

const std::string ResponseEnd = "end of answer";

/// A router in front of a server whose responses exceed the kernel's buffers
/// while their caller does not read.
struct LargeResponses {
  LargeResponses() {
    this->Front.Configuration.Limits.MaxBodyBytes = 2 * LargeResponseBytes;
    this->Front.addServer(this->Server);
  }

  /// Starts the router, sends a request, and waits until the response is on its
  /// way.
  Socket sendRequest(const std::string &Fields = "") {
    this->Front.start();
    Socket Caller = this->Front.connect();
    sendText(Caller, FrontFixture::request("/safe/x", Fields));
    std::this_thread::sleep_for(500ms);
    return Caller;
  }

  ScriptedServer Server{[](Socket &S, const std::string &) {
    sendText(S, okResponse(std::string(LargeResponseBytes, 'x') + ResponseEnd));
    return true;
  }};
  FrontFixture Front;
};

/// Checks that a caller that reads its response late gets all of it from a
/// router that drains.
void checkDrainWaitsForResponse(const std::string &Fields) {
  LargeResponses L;
  L.Front.Settings.DrainTimeout = 8s;
  Socket Slow = L.sendRequest(Fields);
  L.Front.front().drain();
  std::this_thread::sleep_for(3500ms);
  const std::string Received = readUntil(Slow, ResponseEnd);
  cr_assert(Received.ends_with(ResponseEnd), "received %zu bytes",
            Received.size());
}

/// A router with a request that has a deadline of 9 s, in front of a server
/// that does not respond until the test ends.
struct BlockedRequests {
  BlockedRequests() {
    for (GatewayRoute &Route : this->Front.Configuration.Routes)
      Route.Timeout = 20s;
    this->Front.addServer(this->Server);
  }
  ~BlockedRequests() { this->TestEnded = true; }
  BlockedRequests(const BlockedRequests &) = delete;
  BlockedRequests &operator=(const BlockedRequests &) = delete;

  Socket sendRequest() {
    this->Front.start();
    Socket Caller = this->Front.connect();
    sendText(Caller, requestWithLongDeadline("/unsafe/x"));
    std::this_thread::sleep_for(100ms);
    return Caller;
  }

  std::atomic<bool> TestEnded{false};
  ScriptedServer Server{[this](Socket &, const std::string &) {
    while (!this->TestEnded)
      std::this_thread::sleep_for(5ms);
    return false;
  }};
  FrontFixture Front;
};

} // namespace

// Guards against closing a connection after a stream whose head did not
// announce the close: the caller's next request would be read and dropped.
Test(ConnectionEnd, requestAfterStreamDuringDrainIsServed) {
  SlowStreamServer StreamServer;
  FrontFixture F;
  F.addServer(StreamServer.Server);
  F.start();
  Socket Caller = F.connect();
  sendText(Caller, FrontFixture::request("/stream/x"));
  const std::string Start = readUntil(Caller, "id: 1");
  cr_assert_eq(fieldOf(Start, "Connection"), "");
  F.front().drain();
  std::this_thread::sleep_for(200ms);
  StreamServer.release();
  readUntil(Caller, StreamEnd);
  sendText(Caller, FrontFixture::request("/safe/next"));
  const std::string Next = readUntil(Caller, "hello");
  cr_assert(Next.starts_with("HTTP/1.1 200"), "received: %s", Next.c_str());
  cr_assert_eq(fieldOf(Next, "Connection"), "close");
}

// Guards against reading and dropping a request that arrives while its idle
// connection is being closed: its caller would get neither a response nor a
// refusal, only a normal close. The loop is blocked with all caller connections
// in use, requests wait unread on idle connections, and the router closes those
// to make room. A check for unread bytes before the close is not enough: the
// connection must be closed without reading, so that the caller sees a reset.
Test(ConnectionEnd, requestDuringCloseOfIdleConnectionStaysUnread) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, okResponse("hello"));
    return true;
  });
  FrontFixture F;
  F.Settings.MaxCallerConnections = 1;
  F.addServer(Server);
  F.start();
  Socket Idle = F.connect();
  sendText(Idle, FrontFixture::request("/safe/x"));
  readUntil(Idle, "hello");
  std::this_thread::sleep_for(700ms);
  const Socket Other = F.connect();
  std::this_thread::sleep_for(150ms);
  sendText(Idle, FrontFixture::request("/unsafe/crossing"));
  std::this_thread::sleep_for(150ms);
  cr_assert_neq(Idle.impl()->socketError(), 0);
  cr_assert_neq(F.metrics().find("lossy_total{bytes=\"discarded\"} 0\n"),
                std::string::npos);
}

// Guards against making room by closing a connection whose response has not
// been sent completely.
Test(ConnectionEnd, connectionWithUnsentResponseIsNotClosedForOthers,
     .timeout = 30) {
  LargeResponses L;
  L.Front.Settings.MaxCallerConnections = 1;
  Socket Slow = L.sendRequest();
  std::this_thread::sleep_for(500ms);
  const Socket Other = L.Front.connect();
  std::this_thread::sleep_for(2500ms);
  const std::string Received = readUntil(Slow, ResponseEnd);
  cr_assert(Received.ends_with(ResponseEnd), "received %zu bytes",
            Received.size());
}

// Guards against a drain that ends the process before a response has been sent.
Test(ConnectionEnd, drainWaitsForUnsentResponses, .timeout = 30) {
  checkDrainWaitsForResponse("");
}

// Guards against the same after a response that announced the close: its
// connection is still sending although its request has ended.
Test(ConnectionEnd, drainWaitsForLastResponseOfConnection, .timeout = 30) {
  checkDrainWaitsForResponse("Connection: close\r\n");
}

// Guards against requests that get no response because the drain ends: each
// must get its final response while there is still time to send it.
Test(ConnectionEnd, activeRequestGetsFinalResponseAtEndOfDrain, .timeout = 30) {
  BlockedRequests B;
  Socket Caller = B.sendRequest();
  B.Front.front().drain();
  const std::string Received = readUntil(Caller, "\r\n\r\n");
  cr_assert(Received.starts_with("HTTP/1.1 504"), "received: %s",
            Received.c_str());
}

// Guards against a stream to an HTTP/1.0 caller that is truncated by the end of
// a drain and looks complete, since only the end of the connection delimits it.
Test(ConnectionEnd, streamTruncatedByEndOfDrainIsReset, .timeout = 30) {
  SlowStreamServer StreamServer;
  FrontFixture F;
  for (GatewayRoute &Route : F.Configuration.Routes)
    Route.Timeout = 20s;
  F.addServer(StreamServer.Server);
  F.start();
  Socket Caller = F.connect();
  sendText(Caller, http10Request("/stream/x"));
  readUntil(Caller, "id: 1");
  F.front().drain();
  const std::string Rest = readUntil(Caller, "never");
  StreamServer.release();
  cr_assert(Rest.ends_with("(broken)"), "received: %s", Rest.c_str());
}

// Guards against dropping a request because its caller has pipelined many
// bytes.
Test(ConnectionEnd, largePipelinedRequestIsServed, .timeout = 30) {
  ScriptedServer Server([](Socket &S, const std::string &Request) {
    std::this_thread::sleep_for(300ms);
    const bool Last = Request.find("/safe/last") != std::string::npos;
    sendText(S, okResponse(Last ? "last" : "first"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  Socket Caller = F.connect();
  std::string Pipelined = FrontFixture::request("/safe/last");
  Pipelined.replace(0, 3, "POST");
  constexpr std::size_t BodyBytes = 1U << 20U;
  Pipelined.insert(Pipelined.size() - 2,
                   "Content-Length: " + std::to_string(BodyBytes) + "\r\n");
  Pipelined.append(BodyBytes, 'b');
  sendText(Caller, FrontFixture::request("/safe/first"));
  std::this_thread::sleep_for(50ms);
  sendText(Caller, Pipelined);
  const std::string Received = readUntil(Caller, "last");
  cr_assert_neq(Received.find("first"), std::string::npos, "%s",
                Received.c_str());
  cr_assert(Received.ends_with("last"), "%s", Received.c_str());
}

// Guards against a router that uses CPU time on callers that it cannot accept
// without free descriptors.
Test(ConnectionEnd, routerWithoutDescriptorsWaitsForOne, .timeout = 30) {
  FrontFixture F;
  F.start();
  constexpr ::rlimit FewDescriptors{256, 256};
  ::setrlimit(RLIMIT_NOFILE, &FewDescriptors);
  const int Caller = ::socket(AF_INET, SOCK_STREAM, 0);
  std::vector<int> Descriptors;
  for (int Next = ::dup(Caller); Next >= 0; Next = ::dup(Caller))
    Descriptors.push_back(Next);
  const Poco::Net::SocketAddress Address(F.Settings.CallerAddress);
  cr_assert_eq(::connect(Caller, Address.addr(), Address.length()), 0);
  std::this_thread::sleep_for(50ms);
  const std::clock_t Before = std::clock();
  std::this_thread::sleep_for(500ms);
  const double CpuSeconds =
      static_cast<double>(std::clock() - Before) / CLOCKS_PER_SEC;
  for (const int Each : Descriptors)
    ::close(Each);
  cr_assert_lt(CpuSeconds, 0.25, "%.3f s of CPU time", CpuSeconds);
  const std::string Response = F.call(FrontFixture::request("/safe/x"));
  cr_assert(Response.starts_with("HTTP/1.1 503"), "%s", Response.c_str());
}

// Guards against unbounded memory for a caller that pipelines requests faster
// than they are served.
Test(ConnectionEnd, pipelinedInputIsBounded, .timeout = 30) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, okResponse("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  Socket Caller = F.connect();
  const std::string SingleRequest = FrontFixture::request("/safe/x");
  std::string ManyRequests;
  while (ManyRequests.size() < 1U << 20U)
    ManyRequests += SingleRequest;
  std::size_t Sent = 0;
  std::size_t Responses = 0;
  const auto Deadline = std::chrono::steady_clock::now() + 2s;
  std::string Buffer(1U << 16U, ' ');
  while (std::chrono::steady_clock::now() < Deadline) {
    const ::ssize_t SentNow =
        ::send(Caller.impl()->sockfd(),
               ManyRequests.data() + Sent % ManyRequests.size(),
               ManyRequests.size() - Sent % ManyRequests.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
    Sent += SentNow > 0 ? static_cast<std::size_t>(SentNow) : 0;
    const ::ssize_t ReceivedNow = ::recv(Caller.impl()->sockfd(), Buffer.data(),
                                         Buffer.size(), MSG_DONTWAIT);
    const std::string_view Received(
        Buffer.data(),
        ReceivedNow > 0 ? static_cast<std::size_t>(ReceivedNow) : 0);
    for (std::size_t At = Received.find("HTTP/1.1");
         At != std::string_view::npos; At = Received.find("HTTP/1.1", At + 1))
      ++Responses;
    if (SentNow <= 0 && ReceivedNow <= 0)
      std::this_thread::sleep_for(1ms);
  }
  // The kernel's buffers at both ends hold up to 10 MB.
  cr_assert_lt(Sent - Responses * SingleRequest.size(), 12U << 20U,
               "%zu bytes sent, %zu responses", Sent, Responses);
}

// Guards against a drain timeout that starts only when a blocked loop
// continues: the process would be killed before the final responses are sent.
Test(ConnectionEnd, drainTimeoutRunsFromSignal, .timeout = 30) {
  BlockedRequests B;
  B.Front.blockLoopOnMetrics(2s);
  Socket Caller = B.sendRequest();
  Socket Operator{Poco::Net::SocketAddress(B.Front.Settings.OperatorAddress)};
  sendText(Operator, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(100ms);
  const auto SignalledAt = std::chrono::steady_clock::now();
  B.Front.front().drain();
  readUntil(Caller, "\r\n\r\n");
  const auto ResponseTime = std::chrono::steady_clock::now() - SignalledAt;
  cr_assert(ResponseTime < B.Front.Settings.DrainTimeout, "%.1f s",
            std::chrono::duration<double>(ResponseTime).count());
}

// Guards against a response that looks complete although the process ended
// before all of it was sent.
Test(ConnectionEnd, responseTruncatedByEndOfDrainIsReset, .timeout = 30) {
  LargeResponses L;
  Socket Caller = L.sendRequest("Connection: close\r\n");
  L.Front.front().drain();
  std::this_thread::sleep_for(L.Front.Settings.DrainTimeout);
  const std::string Received = readUntil(Caller, ResponseEnd);
  cr_assert(Received.ends_with("(broken)"), "received %zu bytes",
            Received.size());
}

// Guards against a truncated stream that looks complete to an HTTP/1.0 caller,
// which has closed its sending side and counts as disconnected.
Test(ConnectionEnd, streamTruncatedAfterHalfCloseIsReset, .timeout = 30) {
  SlowStreamServer StreamServer;
  FrontFixture F;
  F.addServer(StreamServer.Server);
  F.start();
  Socket Caller = F.connect();
  sendText(Caller, http10Request("/stream/x"));
  readUntil(Caller, "id: 1");
  Caller.shutdownSend();
  const std::string Rest = readUntil(Caller, "never");
  StreamServer.release();
  cr_assert(Rest.ends_with("(broken)"), "received: %s", Rest.c_str());
}
