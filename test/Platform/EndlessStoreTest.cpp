#include "Platform/StoreConnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

constexpr Duration Limit = 600ms;
constexpr auto MaxTime = 1200ms;
constexpr auto MaxSending = 4s;

/// A store that responds to its first call with bytes without end.
class EndlessStore {
public:
  EndlessStore(std::string Start, std::string Repeated,
               std::chrono::milliseconds Interval)
      : Listener(Poco::Net::SocketAddress("127.0.0.1:0")),
        Worker([this, Start = std::move(Start), Repeated = std::move(Repeated),
                Interval] {
          Socket Connection = this->Listener.acceptConnection();
          std::array<char, 4096> Buffer{};
          const auto Until = std::chrono::steady_clock::now() + MaxSending;
          try {
            Connection.receiveBytes(Buffer.data(), Buffer.size());
            send(Connection, Start);
            while (std::chrono::steady_clock::now() < Until) {
              send(Connection, Repeated);
              std::this_thread::sleep_for(Interval);
            }
          } catch (const Poco::Exception &) {
            this->Closed = true;
          }
        }) {}

  ~EndlessStore() { this->Worker.join(); }
  EndlessStore(const EndlessStore &) = delete;
  EndlessStore &operator=(const EndlessStore &) = delete;

  std::string address() const { return this->Listener.address().toString(); }

  std::atomic<bool> Closed{false};

private:
  static void send(Socket &Connection, const std::string &Text) {
    if (!Text.empty())
      Connection.sendBytes(Text.data(), static_cast<int>(Text.size()));
  }

  Poco::Net::ServerSocket Listener;
  std::thread Worker;
};

void expectFailure(const std::string &Start, const std::string &Repeated,
                   std::chrono::milliseconds Interval) {
  EndlessStore Store(Start, Repeated, Interval);
  StoreConnection Connection(Store.address(), 3s, Clock::steady());
  const auto Before = std::chrono::steady_clock::now();
  const auto Response = Connection.call({"GET", "/x", ""}, Limit);
  const auto Time = std::chrono::steady_clock::now() - Before;
  cr_expect_not(Response.has_value());
  cr_expect(Time < MaxTime);
}

} // namespace

// Guards against a thread that reads a head of the store for as long as bytes
// of it come.
Test(EndlessStore, failsOnAHeadByteByByte) {
  expectFailure("HTTP/1.1 200 OK\r\nA: ", "x", 50ms);
}

// Guards against reading header fields without end.
Test(EndlessStore, failsOnHeaderFieldsWithoutEnd) {
  expectFailure("HTTP/1.1 200 OK\r\n", "Abc: def\r\n", 0ms);
}

// Guards against reading interim responses without end.
Test(EndlessStore, failsOnInterimResponsesWithoutEnd) {
  expectFailure("", "HTTP/1.1 100 Continue\r\n\r\n", 0ms);
}

// Guards against reading blank lines before the status line without end.
Test(EndlessStore, failsOnBlankLinesWithoutEnd) {
  expectFailure("", "\r\n", 20ms);
}

// Guards against a body that comes byte by byte.
Test(EndlessStore, failsOnABodyByteByByte) {
  expectFailure("HTTP/1.1 200 OK\r\n\r\n", "x", 50ms);
}
