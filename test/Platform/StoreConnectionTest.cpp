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

constexpr const char *Whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

/// A store that answers the first call with "told" and a text behind it, ends
/// the connection a moment later where the test wants it, and answers one call
/// on a second connection with "next".
class TwoCallStore {
public:
  TwoCallStore(std::string TextBehind, bool Ends)
      : Listening(Poco::Net::SocketAddress("127.0.0.1:0")),
        Worker([this, Behind = std::move(TextBehind), Ends] {
          Socket First = this->Listening.acceptConnection();
          answer(First, std::string(Whole) + "told" + Behind);
          if (Ends)
            First.close();
          if (!this->Listening.poll(Poco::Timespan(2, 0), Socket::SELECT_READ))
            return;
          Socket Second = this->Listening.acceptConnection();
          answer(Second, std::string(Whole) + "next");
        }) {}

  ~TwoCallStore() { this->Worker.join(); }
  TwoCallStore(const TwoCallStore &) = delete;
  TwoCallStore &operator=(const TwoCallStore &) = delete;

  std::string address() const { return this->Listening.address().toString(); }

private:
  static void answer(Socket &On, const std::string &Text) {
    std::array<char, 4096> Piece{};
    try {
      if (On.receiveBytes(Piece.data(), Piece.size()) > 0)
        On.sendBytes(Text.data(), static_cast<int>(Text.size()));
    } catch (const Poco::Exception &) {
      // The client has left.
    }
  }

  Poco::Net::ServerSocket Listening;
  std::thread Worker;
};

/// Makes two calls, a moment apart; what the second one got.
Result<StoreResponse> secondOfTwo(const std::string &Address) {
  StoreConnection Store(Address, 10s, Clock::steady());
  const auto First = Store.call({"GET", "/a", ""}, 1s);
  cr_assert(First.has_value());
  cr_assert_eq(First->Body, "told");
  std::this_thread::sleep_for(200ms);
  return Store.call({"POST", "/b", "{}"}, 1s);
}

} // namespace

// Guards against a call over a connection that the store has ended: it fails,
// and whether it took effect is not known.
Test(StoreConnection, aConnectionThatTheStoreHasEndedIsReplaced) {
  TwoCallStore Store("", true);
  const auto Second = secondOfTwo(Store.address());
  cr_assert(Second.has_value(), "%s", Second.error().Message.c_str());
  cr_assert_eq(Second->Body, "next");
}

// Guards against an answer that is taken for the next call's: it came together
// with the end of the one before.
Test(StoreConnection, whatCameBehindAnAnswerIsNotTheNextOne) {
  TwoCallStore Store(std::string(Whole) + "late", false);
  const auto Second = secondOfTwo(Store.address());
  cr_assert(Second.has_value(), "%s", Second.error().Message.c_str());
  cr_assert_eq(Second->Body, "next", "got %s", Second->Body.c_str());
}
