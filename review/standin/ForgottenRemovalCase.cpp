// A router forgets that a runner has left. It remembers the removals that it
// has heard, so that an older list cannot bring a runner back, but at most
// 4,096 of them, and drops the first by name, whatever its age. Behind that
// many removals, as after one release of a large service, the removal of a
// runner whose name is smaller is dropped at once. The next comparison of the
// whole list, which is read from a copy of the store that is some seconds
// behind, lists the runner again, until the comparison after that.

#include "PlainCallers.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Replaced = 4300;
constexpr int SoundRunners = 3;
constexpr int ClientCount = 8;
constexpr milliseconds WorkTime{150};
constexpr int CopyLagMs = 3000;
/// Entries that are written or removed at once, and the pause after them.
constexpr int Batch = 20;
constexpr milliseconds BatchPause{10};
/// A router compares its list with the store's 15 to 18 s after its start.
constexpr milliseconds LeaveAfter{14000};
constexpr seconds RunnerStaysFor{12};
constexpr const char *Leaving = "i-0000c3d1";

std::string replacedId(int Number) {
  constexpr int First = 10000;
  return "i-f" + std::to_string(First + Number);
}

/// Runners of a service that nobody asks for come and go.
void replaceRunners(Store &Platform) {
  for (int I = 0; I < Replaced; ++I) {
    const RunnerEntry Entry{replacedId(I), "archive", "127.63.0.1:8621",
                            "arusha-hall-b"};
    Platform.put("servers/" + Entry.Id, Entry.text(I));
    if (I % Batch == 0)
      std::this_thread::sleep_for(BatchPause);
  }
  for (int I = 0; I < Replaced; ++I) {
    Platform.remove("servers/" + replacedId(I));
    if (I % Batch == 0)
      std::this_thread::sleep_for(BatchPause);
  }
}

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
  Platform.FirstPageLagMs = CopyLagMs;
  Platform.FurtherPagesLagMs = CopyLagMs;
  Platform.put("op/config", PlainConfiguration);
  Heartbeats Beats(Platform);
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
  std::this_thread::sleep_for(milliseconds(CopyLagMs) + seconds(1));

  Router Only("front-arusha-hall-a-1", Loopback.next(),
              StoreIp + ":" + std::to_string(figures::StorePort), Folder);
  const auto StartedAt = Clock::now();
  Only.start();
  Only.awaitReady(seconds(10));
  PlainCallers Asking(Log);
  Asking.start(Only, ClientCount);
  if (Trouble) {
    Log.line("runners of another service are replaced");
    replaceRunners(Platform);
    Log.line(std::to_string(Replaced) + " have left");
  }
  std::this_thread::sleep_until(StartedAt + LeaveAfter);
  // The runner leaves without a word: its entry is removed, and it goes on
  // serving for a while.
  const auto RemovedAt = Beats.remove(Leaving);
  Log.line("entry of " + std::string(Leaving) + " removed");
  std::this_thread::sleep_until(RemovedAt + RunnerStaysFor);
  Log.line("runner " + std::string(Leaving) + " exits");
  Runners.front()->exit();
  std::this_thread::sleep_for(seconds(3));
  Asking.stop();

  const auto Outcomes = Asking.outcomes();
  const LateArrivals Late =
      countLate(*Runners.front(), Outcomes, RemovedAt, Log);
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
