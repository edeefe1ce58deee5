#include "Gateway/FrontFixture.h"
#include "Gateway/PausingServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <future>
#include <string>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Longer than any limit after which another server is asked.
constexpr auto Pause = 1400ms;
constexpr auto RequestTimeout = 6s;

/// Two servers: the one that gets the first request pauses, and the other one
/// rejects what it gets.
struct PausingFleet {
  explicit PausingFleet(const PausedResponse &R, std::uint32_t Slots = 4)
      : Response(R) {
    this->Front.Slots = Slots;
    this->Front.addServer(this->First);
    this->Front.addServer(this->Second);
    for (GatewayRoute &Each : this->Front.Configuration.Routes)
      Each.Timeout = RequestTimeout;
  }

  std::string call(const std::string &Path) {
    return this->Front.call(
        "GET " + Path +
        " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: " +
        std::to_string(std::chrono::milliseconds(RequestTimeout).count()) +
        "\r\nAuthorization: Token key\r\n\r\n");
  }

  bool serve(Poco::Net::StreamSocket &Connection, const std::string &Request) {
    if (Request.find(" /once/") != std::string::npos)
      sendWithPause(Connection, Request,
                    {PausePoint::BeforeHead, RequestTimeout / 2});
    else if (this->Requests++ == 0)
      sendWithPause(Connection, Request, this->Response);
    else
      sendText(Connection, RejectedResponse);
    return true;
  }

  PausedResponse Response;
  std::atomic<int> Requests{0};
  ScriptedServer First{[this](Poco::Net::StreamSocket &C,
                              const std::string &R) { return serve(C, R); }};
  ScriptedServer Second{[this](Poco::Net::StreamSocket &C,
                               const std::string &R) { return serve(C, R); }};
  FrontFixture Front;
};

} // namespace

// Guards against a stream that is truncated because its server pauses and no
// other server takes it.
Test(UnresponsiveServer, streamGoesOnAtItsServerIfNoOtherTakesIt,
     .timeout = 60) {
  for (const PausePoint Point :
       {PausePoint::BeforeHead, PausePoint::AfterHead,
        PausePoint::BetweenEvents, PausePoint::InsideEvent}) {
    PausingFleet Fleet({Point, Pause});
    Fleet.Front.start();
    const std::string Received = Fleet.call("/stream/x");
    cr_assert(isWholeStream(Received, Fleet.Response.Events),
              "pause point %d: %s", static_cast<int>(Point), Received.c_str());
  }
}

// Guards against a request that fails because its server pauses and no other
// server takes it.
Test(UnresponsiveServer, requestIsServedByItsServerIfNoOtherTakesIt,
     .timeout = 60) {
  PausingFleet Fleet({PausePoint::BeforeHead, Pause});
  Fleet.Front.start();
  const std::string Received = Fleet.call("/safe/x");
  cr_assert(Received.starts_with("HTTP/1.1 200"), "%s", Received.c_str());
}

// Guards against a stream that is truncated because its server pauses and the
// allocator has no capacity elsewhere.
Test(UnresponsiveServer, streamGoesOnAtItsServerWithoutCapacityElsewhere,
     .timeout = 60) {
  PausingFleet Fleet({PausePoint::BetweenEvents, Pause}, 1);
  Fleet.Front.Configuration.Services["plain"].KvCapacityTokens = 100'000;
  Fleet.Front.start();
  auto Other = std::async(std::launch::async, [&] {
    return Fleet.call("/once/occupies-the-other-server");
  });
  std::this_thread::sleep_for(100ms);
  const std::string Received = Fleet.call("/stream/x");
  cr_assert(isWholeStream(Received, Fleet.Response.Events), "%s",
            Received.c_str());
  Other.wait();
}
