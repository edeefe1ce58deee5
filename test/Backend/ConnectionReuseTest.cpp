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

/// Reads the head of a request, and what comes with it; false at the end.
bool readHead(Socket &From) {
  std::string Got;
  std::array<char, 4096> Piece{};
  while (Got.find("\r\n\r\n") == std::string::npos) {
    const int Count = From.receiveBytes(Piece.data(), Piece.size());
    if (Count <= 0)
      return false;
    Got.append(Piece.data(), static_cast<std::size_t>(Count));
  }
  return true;
}

/// A server that serves so many connections, one after the other, each by one
/// call of the test's function.
class OneByOneServer {
public:
  OneByOneServer(int Connections, std::function<void(Socket &)> Serve)
      : Listening(Poco::Net::SocketAddress("127.0.0.1:0")),
        Worker([this, Connections, Serve = std::move(Serve)] {
          for (int Served = 0; Served < Connections; ++Served) {
            Socket Accepted = this->Listening.acceptConnection();
            try {
              Serve(Accepted);
            } catch (const Poco::Exception &) {
              // The client has left.
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

/// A client whose calls collect the bodies of their answers.
class Client {
public:
  PlainResult run(const PlainCall &Call) {
    this->Body.clear();
    PlainListener Listener;
    Listener.BodyReceived = [this](std::string_view Piece) {
      this->Body += Piece;
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

/// A server refuses a request of which it has read the head alone, and ends the
/// connection after this time: the client takes it for not run.
void checkRefusalIsReadWhileSending(std::chrono::milliseconds EndAfter) {
  OneByOneServer Server(1, [EndAfter](Socket &S) {
    readHead(S);
    sendText(S, Refusal);
    std::this_thread::sleep_for(EndAfter);
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

// Guards against an answer that is taken for the next request's: it came with
// the end of the one before, and was read but not looked at.
Test(ConnectionReuse, aConnectionWithBytesReadBehindItsAnswerIsNotKept) {
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
  // The server waits for two connections; with the fault there was one.
  Socket Last;
  try {
    Last.connect(Poco::Net::SocketAddress(Server.address()), 100000);
  } catch (const Poco::Exception &) {
    // Both were served.
  }
}

// Guards against an answer that lies in the system while the rest of its
// request cannot be sent any more: "not run" would become "unknown".
Test(ConnectionReuse, anAnswerThatCameBeforeTheRequestWasSentIsRead,
     .timeout = 30) {
  // Long enough for the answer to arrive before the reset that follows.
  checkRefusalIsReadWhileSending(200ms);
}

// Guards against a send that waits for a server that has answered and reads no
// more of the request.
Test(ConnectionReuse, anAnswerThatStopsTheSendIsReadAtOnce, .timeout = 30) {
  checkRefusalIsReadWhileSending(4s);
}

// Guards against an answer that is taken for a cut one: a 304 states the length
// of a body that it does not carry.
Test(ConnectionReuse, anAnswerThatNeverHasABodyIsWhole) {
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
