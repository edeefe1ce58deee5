#include "Gateway/FrontFixture.h"
#include "Gateway/HedgeFleet.h"
#include "Gateway/PausingServer.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
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

namespace {

/// Longer than any wait of a test, and than any request's time.
constexpr auto Silence = 9s;
/// Within this time of the first event of one attempt, the other is closed.
constexpr auto MaxCloseDelay = 500ms;
/// A server notices that its connection is closed this much later.
constexpr auto NoticeDelay = 200ms;
constexpr int EventCount = 6;

PlannedReaction pausing(PausePoint Point, std::chrono::milliseconds Time) {
  return {ServerReaction::Pause, {Point, Time, EventCount}};
}

PlannedReaction serving() { return pausing(PausePoint::BeforeHead, 0ms); }

PlannedReaction disconnecting(std::chrono::milliseconds After) {
  return {ServerReaction::Disconnect,
          {PausePoint::BetweenEvents, After, EventCount}};
}

const PlannedReaction Rejecting{ServerReaction::Reject, {}};

std::string endSeries(const std::string &End) {
  return "server_silences_ended_total{end=\"" + End + "\"}";
}

std::string terminationSeries(const std::string &Cause) {
  return "requests_terminated_total{cause=\"" + Cause + "\"}";
}

/// Fails unless the loser's connection was closed soon after the first event
/// that the winner sent while both were open.
void expectLoserClosed(const ServerArrival &Loser,
                       const ServerArrival &Winner) {
  cr_assert(Loser.ClosedEarly);
  const SteadyTime BothOpen = std::max(Loser.Begin, Winner.Begin);
  for (const SteadyTime Each : Winner.Events)
    if (Each >= BothOpen) {
      cr_assert_lt(Loser.End - Each, MaxCloseDelay);
      return;
    }
  cr_assert_fail("the winner sent no event");
}

void expectWhole(const std::string &Response, const std::string &What) {
  cr_assert(isWholeStream(Response, EventCount), "%s: %s", What.c_str(),
            Response.c_str());
}

/// Reads until the connection ends or nothing comes for this time.
std::string readUntilQuiet(Poco::Net::StreamSocket &Connection,
                           std::chrono::milliseconds Quiet) {
  std::string Received;
  std::array<char, 4096> Buffer{};
  while (Connection.poll(
      Poco::Timespan(0, std::chrono::microseconds(Quiet).count()),
      Poco::Net::Socket::SELECT_READ)) {
    int Count = 0;
    try {
      Count = Connection.receiveBytes(Buffer.data(),
                                      static_cast<int>(Buffer.size()));
    } catch (const Poco::Exception &) {
      return Received;
    }
    if (Count <= 0)
      return Received;
    Received.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return Received;
}

std::size_t responseCount(const std::string &Received) {
  std::size_t Count = 0;
  for (std::size_t At = Received.find("HTTP/1.1 "); At != std::string::npos;
       At = Received.find("HTTP/1.1 ", At + 1))
    ++Count;
  return Count;
}

bool waitForEnd(const FrontFixture &Front, std::chrono::milliseconds Time) {
  const SteadyTime Until = std::chrono::steady_clock::now() + Time;
  while (!Front.hasEnded() && std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(20ms);
  return Front.hasEnded();
}

} // namespace

// Guards against a stream that waits for a silent server although another one
// responds, and against work at the silent server that nobody waits for.
Test(UnresponsiveServer, otherServerGoesOnAndTheSilentOneIsClosed,
     .timeout = 60) {
  for (const PausePoint Point :
       {PausePoint::BeforeHead, PausePoint::AfterHead,
        PausePoint::BetweenEvents, PausePoint::InsideEvent}) {
    HedgeFleet Fleet({pausing(Point, Silence), serving()});
    Fleet.Front.start();
    expectWhole(Fleet.call("/stream/x"),
                "pause point " + std::to_string(static_cast<int>(Point)));
    const auto Arrivals = Fleet.waitForArrivals(2);
    expectLoserClosed(Arrivals.at(0), Arrivals.at(1));
    cr_assert_eq(Fleet.metric(endSeries("superseded")), 1U);
  }
}

// Guards against the same for a request whose response is no stream.
Test(UnresponsiveServer, otherServerRespondsAndTheSilentOneIsClosed,
     .timeout = 60) {
  HedgeFleet Fleet({pausing(PausePoint::BeforeHead, Silence), serving()});
  Fleet.Front.start();
  const std::string Received = Fleet.call("/safe/x");
  cr_assert(Received.starts_with("HTTP/1.1 200"), "%s", Received.c_str());
  const auto Arrivals = Fleet.waitForArrivals(2);
  expectLoserClosed(Arrivals.at(0), Arrivals.at(1));
}

// Guards against a stream that stays with the slower one of two servers.
Test(UnresponsiveServer, ifBothPauseTheFirstToWakeGoesOn, .timeout = 60) {
  struct Case {
    std::chrono::milliseconds FirstPause;
    std::chrono::milliseconds SecondPause;
    std::size_t Winner;
  };
  for (const Case &Each : {Case{1500ms, 3000ms, 0}, Case{3500ms, 600ms, 1}}) {
    HedgeFleet Fleet({pausing(PausePoint::BetweenEvents, Each.FirstPause),
                      pausing(PausePoint::BeforeHead, Each.SecondPause)});
    Fleet.Front.start();
    expectWhole(Fleet.call("/stream/x"),
                "winner " + std::to_string(Each.Winner));
    const auto Arrivals = Fleet.waitForArrivals(2);
    expectLoserClosed(Arrivals.at(1 - Each.Winner), Arrivals.at(Each.Winner));
    cr_assert_eq(
        Fleet.metric(endSeries(Each.Winner == 0 ? "recovered" : "superseded")),
        1U);
  }
}

// Guards against a grant that is used, or a request that is ended, after the
// silent server has responded while the grant was awaited.
Test(UnresponsiveServer, respondsWhileAnotherServerIsAwaited, .timeout = 60) {
  HedgeFleet Fleet({pausing(PausePoint::BeforeHead, 2500ms),
                    pausing(PausePoint::BetweenEvents, Pause)});
  ServerList List = Fleet.Front.servers();
  Fleet.Front.Configuration.Services["plain"].KvCapacityTokens = 100'000;
  Fleet.Front.start();
  for (auto &[Id, Server] : List)
    Server.Slots = 1;
  Fleet.Front.setServers(List);
  Poco::Net::StreamSocket Other = Fleet.open("/once/occupies-the-other-server");
  Fleet.firstServer();
  expectWhole(Fleet.call("/stream/x"), "stream");
  cr_assert_eq(Fleet.metric("server_silences_total"), 1U);
  cr_assert_eq(Fleet.metric(endSeries("recovered")), 1U);
  Fleet.waitForArrivals(2);
}

// Guards against a request that ends because its retry is denied while its
// server pauses.
Test(UnresponsiveServer, isWaitedForIfTheRetryBudgetDeniesAnother,
     .timeout = 60) {
  for (const char *Path : {"/stream/x", "/safe/x"}) {
    HedgeFleet Fleet({pausing(PausePoint::BeforeHead, Pause), serving()});
    Fleet.Front.Settings.Retries = {0, 10s, 0};
    Fleet.Front.start();
    const std::string Received = Fleet.call(Path);
    cr_assert(Received.starts_with("HTTP/1.1 200"), "%s", Received.c_str());
    Fleet.waitForArrivals(1);
    cr_assert_eq(Fleet.metric("sends_total"), 1U);
    cr_assert_gt(Fleet.metric("retries_denied_total{service=\"plain\"}"), 0U);
  }
}

// Guards against servers that go on working for a caller that has left.
Test(UnresponsiveServer, bothAttemptsAreClosedWhenTheCallerLeaves,
     .timeout = 60) {
  HedgeFleet Fleet({pausing(PausePoint::BetweenEvents, Silence),
                    pausing(PausePoint::BeforeHead, Silence)});
  Fleet.Front.start();
  Poco::Net::StreamSocket Caller = Fleet.open("/stream/x");
  std::this_thread::sleep_for(1500ms);
  const SteadyTime LeftAt = std::chrono::steady_clock::now();
  Caller.close();
  for (const ServerArrival &Each : Fleet.waitForArrivals(2)) {
    cr_assert(Each.ClosedEarly);
    cr_assert_gt(Each.End, LeftAt);
    cr_assert_lt(Each.End - LeftAt, MaxCloseDelay);
  }
  cr_assert_eq(Fleet.metric(terminationSeries("caller-left")), 1U);
  cr_assert_eq(Fleet.metric("requests_active"), 0U);
}

// Guards against a request without a final response, or with two, and against
// attempts that outlast it.
Test(UnresponsiveServer, deadlineEndsBothAttemptsWithOneResponse,
     .timeout = 60) {
  struct Case {
    const char *Path;
    PausePoint Point;
    const char *Status;
  };
  for (const Case &Each :
       {Case{"/safe/x", PausePoint::BeforeHead, "HTTP/1.1 504"},
        Case{"/stream/x", PausePoint::BetweenEvents, "HTTP/1.1 200"}}) {
    HedgeFleet Fleet({pausing(Each.Point, Silence),
                      pausing(PausePoint::BeforeHead, Silence)});
    Fleet.Front.start();
    const SteadyTime SentAt = std::chrono::steady_clock::now();
    Poco::Net::StreamSocket Caller = Fleet.open(Each.Path, 2000ms);
    const std::string Received = readUntilQuiet(Caller, 2300ms);
    cr_assert(Received.starts_with(Each.Status), "%s", Received.c_str());
    cr_assert_eq(responseCount(Received), 1U, "%s", Received.c_str());
    cr_assert(!isWholeStream(Received, EventCount));
    for (const ServerArrival &Arrival : Fleet.waitForArrivals(2)) {
      cr_assert(Arrival.ClosedEarly);
      cr_assert_lt(Arrival.End - SentAt, 2000ms + MaxCloseDelay);
    }
    cr_assert_eq(Fleet.metric(terminationSeries("deadline")), 1U);
  }
}

// Guards against a drain that cuts off a stream whose server is silent but goes
// on, or that does not end afterwards.
Test(UnresponsiveServer, drainWaitsForTheStream, .timeout = 60) {
  HedgeFleet Fleet({pausing(PausePoint::BetweenEvents, Pause), Rejecting});
  Fleet.Front.start();
  auto Response =
      std::async(std::launch::async, [&] { return Fleet.call("/stream/x"); });
  std::this_thread::sleep_for(1100ms);
  Fleet.Front.front().drain();
  expectWhole(Response.get(), "stream");
  cr_assert(waitForEnd(Fleet.Front, 3s));
}

// Guards against a drain that lasts longer than its limit, or ends without a
// final response, because two servers are silent.
Test(UnresponsiveServer, drainEndsBothAttempts, .timeout = 60) {
  HedgeFleet Fleet({pausing(PausePoint::BeforeHead, Silence),
                    pausing(PausePoint::BeforeHead, Silence)});
  Fleet.Front.Settings.DrainTimeout = 3s;
  Fleet.Front.start();
  auto Response =
      std::async(std::launch::async, [&] { return Fleet.call("/safe/x", 8s); });
  std::this_thread::sleep_for(800ms);
  Fleet.Front.front().drain();
  cr_assert(waitForEnd(Fleet.Front, 3s + NoticeDelay));
  const std::string Received = Response.get();
  cr_assert(Received.starts_with("HTTP/1.1 504"), "%s", Received.c_str());
  for (const ServerArrival &Each : Fleet.waitForArrivals(2))
    cr_assert(Each.ClosedEarly);
  cr_assert_eq(Fleet.metric(terminationSeries("draining")), 1U);
}

// Guards against a request that is ended by a new configuration, or by a list
// without its server, while that server pauses.
Test(UnresponsiveServer, isWaitedForAcrossNewViews, .timeout = 60) {
  for (const char *Path : {"/stream/x", "/safe/x"})
    for (const std::chrono::milliseconds ChangedAfter : {300ms, 1150ms}) {
      HedgeFleet Fleet({pausing(PausePoint::BeforeHead, Pause), Rejecting});
      Fleet.Front.start();
      auto Response =
          std::async(std::launch::async, [&] { return Fleet.call(Path); });
      const std::string First = Fleet.firstServer();
      std::this_thread::sleep_for(ChangedAfter);
      ++Fleet.Front.Configuration.Version;
      Fleet.Front.removeServer(First);
      const std::string Received = Response.get();
      cr_assert(Received.starts_with("HTTP/1.1 200"), "%s", Received.c_str());
      cr_assert_leq(Fleet.metric("sends_total"), 2U);
    }
}

// Guards against a stream that waits for a process that has been replaced.
Test(UnresponsiveServer, isGivenUpOnceItsProcessIsReplaced, .timeout = 60) {
  HedgeFleet Fleet({pausing(PausePoint::BetweenEvents, Silence), serving()});
  Fleet.Front.start();
  auto Response =
      std::async(std::launch::async, [&] { return Fleet.call("/stream/x"); });
  const std::string First = Fleet.firstServer();
  std::this_thread::sleep_for(300ms);
  Fleet.Front.restartServer(First, 1);
  expectWhole(Response.get(), "stream");
  const auto Arrivals = Fleet.waitForArrivals(2);
  cr_assert(Arrivals.at(0).ClosedEarly);
  cr_assert_lt(Arrivals.at(0).End, Arrivals.at(1).End);
}

// Guards against a stream that waits for a replaced process after the server
// that was asked instead has rejected it.
Test(UnresponsiveServer, isGivenUpIfItsProcessIsReplacedDuringTheHedge,
     .timeout = 60) {
  HedgeFleet Fleet(
      {pausing(PausePoint::BetweenEvents, Silence), Rejecting, serving()}, 3);
  Fleet.Front.start();
  auto Response =
      std::async(std::launch::async, [&] { return Fleet.call("/stream/x"); });
  const std::string First = Fleet.firstServer();
  std::this_thread::sleep_for(1100ms);
  Fleet.Front.restartServer(First, 1);
  expectWhole(Response.get(), "stream");
}

// Guards against a stream that is continued by another version of the software.
Test(UnresponsiveServer, asksNoServerOfAnotherVersion, .timeout = 60) {
  HedgeFleet Fleet({pausing(PausePoint::BetweenEvents, Pause), serving()});
  Fleet.Front.start();
  ServerList List = Fleet.Front.servers();
  List.at("s1").Version = "v2";
  Fleet.Front.setServers(List);
  expectWhole(Fleet.call("/stream/x"), "stream");
  Fleet.waitForArrivals(1);
  cr_assert_eq(Fleet.metric("sends_total"), 1U);
}

// Guards against a stream that is truncated because its silent server ends the
// connection while another one has the request.
Test(UnresponsiveServer, disconnectsWhileAnotherServerIsAsked, .timeout = 60) {
  HedgeFleet Fleet(
      {disconnecting(1300ms), pausing(PausePoint::BeforeHead, 800ms)});
  Fleet.Front.start();
  expectWhole(Fleet.call("/stream/x"), "stream");
  cr_assert_eq(Fleet.metric(endSeries("lost")), 1U);
}

// Guards against attempts that are counted twice: those behind a rejection,
// while the silent server's attempt is open.
Test(UnresponsiveServer, eachFurtherAttemptIsCountedOnce, .timeout = 60) {
  HedgeFleet Fleet(
      {pausing(PausePoint::BetweenEvents, Pause), Rejecting, Rejecting}, 3);
  Fleet.Front.start();
  expectWhole(Fleet.call("/stream/x"), "stream");
  Fleet.waitForArrivals(3);
  cr_assert_eq(Fleet.metric("sends_total"), 3U);
  cr_assert_eq(Fleet.metric("repeats_total"), 2U);
  cr_assert_eq(Fleet.metric("resumed_total"), 0U);
}

// Guards against a request that fails because its silent server rejects it, or
// responds with an error, while another server has it and goes on.
Test(UnresponsiveServer, doesNotEndTheOtherAttemptByAFailure, .timeout = 60) {
  for (const char *Path : {"/stream/x", "/safe/x"})
    for (const ServerReaction Reaction :
         {ServerReaction::Reject, ServerReaction::Fail}) {
      HedgeFleet Fleet({{Reaction, {PausePoint::BeforeHead, Pause, EventCount}},
                        pausing(PausePoint::BeforeHead, 1500ms)});
      Fleet.Front.start();
      const std::string Received = Fleet.call(Path);
      cr_assert(Received.starts_with("HTTP/1.1 200"), "%s reaction %d: %s",
                Path, static_cast<int>(Reaction), Received.c_str());
    }
}
