#include "Backend/PlainServiceClient.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <criterion/criterion.h>
#include <functional>
#include <thread>
#include <utility>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

void sendText(Socket &To, const std::string &Text) {
  To.sendBytes(Text.data(), static_cast<int>(Text.size()));
}

/// Reads a request head, and any bytes received with it; false if the
/// connection ended.
bool readHead(Socket &From) {
  std::string Received;
  std::array<char, 4096> Buffer{};
  while (Received.find("\r\n\r\n") == std::string::npos) {
    const int Count = From.receiveBytes(Buffer.data(), Buffer.size());
    if (Count <= 0)
      return false;
    Received.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return true;
}

/// A server that accepts `Connections` connections one after another and calls
/// `Serve` for each.
class OneByOneServer {
public:
  OneByOneServer(int Connections, std::function<void(Socket &)> Serve)
      : Listening(Poco::Net::SocketAddress("127.0.0.1:0")),
        Worker([this, Connections, Serve = std::move(Serve)] {
          for (int Count = 0; Count < Connections; ++Count) {
            Socket Accepted = this->Listening.acceptConnection();
            try {
              Serve(Accepted);
            } catch (const Poco::Exception &) {
              // The client has disconnected.
            }
          }
        }) {}

  ~OneByOneServer() { this->Worker.join(); }
  OneByOneServer(const OneByOneServer &) = delete;
  OneByOneServer &operator=(const OneByOneServer &) = delete;

  std::string address() const { return this->Listening.address().toString(); }

private:
  Poco::Net::ServerSocket Listening;
  std::thread Worker;
};

/// A client that stores the body of the last response.
class Client {
public:
  PlainResult run(const PlainCall &Call) {
    this->Body.clear();
    PlainListener Listener;
    Listener.BodyReceived = [this](std::string_view Buffer) {
      this->Body += Buffer;
      return true;
    };
    return this->Service.run(Call, Listener);
  }

  std::string Body;

private:
  static BackendSettings settings() {
    BackendSettings Settings;
    Settings.FirstEventTimeout = 3s;
    Settings.ProbeTimeout = 100ms;
    return Settings;
  }

  BackendCounters Counters;
  PlainServiceClient Service{settings(), this->Counters};
};

constexpr const char *Refusal =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Content-Type: application/problem+json\r\n"
    "Content-Length: 2\r\nConnection: close\r\n\r\n{}";

/// Checks that the client reads a refusal that the server sends after reading
/// only the request head. The server closes the connection after `CloseAfter`.
void checkRefusalIsReadWhileSending(std::chrono::milliseconds CloseAfter) {
  OneByOneServer Server(1, [CloseAfter](Socket &S) {
    readHead(S);
    sendText(S, Refusal);
    std::this_thread::sleep_for(CloseAfter);
  });
  Client Caller;
  PlainCall Call;
  Call.Address = Server.address();
  Call.Body = std::string(32U << 20U, 'b');
  const PlainResult Result = Caller.run(Call);
  cr_assert_eq(Result.Status, 503, "got %d", Result.Status);
  cr_assert(Result.Outcome == AttemptOutcome::Rejected);
}

} // namespace

// Guards against taking bytes that arrived together with the end of one
// response for the response to the next request.
Test(ConnectionReuse, doesNotReuseAConnectionWithBytesAfterTheResponse) {
  OneByOneServer Server(2, [First = true](Socket &S) mutable {
    if (std::exchange(First, false)) {
      readHead(S);
      sendText(S, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
                  "HTTP/1.1 408 Request Timeout\r\nContent-Length: 4\r\n\r\n"
                  "late");
    } else {
      readHead(S);
      sendText(S, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    }
    readHead(S);
  });
  {
    Client Caller;
    PlainCall Call;
    Call.Address = Server.address();
    Call.Repeatable = true;
    cr_assert_eq(Caller.run(Call).Status, 200);
    cr_assert_eq(Caller.Body, "first");
    const PlainResult Second = Caller.run(Call);
    cr_expect_eq(Second.Status, 200, "got %d", Second.Status);
    cr_expect_eq(Caller.Body, "second", "got %s", Caller.Body.c_str());
  }
  // The server waits for two connections, but a client with the fault opens
  // only one.
  Socket Last;
  try {
    Last.connect(Poco::Net::SocketAddress(Server.address()), 100000);
  } catch (const Poco::Exception &) {
    // Both connections were served.
  }
}

// Guards against ignoring a response that has already arrived when the rest of
// the request can no longer be sent: "not run" would become "unknown".
Test(ConnectionReuse, readsAResponseThatArrivedBeforeTheRequestWasSent,
     .timeout = 30) {
  // Long enough for the response to arrive before the reset that follows it.
  checkRefusalIsReadWhileSending(200ms);
}

// Guards against a send that blocks because the server has responded and
// stopped reading the request.
Test(ConnectionReuse, readsAResponseThatStopsTheSendImmediately,
     .timeout = 30) {
  checkRefusalIsReadWhileSending(4s);
}

// Guards against treating a 304 as truncated: it may state the length of a body
// that it does not have.
Test(ConnectionReuse, acceptsAResponseThatNeverHasABody) {
  OneByOneServer Server(1, [](Socket &S) {
    readHead(S);
    sendText(S, "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n");
    readHead(S);
  });
  Client Caller;
  PlainCall Call;
  Call.Address = Server.address();
  Call.Method = "GET";
  const PlainResult Result = Caller.run(Call);
  cr_assert(Result.Outcome == AttemptOutcome::Completed);
}
