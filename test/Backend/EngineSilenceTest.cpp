#include "Backend/EngineFixture.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <criterion/criterion.h>
#include <mutex>
#include <thread>

using namespace parsleywing;
using parsleywing::test::EngineFixture;
using parsleywing::test::eventually;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Tokens = 20;
constexpr std::uint64_t ManyTokens = 100'000;

/// Each limit of silence. Time passes only where a test says so: on a busy
/// machine the stand-in's thread may rest for longer than any limit that a test
/// could wait for.
constexpr auto Silence = milliseconds(300);

BackendSettings shortSilence() {
  BackendSettings Settings;
  Settings.FirstEventTimeout = Silence;
  Settings.EventGapTimeout = Silence;
  Settings.ProbeTimeout = Silence;
  Settings.Time = Clock::paused();
  return Settings;
}

/// Runs a call on its own thread and lets the test break it.
class CallOnThread {
public:
  CallOnThread(EngineFixture &F, EngineCall C)
      : Thread([this, &F, Call = std::move(C)] {
          EngineListener Listener;
          Listener.SendStarted = [this] { this->WasSent = true; };
          Listener.DeltaReceived = [this, &F](const std::string &Piece,
                                              std::uint64_t) {
            F.Text += Piece;
            ++this->Pieces;
            return true;
          };
          Listener.SetCanceller = [this](std::function<void()> B) {
            std::lock_guard<std::mutex> Lock(this->Mutex);
            if (B)
              this->Breaker = std::move(B);
          };
          this->Result = F.Client.run(Call, Listener);
          this->Over = true;
        }) {}

  bool sent() const { return this->WasSent; }
  bool started() const { return this->Pieces > 0; }
  int pieces() const { return this->Pieces; }
  bool over() const { return this->Over; }

  void breakOff() {
    std::function<void()> Now;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      Now = this->Breaker;
    }
    if (Now)
      Now();
  }

  EngineResult join() {
    this->Thread.join();
    return this->Result;
  }

private:
  std::mutex Mutex;
  std::function<void()> Breaker;
  std::atomic<bool> WasSent{false};
  std::atomic<bool> Over{false};
  std::atomic<int> Pieces{0};
  EngineResult Result{AttemptOutcome::NotSent};
  std::thread Thread;
};

/// Whether the server answers the probe on a new connection.
enum class Probe { Answered, Silent };

/// Lets limits of silence pass until the call has ended: that of the call, and
/// that of a probe which is not answered. A step may come just before the call
/// begins to count, so there may be several.
EngineResult endBySilence(EngineFixture &Fixture, CallOnThread &Running,
                          Probe Expected) {
  Clock Time = Fixture.Client.settings().Time;
  do {
    const bool Probing = Fixture.Counters.ProgressTimeouts > 0;
    if (!Probing || Expected == Probe::Silent)
      Time.advance(Silence);
  } while (!eventually([&] { return Running.over(); }, milliseconds(20)));
  return Running.join();
}

} // namespace

// Symptom: a stream stands still for good, although the engine is well.
// Sequence: something between the ends forgets the connection after five
// tokens; new connections work.
// Cause: nothing limited the time between two events.
// Fails without the deadline in TimedSocket::receiveBytes: the call hangs.
Test(EngineSilence, ASilentConnectionIsNoticedAndReplaced, .timeout = 30) {
  EngineFixture Fixture(shortSilence());
  standin::EngineFaults Faults;
  Faults.SilentAfter = 5;
  Fixture.Engine.setFaults(Faults);
  EngineCall Call = Fixture.call(Tokens);
  CallOnThread Running(Fixture, Call);
  cr_assert(eventually([&] { return Running.pieces() == 5; }));
  EngineResult Result = endBySilence(Fixture, Running, Probe::Answered);
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(!Result.ServerSuspect);
  cr_assert(Result.Resume.has_value());
  Call.ResumeFrom = Result.Resume;
  Result = Fixture.run(Call);
  cr_expect(Result.Outcome == AttemptOutcome::Completed);
  cr_expect(Fixture.Text == EngineFixture::wholeText(Tokens));
  cr_expect_eq(Fixture.Engine.executions().at("request-7.1"), 1);
}

// Symptom: a stream stands still for good, although bytes keep coming.
// Sequence: the engine is stuck; what lies between sends comments to keep the
// connection open.
// Cause: every byte that came gave the stream more time.
// Fails if TimedSocket::receiveBytes moves its deadline with each read.
Test(EngineSilence, CommentsAreNoProgress, .timeout = 30) {
  EngineFixture Fixture(shortSilence());
  Poco::Net::ServerSocket Listening{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::atomic<int> Comments{0};
  std::thread Chatter([&] {
    Poco::Net::StreamSocket Socket = Listening.acceptConnection();
    const std::string Head = "HTTP/1.1 200 OK\r\n"
                             "Content-Type: text/event-stream\r\n\r\n";
    const std::string Comment = ": still here\n\n";
    try {
      Socket.sendBytes(Head.data(), static_cast<int>(Head.size()));
      for (; true; ++Comments) {
        Socket.sendBytes(Comment.data(), static_cast<int>(Comment.size()),
                         MSG_NOSIGNAL);
        std::this_thread::sleep_for(milliseconds(10));
      }
    } catch (const Poco::Exception &) {
      return; // The client has given the connection up.
    }
  });
  EngineCall Call = Fixture.call(Tokens);
  Call.Address = Listening.address().toString();
  CallOnThread Running(Fixture, Call);
  // Comments have come for longer than a look at the clock takes.
  cr_assert(eventually([&] { return Comments > 10; }));
  const EngineResult Result = endBySilence(Fixture, Running, Probe::Silent);
  Chatter.join();
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect_eq(Fixture.Counters.ProgressTimeouts.load(), 1);
}

// Symptom: a dead server keeps getting work, or a well one is blamed.
// Sequence: the server accepts connections and never answers any.
// Cause: silence on one connection says nothing of the server.
// Fails without the probe in EngineAttempt::failed.
Test(EngineSilence, AServerThatAnswersNoProbeIsSuspect, .timeout = 30) {
  EngineFixture Fixture(shortSilence());
  standin::EngineFaults Faults;
  Faults.Silent = true;
  Fixture.Engine.setFaults(Faults);
  CallOnThread Running(Fixture, Fixture.call(Tokens));
  cr_assert(eventually([&] { return Running.sent(); }));
  EngineResult Result = endBySilence(Fixture, Running, Probe::Silent);
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(Result.ServerSuspect);
  cr_expect_eq(Fixture.Counters.SuspectServers.load(), 1);
}

// Symptom: a cancelled request keeps its thread and the engine's slot until
// its last token.
// Sequence: the router cancels while the thread is blocked in a read.
// Cause: closing a stream does not end a background response, and nothing
// wakes a blocked read.
// Fails without ConnectionBreaker::breakOff and without
// EngineAttempt::freeSlot.
Test(EngineSilence, ACancelEndsTheReadAtOnceAndFreesTheSlot, .timeout = 60) {
  BackendSettings Patient;
  Patient.EventGapTimeout = seconds(40);
  EngineFixture Fixture(Patient);
  CallOnThread Running(Fixture, Fixture.call(ManyTokens));
  cr_assert(eventually([&] { return Running.started(); }));
  standin::EngineFaults Faults;
  Faults.Stall = true;
  Fixture.Engine.setFaults(Faults);
  const TimePoint Begin = Clock::steady().now();
  Running.breakOff();
  const EngineResult Result = Running.join();
  cr_expect(Result.Outcome == AttemptOutcome::Cancelled);
  cr_expect(Clock::steady().now() - Begin < seconds(10));
  cr_expect(eventually([&] { return Fixture.Engine.running() == 0; }));
  cr_expect_eq(Fixture.Counters.CancelOrders.load(), 1);
}

Test(EngineSilence, ACallerThatLeavesFreesTheSlot, .timeout = 30) {
  EngineFixture Fixture;
  EngineListener Listener;
  Listener.DeltaReceived = [](const std::string &, std::uint64_t Count) {
    return Count < 3;
  };
  const EngineResult Result =
      Fixture.Client.run(Fixture.call(ManyTokens), Listener);
  cr_expect(Result.Outcome == AttemptOutcome::CallerDisconnected);
  cr_expect(eventually([&] { return Fixture.Engine.running() == 0; }));
}

// Symptom: a cancel hits the connection of another request.
// Sequence: the breaker of a call that has ended is used late.
// Cause: the connection went back to the pool and carries another request.
// Fails without ConnectionBreaker::detach at the end of a call.
Test(EngineSilence, ALateBreakTouchesNobodyElse, .timeout = 60) {
  EngineFixture Fixture;
  std::function<void()> Kept;
  EngineListener Listener;
  Listener.SetCanceller = [&](std::function<void()> B) {
    if (B)
      Kept = std::move(B);
  };
  EngineCall Call = Fixture.call(1);
  Call.Repeatable = true;
  cr_assert(Fixture.Client.run(Call, Listener).Outcome ==
            AttemptOutcome::Completed);
  Call = Fixture.call(200);
  Call.Repeatable = true;
  std::atomic<bool> Over{false};
  std::thread Late([&] {
    while (!Over) {
      Kept();
      std::this_thread::sleep_for(milliseconds(1));
    }
  });
  const EngineResult Result = Fixture.run(Call);
  Over = true;
  Late.join();
  cr_expect(Result.Outcome == AttemptOutcome::Completed);
}

Test(EngineSilence, ABreakBeforeTheSendSendsNothing) {
  EngineFixture Fixture;
  EngineListener Listener;
  int Sent = 0;
  Listener.SendStarted = [&] { ++Sent; };
  Listener.SetCanceller = [](const std::function<void()> &B) {
    if (B)
      B();
  };
  const EngineResult Result =
      Fixture.Client.run(Fixture.call(Tokens), Listener);
  cr_expect(Result.Outcome == AttemptOutcome::Cancelled);
  cr_expect_eq(Sent, 0);
  cr_expect(Fixture.Engine.executions().empty());
}

// Symptom: the outcome of a contract draft is unknown for no good reason.
// Sequence: a connection goes silent while it is idle in the pool; the next
// request is put on it.
// Cause: idle connections were used for requests that may not be repeated.
// Fails without the look at `Repeatable` in EngineAttempt::connect.
Test(EngineSilence, NonRepeatableRequestsAlwaysGetANewConnection,
     .timeout = 30) {
  EngineFixture Fixture(shortSilence());
  EngineCall Call = Fixture.call(Tokens);
  Call.Repeatable = true;
  cr_assert(Fixture.run(Call).Outcome == AttemptOutcome::Completed);
  Fixture.Engine.silenceConnections();
  Call.Identity = "request-8.1";
  Call.Repeatable = false;
  cr_expect(Fixture.run(Call).Outcome == AttemptOutcome::Completed);
  Call.Identity = "request-9.1";
  Call.Repeatable = true;
  CallOnThread Running(Fixture, Call);
  cr_assert(eventually([&] { return Running.sent(); }));
  const EngineResult Result = endBySilence(Fixture, Running, Probe::Answered);
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(Result.PooledConnectionBroke);
  cr_expect(!Result.ServerSuspect);
  Call.Identity = "request-10.1";
  cr_expect(Fixture.run(Call).Outcome == AttemptOutcome::Completed);
}
