#include "RawServer.h"
#include "Stream/RouterProcess.h"

#include <Poco/Exception.h>
#include <atomic>
#include <criterion/criterion.h>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto Grace = 4s;
constexpr std::size_t KeptCallers = 12;
constexpr std::size_t NewCallers = 4;
/// The requests of one more caller outlast the grace, without which a router
/// that has no connection at some moment ends before.
const std::string HoldingCaller = "hold";

/// What a caller has heard of one request.
struct Ending {
  std::string Id;
  std::chrono::milliseconds SentAfterSignal{};
  std::string Response{};
  bool Complete = false;
};

/// The requests that a server has read, by their ids.
class ReceivedIds {
public:
  void add(const std::string &Head) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Counts[fieldOf(Head, "Request-Id")];
  }
  int count(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Counts[Id];
  }

private:
  std::mutex Mutex;
  std::map<std::string, int> Counts;
};

/// Callers that send requests which may not be repeated to a router, on kept
/// and on new connections, from before its SIGTERM until it is gone.
class StopRun {
public:
  explicit StopRun(std::chrono::milliseconds WorkTime)
      : Server([this, WorkTime](const std::string &Head, std::size_t) {
          this->Received.add(Head);
          return RawAnswer{
              "HTTP/1.1 200 OK\r\nRequest-Id: " + fieldOf(Head, "Request-Id") +
                  "\r\nResponse-Seal: s\r\n"
                  "Content-Length: 5\r\n\r\nhello",
              RawEnd::KeptOpen,
              RawAnswer::WholeRequest,
              0,
              0ms,
              fieldOf(Head, "Request-Id").starts_with(HoldingCaller)
                  ? Grace + 1s
                  : WorkTime};
        }),
        Router({{this->Server.address(), "plain"},
                {this->Ready.address(), "other"}},
               "drain-limit-s = " + std::to_string(Grace.count()) + "\n") {}

  std::vector<Ending> play() {
    std::vector<std::thread> Threads;
    for (std::size_t I = 0; I < KeptCallers + NewCallers; ++I)
      Threads.emplace_back(
          [this, I] { this->call("c" + std::to_string(I), I < KeptCallers); });
    Threads.emplace_back([this] { this->call(HoldingCaller, true); });
    std::this_thread::sleep_for(300ms);
    this->SignalledAt = SteadyClock::now();
    this->Router.process().signal(SIGTERM);
    this->Router.process().wait();
    this->Stopping = true;
    for (std::thread &Each : Threads)
      Each.join();
    return this->Endings;
  }

  int received(const std::string &Id) { return this->Received.count(Id); }
  std::string log() const { return this->Router.log(); }

private:
  void call(const std::string &Caller, bool Keeps) {
    std::optional<Poco::Net::StreamSocket> Connection;
    for (int Number = 0; !this->Stopping; ++Number) {
      Ending Result{Caller + "-" + std::to_string(Number)};
      try {
        if (!Connection)
          Connection = this->Router.connect();
        this->exchange(*Connection, Result);
        if (!Keeps || !Result.Complete ||
            fieldOf(Result.Response, "Connection") == "close")
          Connection.reset();
      } catch (const Poco::Exception &) {
        // The router does not listen any more, or has closed the connection.
        Connection.reset();
        std::this_thread::sleep_for(2ms);
      }
      if (Result.Response.starts_with("HTTP/1.1 503"))
        std::this_thread::sleep_for(2ms);
    }
  }

  void exchange(Poco::Net::StreamSocket &Connection, Ending &Result) {
    const auto SentAt = SteadyClock::now();
    sendText(Connection, RouterProcess::request("/unsafe/x", Result.Id, 15s));
    bool WasReset = false;
    Result.Response = readResponse(Connection, WasReset);
    Result.Complete = isCompleteResponse(Result.Response);
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Result.SentAfterSignal =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            SentAt - this->SignalledAt.load());
    this->Endings.push_back(Result);
  }

  ReceivedIds Received;
  RawServer Server;
  /// Shows that the router serves.
  RawServer Ready{[](const std::string &, std::size_t) {
    return RawAnswer{"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
                     "Content-Length: 0\r\n\r\n",
                     RawEnd::KeptOpen};
  }};
  RouterProcess Router;
  std::atomic<bool> Stopping{false};
  std::atomic<SteadyClock::time_point> SignalledAt{SteadyClock::now()};
  std::mutex Mutex;
  std::vector<Ending> Endings;
};

/// Checks that each request that was passed on got a whole answer, and that a
/// refused one was not passed on.
void expectNoneCut(std::chrono::milliseconds WorkTime) {
  StopRun Run(WorkTime);
  const std::vector<Ending> Endings = Run.play();
  std::size_t Late = 0;
  std::size_t PassedOn = 0;
  for (const Ending &Each : Endings) {
    const int Passed = Run.received(Each.Id);
    Late += Each.SentAfterSignal > Grace - 1s ? 1 : 0;
    PassedOn += Passed > 0 ? 1 : 0;
    cr_expect_leq(Passed, 1, "%s was passed on %d times", Each.Id.c_str(),
                  Passed);
    cr_expect(Passed == 0 || Each.Complete,
              "%s, sent %ld ms behind the signal, was passed on and cut: '%s'",
              Each.Id.c_str(), static_cast<long>(Each.SentAfterSignal.count()),
              Each.Response.c_str());
    cr_expect_not(Passed > 0 && Each.Response.starts_with("HTTP/1.1 503"),
                  "%s was passed on and refused", Each.Id.c_str());
  }
  cr_expect_gt(PassedOn, 0U);
  cr_expect_gt(Late, 0U, "no request came late in the grace");
}

} // namespace

// Guards against requests that come late in the grace of a planned stop, are
// passed on and end without an answer.
Test(PlannedStop, cutsNoQuickRequest, .timeout = 60) { expectNoneCut(10ms); }

// The same of requests that take longer than the time between the last ones
// and the end of the grace.
Test(PlannedStop, cutsNoSlowRequest, .timeout = 60) { expectNoneCut(900ms); }

// The same of requests that outlast the grace, which get a final answer.
Test(PlannedStop, cutsNoRequestThatOutlastsTheGrace, .timeout = 60) {
  expectNoneCut(5s);
}
