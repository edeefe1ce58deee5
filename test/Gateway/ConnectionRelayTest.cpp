#include "Gateway/ConnectionRelay.h"
#include "FreeAddress.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <array>
#include <criterion/criterion.h>
#include <optional>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LargeBytes = 8U << 20U;

/// A caller, a relay on an event loop in a thread of its own, and its target.
class RelayFixture {
public:
  explicit RelayFixture(bool TargetListens = true)
      : Entry(Poco::Net::SocketAddress("127.0.0.1:0")) {
    Poco::Net::SocketAddress TargetAddress(test::freeLoopbackAddress());
    if (TargetListens) {
      this->Listening.bind(TargetAddress, true, false);
      this->Listening.listen(8);
    }
    this->Caller.connect(this->Entry.address());
    this->Caller.setReceiveTimeout(Poco::Timespan(5, 0));
    this->Loop.post([this, TargetAddress] {
      this->Relay = std::make_shared<ConnectionRelay>(
          this->Loop, ByteChannel::fromAccepted(
                          this->Loop, this->Entry.acceptConnection()));
      this->Relay->setCallbacks({[this](std::shared_ptr<ByteChannel> Channel) {
                                   this->ServedHere = std::move(Channel);
                                   this->ServedHere->setListener(
                                       {{},
                                        [this](std::string_view Bytes) {
                                          this->ServedHere->write(Bytes);
                                        },
                                        {},
                                        {}});
                                 },
                                 [](const char *) {}});
      cr_assert(
          this->Relay->start(TargetAddress, Poco::Net::IPAddress("127.0.0.2")));
    });
    this->LoopThread = std::thread([this] { this->Loop.run(); });
    if (!TargetListens)
      return;
    this->Target = this->Listening.acceptConnection();
    this->Target->setReceiveTimeout(Poco::Timespan(5, 0));
  }

  ~RelayFixture() {
    this->Loop.stop();
    this->LoopThread.join();
  }

  RelayFixture(const RelayFixture &) = delete;
  RelayFixture &operator=(const RelayFixture &) = delete;

  EventLoop Loop{Clock::steady()};
  Poco::Net::ServerSocket Entry;
  Poco::Net::ServerSocket Listening;
  Poco::Net::StreamSocket Caller;
  std::optional<Poco::Net::StreamSocket> Target;

private:
  std::shared_ptr<ConnectionRelay> Relay;
  std::shared_ptr<ByteChannel> ServedHere;
  std::thread LoopThread;
};

void sendAll(Poco::Net::StreamSocket &To, std::string_view Bytes) {
  while (!Bytes.empty())
    Bytes.remove_prefix(static_cast<std::size_t>(
        To.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()))));
}

/// Empty once the connection has ended; none if it was reset.
std::optional<std::string> receive(Poco::Net::StreamSocket &From) {
  std::array<char, 65536> Buffer{};
  try {
    const int Count = From.receiveBytes(Buffer.data(), Buffer.size());
    return std::string(Buffer.data(), static_cast<std::size_t>(Count));
  } catch (const Poco::Net::ConnectionResetException &) {
    return std::nullopt;
  }
}

std::string receiveBytes(Poco::Net::StreamSocket &From, std::size_t Count) {
  std::string Received;
  while (Received.size() < Count) {
    const auto Piece = receive(From);
    if (!Piece || Piece->empty())
      break;
    Received += *Piece;
  }
  return Received;
}

std::string pattern(std::size_t Size) {
  std::string Bytes(Size, '\0');
  for (std::size_t I = 0; I < Size; ++I)
    Bytes[I] = static_cast<char>(I * 31 + I / 251);
  return Bytes;
}

} // namespace

// Guards against bytes that are lost, doubled or exchanged where one side reads
// slower than the other one sends, and between small pieces.
Test(ConnectionRelay, forwardsLargeAndSmallPiecesBothWays, .timeout = 60) {
  RelayFixture Fixture;
  const std::string Large = pattern(LargeBytes);
  for (const bool ToTarget : {true, false}) {
    Poco::Net::StreamSocket &From = ToTarget ? Fixture.Caller : *Fixture.Target;
    Poco::Net::StreamSocket &To = ToTarget ? *Fixture.Target : Fixture.Caller;
    std::thread Sender([&] { sendAll(From, Large); });
    std::this_thread::sleep_for(200ms);
    cr_expect(receiveBytes(To, Large.size()) == Large);
    Sender.join();
    for (int I = 0; I < 50; ++I) {
      const std::string Piece = "data: " + std::to_string(I) + "\n\n";
      sendAll(From, Piece);
      cr_expect_eq(receiveBytes(To, Piece.size()), Piece);
    }
  }
}

// Guards against a caller whose request is lost because the target cannot be
// reached.
Test(ConnectionRelay, anUnreachableTargetLeavesTheConnectionAsItWas) {
  RelayFixture Fixture(false);
  sendAll(Fixture.Caller, "request");
  cr_expect_eq(receiveBytes(Fixture.Caller, 7), "request");
}

// Guards against a response that looks complete though its target was reset, or
// was killed behind a request.
Test(ConnectionRelay, aTargetThatDiesResetsTheCaller) {
  for (const bool WithReset : {true, false}) {
    RelayFixture Fixture;
    sendAll(Fixture.Caller, "request");
    cr_assert_eq(receiveBytes(*Fixture.Target, 7), "request");
    if (WithReset) {
      sendAll(*Fixture.Target, "part of a response");
      cr_assert_eq(receiveBytes(Fixture.Caller, 18), "part of a response");
      Fixture.Target->setLinger(true, 0);
    }
    Fixture.Target->close();
    cr_expect_not(receive(Fixture.Caller));
  }
}

// Guards against a response whose end is lost because its target closes the
// connection behind it.
Test(ConnectionRelay, aResponseBeforeTheTargetsEndArrives) {
  RelayFixture Fixture;
  sendAll(Fixture.Caller, "request");
  cr_assert_eq(receiveBytes(*Fixture.Target, 7), "request");
  const std::string Large = pattern(LargeBytes);
  std::thread Sender([&] {
    sendAll(*Fixture.Target, Large);
    Fixture.Target->shutdownSend();
  });
  std::this_thread::sleep_for(200ms);
  cr_expect(receiveBytes(Fixture.Caller, Large.size()) == Large);
  cr_expect_eq(receive(Fixture.Caller).value_or("reset"), "");
  Sender.join();
}

// Guards against work that goes on at the target for a caller that has left.
Test(ConnectionRelay, aCallerThatLeavesEndsTheTargetsSide) {
  for (const bool WithReset : {true, false}) {
    RelayFixture Fixture;
    sendAll(Fixture.Caller, "request");
    cr_assert_eq(receiveBytes(*Fixture.Target, 7), "request");
    if (WithReset)
      Fixture.Caller.setLinger(true, 0);
    Fixture.Caller.close();
    Fixture.Target->setReceiveTimeout(Poco::Timespan(0, 500'000));
    cr_expect_eq(receive(*Fixture.Target).value_or(""), "");
  }
}
