#include "Backend/EngineFixture.h"
#include "Backend/PlainServiceClient.h"
#include "Backend/ShortCall.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <criterion/criterion.h>
#include <functional>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// How a server ends the connection.
enum class ConnectionEnd { Orderly, Reset };

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                         "Request-Id: r1\r\nContent-Length: 12\r\n\r\n";

/// Runs a call at a server that sends this much of a head and ends the
/// connection.
void callServer(const std::string &Sent, ConnectionEnd End,
                const std::function<void(const std::string &Address)> &Call) {
  Poco::Net::ServerSocket Listening{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::thread Server([&] {
    Poco::Net::StreamSocket Connection = Listening.acceptConnection();
    std::array<char, 4096> Buffer{};
    Connection.receiveBytes(Buffer.data(), Buffer.size());
    if (!Sent.empty())
      Connection.sendBytes(Sent.data(), static_cast<int>(Sent.size()));
    if (End == ConnectionEnd::Reset) {
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
      Connection.setLinger(true, 0);
    }
  });
  Call(Listening.address().toString());
  Server.join();
}

AttemptOutcome outcomeOf(const std::string &Sent, ConnectionEnd End) {
  AttemptOutcome Outcome = AttemptOutcome::Completed;
  callServer(Sent, End, [&Outcome](const std::string &Address) {
    BackendCounters Counters;
    PlainServiceClient Client(BackendSettings{}, Counters);
    PlainCall Call;
    Call.Address = Address;
    Call.Method = "GET";
    Call.Path = "/";
    Call.Identity = "request-1.1";
    PlainListener Listener;
    Listener.BodyReceived = [](std::string_view) { return true; };
    Outcome = Client.run(Call, Listener).Outcome;
  });
  return Outcome;
}

} // namespace

// Guards against taking a head that its server has cut off for a response
// without a body.
Test(CutHead, isNoResponseOfAPlainService, .timeout = 60) {
  for (std::size_t Length = 0; Length < Head.size(); ++Length)
    for (const auto End : {ConnectionEnd::Orderly, ConnectionEnd::Reset})
      cr_expect(outcomeOf(Head.substr(0, Length), End) !=
                    AttemptOutcome::Completed,
                "cut behind %zu bytes, %s", Length,
                End == ConnectionEnd::Reset ? "reset" : "closed");
}

// The same of the calls that have no attempt: probes, load reports, orders.
Test(CutHead, isNoResponseOfAShortCall, .timeout = 60) {
  for (std::size_t Length = 0; Length < Head.size(); ++Length)
    for (const auto End : {ConnectionEnd::Orderly, ConnectionEnd::Reset})
      callServer(Head.substr(0, Length), End, [&](const std::string &Address) {
        ShortCall Call;
        Call.Address = Address;
        Call.Path = "/health";
        Call.Timeout = std::chrono::seconds(2);
        cr_expect_not(runShortCall(Call).has_value(),
                      "cut behind %zu bytes, %s", Length,
                      End == ConnectionEnd::Reset ? "reset" : "closed");
      });
}

// Guards against checks that reject a whole head.
Test(CutHead, aWholeHeadIsAResponse) {
  cr_expect(outcomeOf(Head + "hello, world", ConnectionEnd::Orderly) ==
            AttemptOutcome::Completed);
}
