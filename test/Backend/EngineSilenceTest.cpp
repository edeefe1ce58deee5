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

/// Value of each progress timeout. Time passes only when a test advances the
/// clock: on a busy machine the stand-in's thread may be suspended for longer
/// than any timeout that a test could wait for.
constexpr auto Timeout = milliseconds(300);

BackendSettings shortTimeouts() {
  BackendSettings Settings;
  Settings.FirstEventTimeout = Timeout;
  Settings.EventGapTimeout = Timeout;
  Settings.ProbeTimeout = Timeout;
  Settings.Time = Clock::paused();
  return Settings;
}

/// Runs a call on its own thread and lets the test cancel it.
class CallOnThread {
public:
  CallOnThread(EngineFixture &F, EngineCall C)
      : Thread([this, &F, Call = std::move(C)] {
          EngineListener Listener;
          Listener.SendStarted = [this] { this->IsSent = true; };
          Listener.DeltaReceived = [this, &F](const std::string &Chunk,
                                              std::uint64_t) {
            F.Text += Chunk;
            ++this->Chunks;
            return true;
          };
          Listener.SetCanceller = [this](std::function<void()> NewCanceller) {
            std::lock_guard<std::mutex> Lock(this->Mutex);
            if (NewCanceller)
              this->Canceller = std::move(NewCanceller);
          };
          this->Result = F.Client.run(Call, Listener);
          this->Done = true;
        }) {}

  bool sent() const { return this->IsSent; }
  bool started() const { return this->Chunks > 0; }
  int chunks() const { return this->Chunks; }
  bool done() const { return this->Done; }

  void cancel() {
    std::function<void()> Cancel;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      Cancel = this->Canceller;
    }
    if (Cancel)
      Cancel();
  }

  EngineResult join() {
    this->Thread.join();
    return this->Result;
  }

private:
  std::mutex Mutex;
  std::function<void()> Canceller;
  std::atomic<bool> IsSent{false};
  std::atomic<bool> Done{false};
  std::atomic<int> Chunks{0};
  EngineResult Result{AttemptOutcome::NotSent};
  std::thread Thread;
};

/// Whether the server answers the probe on a new connection.
enum class Probe { Answered, Silent };

/// Advances the clock until the call has ended: past the timeout of the call,
/// and past that of an unanswered probe. A step may come just before the call
/// starts its timeout, so several steps may be needed.
EngineResult endByTimeout(EngineFixture &Fixture, CallOnThread &Running,
                          Probe Expected) {
  Clock Time = Fixture.Client.settings().Time;
  do {
    const bool Probing = Fixture.Counters.ProgressTimeouts > 0;
    if (!Probing || Expected == Probe::Silent)
      Time.advance(Timeout);
  } while (!eventually([&] { return Running.done(); }, milliseconds(20)));
  return Running.join();
}

} // namespace

// Guards against a stream that hangs forever although the engine is healthy. A
// middlebox drops the connection's state after five tokens while new
// connections work, and no timeout limits the time between two events. Fails
// without the deadline in TimedSocket::receiveBytes: the call hangs.
Test(EngineSilence, DetectsAndReplacesADeadConnection, .timeout = 30) {
  EngineFixture Fixture(shortTimeouts());
  standin::EngineFaults Faults;
  Faults.SilentAfter = 5;
  Fixture.Engine.setFaults(Faults);
  EngineCall Call = Fixture.call(Tokens);
  CallOnThread Running(Fixture, Call);
  cr_assert(eventually([&] { return Running.chunks() == 5; }));
  EngineResult Result = endByTimeout(Fixture, Running, Probe::Answered);
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(!Result.ServerSuspect);
  cr_assert(Result.Resume.has_value());
  Call.ResumeFrom = Result.Resume;
  Result = Fixture.run(Call);
  cr_expect(Result.Outcome == AttemptOutcome::Completed);
  cr_expect(Fixture.Text == EngineFixture::fullText(Tokens));
  cr_expect_eq(Fixture.Engine.executions().at("request-7.1"), 1);
}

// Guards against a stream that hangs forever although bytes keep arriving. The
// engine is stuck, a proxy sends comments to keep the connection open, and
// every received byte extends the deadline. Fails if TimedSocket::receiveBytes
// extends the deadline with each read.
Test(EngineSilence, CommentsAreNotProgress, .timeout = 30) {
  EngineFixture Fixture(shortTimeouts());
  Poco::Net::ServerSocket Listening{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::atomic<int> Comments{0};
  std::thread CommentSender([&] {
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
      return; // The client has closed the connection.
    }
  });
  EngineCall Call = Fixture.call(Tokens);
  Call.Address = Listening.address().toString();
  CallOnThread Running(Fixture, Call);
  // Comments have arrived for longer than a check of the clock takes.
  cr_assert(eventually([&] { return Comments > 10; }));
  const EngineResult Result = endByTimeout(Fixture, Running, Probe::Silent);
  CommentSender.join();
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect_eq(Fixture.Counters.ProgressTimeouts.load(), 1);
}

// Guards against a dead server that keeps receiving requests, and against
// suspecting a healthy one: a timeout on one connection does not show whether
// the server has failed. The server accepts connections and never responds.
// Fails without the probe in EngineAttempt::handleFailure.
Test(EngineSilence, AServerThatAnswersNoProbeIsSuspected, .timeout = 30) {
  EngineFixture Fixture(shortTimeouts());
  standin::EngineFaults Faults;
  Faults.Silent = true;
  Fixture.Engine.setFaults(Faults);
  CallOnThread Running(Fixture, Fixture.call(Tokens));
  cr_assert(eventually([&] { return Running.sent(); }));
  EngineResult Result = endByTimeout(Fixture, Running, Probe::Silent);
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(Result.ServerSuspect);
  cr_expect_eq(Fixture.Counters.SuspectServers.load(), 1);
}

// Guards against a cancelled request that occupies its thread and the engine's
// slot until its last token. The router cancels while the thread is blocked in
// a read; nothing unblocks it, and closing a stream does not end a background
// response. Fails without ConnectionCanceller::cancel and without
// EngineAttempt::cancelAtEngine.
Test(EngineSilence, ACancelEndsTheReadImmediatelyAndFreesTheSlot,
     .timeout = 60) {
  BackendSettings Settings;
  Settings.EventGapTimeout = seconds(40);
  EngineFixture Fixture(Settings);
  CallOnThread Running(Fixture, Fixture.call(ManyTokens));
  cr_assert(eventually([&] { return Running.started(); }));
  standin::EngineFaults Faults;
  Faults.Stall = true;
  Fixture.Engine.setFaults(Faults);
  const TimePoint Begin = Clock::steady().now();
  Running.cancel();
  const EngineResult Result = Running.join();
  cr_expect(Result.Outcome == AttemptOutcome::Cancelled);
  cr_expect(Clock::steady().now() - Begin < seconds(10));
  cr_expect(eventually([&] { return Fixture.Engine.running() == 0; }));
  cr_expect_eq(Fixture.Counters.CancelOrders.load(), 1);
}

Test(EngineSilence, ADisconnectedCallerFreesTheSlot, .timeout = 30) {
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

// Guards against a cancellation that hits another request. The canceller of a
// finished call is used late, when its connection has been returned to the pool
// and is used by another request. Fails without ConnectionCanceller::detach at
// the end of a call.
Test(EngineSilence, ALateCancelDoesNotAffectAnotherCall, .timeout = 60) {
  EngineFixture Fixture;
  std::function<void()> OldCanceller;
  EngineListener Listener;
  Listener.SetCanceller = [&](std::function<void()> NewCanceller) {
    if (NewCanceller)
      OldCanceller = std::move(NewCanceller);
  };
  EngineCall Call = Fixture.call(1);
  Call.Repeatable = true;
  cr_assert(Fixture.Client.run(Call, Listener).Outcome ==
            AttemptOutcome::Completed);
  Call = Fixture.call(200);
  Call.Repeatable = true;
  std::atomic<bool> Done{false};
  std::thread LateCanceller([&] {
    while (!Done) {
      OldCanceller();
      std::this_thread::sleep_for(milliseconds(1));
    }
  });
  const EngineResult Result = Fixture.run(Call);
  Done = true;
  LateCanceller.join();
  cr_expect(Result.Outcome == AttemptOutcome::Completed);
}

Test(EngineSilence, ACancelBeforeTheSendSendsNothing) {
  EngineFixture Fixture;
  EngineListener Listener;
  int Sent = 0;
  Listener.SendStarted = [&] { ++Sent; };
  Listener.SetCanceller = [](const std::function<void()> &NewCanceller) {
    if (NewCanceller)
      NewCanceller();
  };
  const EngineResult Result =
      Fixture.Client.run(Fixture.call(Tokens), Listener);
  cr_expect(Result.Outcome == AttemptOutcome::Cancelled);
  cr_expect_eq(Sent, 0);
  cr_expect(Fixture.Engine.executions().empty());
}

// Guards against an unnecessary unknown outcome. A connection dies unnoticed
// while it is idle in the pool, and a request that may not be repeated is sent
// over it. Fails without the check of `Repeatable` in EngineAttempt::connect.
Test(EngineSilence, NonRepeatableRequestsAlwaysGetANewConnection,
     .timeout = 30) {
  EngineFixture Fixture(shortTimeouts());
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
  const EngineResult Result = endByTimeout(Fixture, Running, Probe::Answered);
  cr_expect(Result.Outcome == AttemptOutcome::Interrupted);
  cr_expect(Result.PooledConnectionBroke);
  cr_expect(!Result.ServerSuspect);
  Call.Identity = "request-10.1";
  cr_expect(Fixture.run(Call).Outcome == AttemptOutcome::Completed);
}
