// Two of three routers are lost, and the callers of all come to the third. Its
// connections to callers and to runners together reach the number of
// descriptors that the platform allows it, which its own limit on callers does
// not prevent. The next call on the platform's store needs one more descriptor:
// Poco opens one for each poll of a socket. The exception is thrown outside of
// any handler, and the process aborts with all requests that it holds.

#include "CallerFarm.h"
#include "EngineFarm.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sys/wait.h>

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int RunnerCount = 60;
constexpr int RunnerSlots = 128;
constexpr seconds WatchTime{40};

const char *const Configuration = R"({"version":7,"routes":[{"name":"r-1",
"hostname":"ficu95.example","prefix":"/lohu930/","kind":"streaming",
"timeoutMs":15000,"targetLatencyMs":500,"priority":1,"service":"parsley-pool",
"maxAttempts":2,"public":true,"sticky":true,"resumable":true,"gapAimMs":300}],
"services":[{"name":"parsley-pool","healthPath":"/health","maxConns":930,
"protocol":"h1","tls":false,"engine":{"slots":128,"kvCapacity":320815,
"kvTokenBytes":163840,"linkMbps":1100000.0,"stride":5,"most":12}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":2100000}})";

/// What this program needs for its own side of all connections.
constexpr int NeededDescriptors = 11000;

/// The three kinds of the sheet that use the model runners, below the rates
/// that the sheet states: 469, 379 and 542 a second, of 1,593 in all.
const std::vector<CallerKind> Kinds{
    {"desk-suggest", 1740, milliseconds(350), 56, 172, 543},
    {"history-draft", 440, milliseconds(500), 10, 6300, 2890},
    {"reply-digest", 400, milliseconds(400), 5, 568, 1800},
};

} // namespace

int main(int Count, char **Words) {
  if (Count < 3)
    return static_cast<int>(Verdict::CannotRun);
  const std::string Folder = Words[1];
  Record Log(Words[2]);
  const char *Wanted = std::getenv("TROUBLE");
  const bool Trouble = Wanted == nullptr || std::string(Wanted) != "0";

  raiseDescriptorLimit(NeededDescriptors);
  Addresses Loopback;
  const std::string StoreIp = Loopback.next();
  Store Platform(StoreIp, figures::StorePort);
  Platform.put("op/config", Configuration);
  Heartbeats Beats(Platform);
  EngineFarm Runners;
  for (int I = 0; I < RunnerCount; ++I) {
    const std::string Ip = Loopback.next();
    const std::string Id = "i-ee" + std::to_string(100 + I);
    Runners.add(Id, Ip);
    Beats.add({Id, "parsley-pool",
               Ip + ":" + std::to_string(figures::RunnerPort), "sofia-a",
               RunnerSlots});
  }
  Runners.start();
  std::this_thread::sleep_for(milliseconds(300));
  const MachineLimits Limits{3075, 96, "0.5"};
  std::vector<std::unique_ptr<Router>> Routers;
  for (int I = 1; I <= 3; ++I) {
    Routers.push_back(std::make_unique<Router>(
        "front-sofia-a-" + std::to_string(I), Loopback.next(),
        StoreIp + ":" + std::to_string(figures::StorePort), Folder, Limits));
    Routers.back()->start();
  }
  for (const auto &Each : Routers)
    Each->awaitReady(seconds(15));
  CallerFarm Asking(Routers, Log);
  Asking.start(Kinds);
  std::this_thread::sleep_for(seconds(8));
  const int SentBefore = Asking.Sent;
  std::this_thread::sleep_for(seconds(2));
  Log.line("requests a second before: " +
           std::to_string((Asking.Sent - SentBefore) / 2));
  if (Trouble)
    for (std::size_t I = 1; I < Routers.size(); ++I) {
      Log.line("router " + Routers[I]->Name + " is lost");
      Asking.lose(I);
      Routers[I]->kill();
    }
  const auto WatchedUntil = Clock::now() + WatchTime;
  int Status = 0;
  bool Crashed = false;
  while (!Crashed && Clock::now() < WatchedUntil) {
    std::this_thread::sleep_for(milliseconds(20));
    Crashed = Routers.front()->hasEnded(Status);
  }
  if (Crashed)
    Log.line("router " + Routers.front()->Name + " has ended by itself, " +
             (WIFSIGNALED(Status)
                  ? "signal " + std::to_string(WTERMSIG(Status))
                  : "status " + std::to_string(WEXITSTATUS(Status))));
  std::this_thread::sleep_for(seconds(1));
  int Lost = 0;
  for (const CutRequest &Each : Asking.cut()) {
    // Without an answer: what had begun is left out.
    if (Each.Router != Routers.front()->Name || !Each.OnKeptConnection ||
        Each.AnswerBegun)
      continue;
    const std::string Runner = Runners.runnerOf(Each.Id);
    if (Runner.empty())
      continue;
    ++Lost;
    Log.line("LOST: " + Each.Id + ", passed on to " + Runner);
  }
  std::cout << Asking.Sent << " requests, " << Asking.Served << " served, "
            << Asking.Refused << " refused; the last router "
            << (Crashed ? "crashed" : "still runs") << "; " << Lost
            << " of its requests from kept connections were passed on to a "
               "runner and got no answer\n";
  Log.line("LOST: " + std::to_string(Lost) + " requests");
  if (Asking.Served == 0)
    endCase(Verdict::CannotRun);
  constexpr int Permitted = 3;
  endCase(Lost > Permitted ? Verdict::Broken : Verdict::Held);
}
