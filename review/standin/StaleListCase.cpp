// A router that is restarted while a runner leaves. The list of runners has
// more than one page, and the router reads it from copies of the store that are
// behind by different times, as the store's page allows. The first page comes
// from a copy that is up to date and the second from one that is some seconds
// behind, where the runner is still listed. The router follows the changes
// after the first page's revision, so that it never hears of the removal and
// goes on sending requests to a runner that is gone.

#include "PlainCallers.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int OtherRunners = 508;
constexpr int SoundRunners = 4;
constexpr int ClientsPerRouter = 8;
constexpr milliseconds WorkTime{150};
constexpr int FreshLagMs = 100;
constexpr int OldLagMs = 3000;
constexpr milliseconds DownTime{1000};
constexpr seconds RunnerStaysFor{12};
constexpr const char *Leaving = "i-ff00c3d1";

} // namespace

int main(int Count, char **Words) {
  if (Count < 3)
    return static_cast<int>(Verdict::CannotRun);
  const std::string Folder = Words[1];
  Record Log(Words[2]);
  const char *Wanted = std::getenv("TROUBLE");
  const bool Trouble = Wanted == nullptr || std::string(Wanted) != "0";

  Addresses Loopback;
  const std::string StoreIp = Loopback.next();
  Store Platform(StoreIp, figures::StorePort);
  Platform.FirstPageLagMs = FreshLagMs;
  Platform.FurtherPagesLagMs = OldLagMs;
  Platform.put("op/config", PlainConfiguration);
  Heartbeats Beats(Platform);
  // Runners of another service, which no request asks for. Nobody listens at
  // their addresses.
  for (int I = 0; I < OtherRunners; ++I) {
    const std::string Number = std::to_string(1000 + I);
    Beats.add(
        {"i-0000" + Number, "archive", "127.63.0.1:8621", "arusha-hall-b"});
  }
  std::vector<std::unique_ptr<PlainRunner>> Runners;
  for (int I = 0; I < SoundRunners; ++I) {
    const std::string Ip = Loopback.next();
    const std::string Id =
        I == 0 ? std::string(Leaving) : "i-ee00000" + std::to_string(I);
    Runners.push_back(std::make_unique<PlainRunner>(
        RunnerEntry{Id, "member-records",
                    Ip + ":" + std::to_string(figures::RunnerPort),
                    "arusha-hall-a"},
        Ip, WorkTime, Log));
    Beats.add(Runners.back()->Entry);
  }
  // The copies are behind by some seconds, so that they have to catch up first.
  std::this_thread::sleep_for(milliseconds(OldLagMs) + seconds(1));

  const std::string StoreAddress =
      StoreIp + ":" + std::to_string(figures::StorePort);
  Router First("front-arusha-hall-a-1", Loopback.next(), StoreAddress, Folder);
  Router Second("front-arusha-hall-a-2", Loopback.next(), StoreAddress, Folder);
  First.start();
  Second.start();
  First.awaitReady(seconds(15));
  Second.awaitReady(seconds(15));
  PlainCallers Asking(Log);
  Asking.start(First, ClientsPerRouter);
  Asking.start(Second, ClientsPerRouter);
  std::this_thread::sleep_for(seconds(6));

  if (Trouble) {
    Log.line("router " + Second.Name + " is killed");
    Second.kill();
  }
  std::this_thread::sleep_for(DownTime / 2);
  // The runner leaves without a word: its entry is removed, and it goes on
  // serving for a while.
  const auto RemovedAt = Beats.remove(Leaving);
  Log.line("entry of " + std::string(Leaving) + " removed");
  std::this_thread::sleep_for(DownTime / 2);
  const auto RestartedAt = Clock::now();
  if (Trouble) {
    Log.line("router " + Second.Name + " starts again");
    Second.start();
    Second.awaitReady(seconds(10));
    Log.line("router " + Second.Name + " is ready");
  }
  std::this_thread::sleep_until(RemovedAt + RunnerStaysFor);
  Log.line("runner " + std::string(Leaving) + " exits");
  Runners.front()->exit();
  std::this_thread::sleep_for(seconds(3));
  Asking.stop();

  const auto Outcomes = Asking.outcomes();
  // A machine is in touch once it has run for `contactMs`.
  const LateArrivals Late = countLate(
      *Runners.front(), Outcomes, RemovedAt, Log,
      Trouble ? Second.Name : std::string(), RestartedAt + figures::ContactMs);
  for (const auto &[Kind, Number] : Platform.calls())
    Log.line("store calls " + Kind + ": " + std::to_string(Number));
  std::cout << Outcomes.size() << " requests; " << Late.Count
            << " reached the runner that had left, later than "
            << figures::DrainMs.count() << " ms after the store's ack; "
            << Late.Lost << " of them got no answer of it\n";
  Log.line("DRAIN: " + std::to_string(Late.Count) + " late, " +
           std::to_string(Late.Lost) + " of them lost");
  if (Outcomes.empty())
    endCase(Verdict::CannotRun);
  endCase(Late.Count > 0 ? Verdict::Broken : Verdict::Held);
}
