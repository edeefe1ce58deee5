#include "Platform/StoreConnection.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

constexpr const char *ResponseHead =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

/// A store that answers the first call with "told" followed by some trailing
/// text, closes the connection afterwards if the test asks for it, and answers
/// one call on a second connection with "next".
class TwoCallStore {
public:
  TwoCallStore(std::string TrailingText, bool Closes)
      : Listener(Poco::Net::SocketAddress("127.0.0.1:0")),
        Worker([this, Trailing = std::move(TrailingText), Closes] {
          Socket First = this->Listener.acceptConnection();
          respond(First, std::string(ResponseHead) + "told" + Trailing);
          if (Closes)
            First.close();
          if (!this->Listener.poll(Poco::Timespan(2, 0), Socket::SELECT_READ))
            return;
          Socket Second = this->Listener.acceptConnection();
          respond(Second, std::string(ResponseHead) + "next");
        }) {}

  ~TwoCallStore() { this->Worker.join(); }
  TwoCallStore(const TwoCallStore &) = delete;
  TwoCallStore &operator=(const TwoCallStore &) = delete;

  std::string address() const { return this->Listener.address().toString(); }

private:
  static void respond(Socket &Connection, const std::string &Text) {
    std::array<char, 4096> Buffer{};
    try {
      if (Connection.receiveBytes(Buffer.data(), Buffer.size()) > 0)
        Connection.sendBytes(Text.data(), static_cast<int>(Text.size()));
    } catch (const Poco::Exception &) {
      // The client has disconnected.
    }
  }

  Poco::Net::ServerSocket Listener;
  std::thread Worker;
};

/// Makes two calls with a pause in between and returns the second result.
Result<StoreResponse> secondOfTwo(const std::string &Address) {
  StoreConnection Store(Address, 10s, Clock::steady());
  const auto First = Store.call({"GET", "/a", ""}, 1s);
  cr_assert(First.has_value());
  cr_assert_eq(First->Body, "told");
  std::this_thread::sleep_for(200ms);
  return Store.call({"POST", "/b", "{}"}, 1s);
}

} // namespace

// Guards against a call over a connection that the store has closed: the call
// would fail, and it would not be known whether it took effect.
Test(StoreConnection, aConnectionThatTheStoreHasClosedIsReplaced) {
  TwoCallStore Store("", true);
  const auto Second = secondOfTwo(Store.address());
  cr_assert(Second.has_value(), "%s", Second.error().Message.c_str());
  cr_assert_eq(Second->Body, "next");
}

// Guards against taking data that arrived together with the end of one response
// for the response to the next call.
Test(StoreConnection, dataAfterAResponseIsNotTheNextResponse) {
  TwoCallStore Store(std::string(ResponseHead) + "late", false);
  const auto Second = secondOfTwo(Store.address());
  cr_assert(Second.has_value(), "%s", Second.error().Message.c_str());
  cr_assert_eq(Second->Body, "next", "got %s", Second->Body.c_str());
}

namespace {

/// Makes one call to a store that sends this text and ends the connection,
/// orderly or by a reset.
Result<StoreResponse> callCutAfter(const std::string &Text, bool Resets) {
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  std::thread Worker([&] {
    Socket Connection = Listener.acceptConnection();
    std::array<char, 4096> Buffer{};
    Connection.receiveBytes(Buffer.data(), Buffer.size());
    if (!Text.empty())
      Connection.sendBytes(Text.data(), static_cast<int>(Text.size()));
    if (Resets) {
      std::this_thread::sleep_for(3ms);
      Connection.setLinger(true, 0);
    }
  });
  StoreConnection Store(Listener.address().toString(), 10s, Clock::steady());
  auto Response = Store.call({"POST", "/a", "{}"}, 2s);
  Worker.join();
  return Response;
}

} // namespace

// Guards against taking a head that was cut off for a response: a renewed lease
// or a written entry has no body that would show it.
Test(StoreConnection, aHeadThatIsCutOffIsNoResponse, .timeout = 60) {
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: "
                           "application/json\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t Length = 0; Length < Head.size(); ++Length)
    for (const bool Resets : {false, true})
      cr_expect_not(callCutAfter(Head.substr(0, Length), Resets).has_value(),
                    "cut behind %zu bytes, %s", Length,
                    Resets ? "reset" : "closed");
  cr_expect(callCutAfter(Head, false).has_value());
}
