#include "Backend/EngineFixture.h"
#include "standin/HandlerTools.h"
#include "standin/PlainServiceStandIn.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <criterion/criterion.h>
#include <future>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration Pause = 1200ms;

/// Sends a request and returns the body of the complete response; empty if
/// there is none.
std::string post(const std::string &Address, const std::string &Path,
                 const std::string &Body) {
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Poco::Net::HTTPRequest Request("POST", Path, "HTTP/1.1");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::string ResponseBody;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response),
                                     ResponseBody);
    return Session.networkException() == nullptr ? ResponseBody : "";
  } catch (const Poco::Exception &) {
    return "";
  }
}

std::string input(int Tokens) {
  const std::string Count = std::to_string(Tokens);
  return R"({"stream":true,"max_output_tokens":)" + Count +
         R"(,"input":"tokens=)" + Count + R"(","metadata":{}})";
}

bool isWhole(const std::string &Stream, int Tokens) {
  return Stream.find("\"t" + std::to_string(Tokens - 1) + " \"") !=
             std::string::npos &&
         Stream.find("response.completed") != std::string::npos;
}

/// How long the action takes.
Duration timeOf(const std::function<void()> &Action) {
  const TimePoint Start = Clock::steady().now();
  Action();
  return Clock::steady().now() - Start;
}

/// The pauses of a process in its first ten seconds, as one character each
/// 10 ms.
std::string pausesOf(std::uint64_t Seed) {
  standin::PauseSchedule Schedule;
  Schedule.start(standin::readFaults(R"({"pause_process_ms":1000,)"
                                     R"("pause_seed":)" +
                                     std::to_string(Seed) + "}"),
                 TimePoint());
  std::string Text;
  for (int Step = 0; Step < 1000; ++Step)
    Text += Schedule.isPaused(TimePoint() + Step * 10ms) ? 'p' : '.';
  return Text;
}

} // namespace

// Guards against a pause that ends connections or requests: then it is a fault,
// and tests of pauses show nothing.
Test(StandInPause, anEngineGoesOnWithAllRequests, .timeout = 30) {
  standin::EngineOptions Options = EngineFixture::quickEngine();
  Options.Step = 10ms;
  standin::EngineStandIn Engine(Options);
  Engine.start();
  const std::string Address = Engine.address();
  auto Begun = std::async(std::launch::async, [&Address] {
    return post(Address, "/v1/responses", input(100));
  });
  cr_assert(eventually([&Engine] { return Engine.running() == 1; }));
  const TimePoint Start = Clock::steady().now();
  post(Address, "/standin/faults", R"({"pause_process_ms":1200})");
  cr_assert(isWhole(post(Address, "/v1/responses", input(2)), 2));
  cr_assert_geq(Clock::steady().now() - Start, Pause);
  cr_assert(isWhole(Begun.get(), 100));
}

Test(StandInPause, anEngineStopsAllTokensMeanwhile, .timeout = 30) {
  standin::EngineOptions Options = EngineFixture::quickEngine();
  standin::EngineStandIn Engine(Options);
  Engine.start();
  const std::string Address = Engine.address();
  auto Begun = std::async(std::launch::async, [&Address] {
    return post(Address, "/v1/responses", input(20'000));
  });
  cr_assert(eventually([&Engine] { return Engine.running() == 1; }));
  post(Address, "/standin/faults", R"({"pause_process_ms":100000})");
  std::this_thread::sleep_for(50ms);
  const auto Response = Engine.find("resp_1");
  const auto Count = Engine.waitForEvents(*Response, 0).size();
  std::this_thread::sleep_for(200ms);
  cr_assert_eq(Engine.waitForEvents(*Response, 0).size(), Count);
  Engine.cancel(Response);
  post(Address, "/standin/faults", "{}");
  cr_assert(!Begun.get().empty());
}

Test(StandInPause, oneConnectionOfAnEnginePauses, .timeout = 30) {
  standin::EngineStandIn Engine(EngineFixture::quickEngine());
  Engine.start();
  const std::string Address = Engine.address();
  for (const char *Place :
       {"", R"(,"pause_after":2)", R"(,"pause_after":2,"pause_inside":true)"}) {
    post(Address, "/standin/faults",
         std::string(R"({"pause_connection_ms":1200)") + Place + "}");
    std::string First;
    std::string Second;
    const Duration FirstTime =
        timeOf([&] { First = post(Address, "/v1/responses", input(4)); });
    cr_assert_geq(FirstTime, Pause, "%s", Place);
    cr_assert_lt(
        timeOf([&] { Second = post(Address, "/v1/responses", input(4)); }),
        Pause, "%s", Place);
    cr_assert(isWhole(First, 4), "%s", Place);
    cr_assert(isWhole(Second, 4), "%s", Place);
  }
}

Test(StandInPause, aPlainServiceGoesOnWithAllRequests, .timeout = 30) {
  standin::PlainServiceStandIn Service("127.0.0.1:0");
  Service.start();
  const std::string Address = Service.address();
  for (const char *Faults :
       {R"({"pause_process_ms":1200})", R"({"pause_connection_ms":1200})"}) {
    post(Address, "/standin/faults", Faults);
    std::string First;
    std::string Second;
    cr_assert_geq(timeOf([&] { First = post(Address, "/records", "a"); }),
                  Pause - 100ms, "%s", Faults);
    cr_assert_lt(timeOf([&] { Second = post(Address, "/records", "b"); }),
                 Pause, "%s", Faults);
    cr_assert(!First.empty() && !Second.empty(), "%s", Faults);
  }
  cr_assert_eq(Service.arrivals(), 4);
}

Test(StandInPause, theSeedDrawsThePauses) {
  cr_assert_eq(pausesOf(1), pausesOf(1));
  cr_assert_neq(pausesOf(1), pausesOf(2));
  const std::string Text = pausesOf(3);
  std::size_t Start = 0;
  int Pauses = 0;
  while (Start < Text.size()) {
    const std::size_t End = Text.find_first_not_of(Text[Start], Start);
    if (End == std::string::npos)
      break;
    cr_assert_geq(End - Start, 24);
    cr_assert_leq(End - Start, 101);
    Pauses += Text[Start] == 'p' ? 1 : 0;
    Start = End;
  }
  cr_assert_geq(Pauses, 4);
}
