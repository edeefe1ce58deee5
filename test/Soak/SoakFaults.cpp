#include "Soak/SoakFleet.h"

#include <array>
#include <csignal>

namespace parsleywing::test {

using SteadyClock = std::chrono::steady_clock;

/// Runs an action and records the interval that it takes.
void SoakFleet::recordDuring(std::vector<Interval> &Intervals,
                             const std::function<void()> &Action) {
  const Interval NewInterval{SteadyClock::now()};
  std::size_t Index = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Index = Intervals.size();
    Intervals.push_back(NewInterval);
  }
  Action();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Intervals[Index].To = SteadyClock::now();
}

/// With every third seed, routers have no faults: what a server has told a
/// router binds only this process, and no longer after a freeze.
void SoakFleet::injectRouterFault(Router &Target, std::mt19937_64 &Random) {
  if (this->Seed % 3 == 2 || this->hasStaleCopies())
    return;
  switch (Random() % 4) {
  case 0:
    this->killAndRestart(Target, Random);
    return;
  case 1:
    this->freeze(Target, Random);
    return;
  default:
    this->restartGracefully(Target, Random);
    return;
  }
}

void SoakFleet::killAndRestart(Router &Target, std::mt19937_64 &Random) {
  this->recordDuring(Target.Killed, [&] { Target.Process->kill(); });
  pauseFor(Random, 50, 500);
  this->startRouter(Target);
}

void SoakFleet::freeze(Router &Target, std::mt19937_64 &Random) {
  this->recordDuring(Target.Frozen, [&] {
    Target.Process->signal(SIGSTOP);
    pauseFor(Random, 200, 1500);
    Target.Process->signal(SIGCONT);
  });
}

/// May kill or freeze the router, or send another SIGTERM, while it still
/// drains.
void SoakFleet::restartGracefully(Router &Target, std::mt19937_64 &Random) {
  bool Killed = false;
  this->recordDuring(Target.Drained, [&] {
    Target.Process->signal(SIGTERM);
    switch (Random() % 6) {
    case 0:
      pauseFor(Random, 0, 3000);
      Killed = true;
      this->killAndRestart(Target, Random);
      return;
    case 1:
      pauseFor(Random, 0, 2000);
      this->freeze(Target, Random);
      break;
    case 2:
      pauseFor(Random, 0, 3000);
      Target.Process->signal(SIGTERM);
      break;
    default:
      break;
    }
    Target.Process->wait();
  });
  if (!Killed)
    this->startRouter(Target);
}

/// The store has faults for a third of the time, since a router that starts
/// during a fault has no configuration and refuses all requests.
void SoakFleet::injectStoreFault(std::mt19937_64 &Random) {
  pauseFor(Random, 0, 2000);
  constexpr unsigned FirstHarmless = 3;
  switch (this->hasStaleCopies() ? FirstHarmless + Random() % 2
                                 : Random() % 5) {
  case 0:
    this->Store.setFault(StoreFault::Unreachable);
    break;
  case 1:
    this->Store.setFault(this->hasSilentSources() ? StoreFault::WatchesLost
                                                  : StoreFault::Silent);
    break;
  case 2:
    this->Store.setFault(StoreFault::Slow);
    break;
  case 3:
    this->Store.dropHistory();
    return;
  default:
    this->writeConfiguration();
    return;
  }
  pauseFor(Random, 300, 1500);
  this->Store.setFault(StoreFault::None);
}

/// The link to a server, or from a router to the store, resets connections, or
/// holds or delays their data.
void SoakFleet::injectLinkFault(std::mt19937_64 &Random) {
  const std::array<WayTrouble, 4> Faults{WayTrouble::Cut, WayTrouble::SilentTo,
                                         WayTrouble::SilentFrom,
                                         WayTrouble::Delayed};
  const auto InjectFault = [&](TroubledWay &Link) {
    Link.setTrouble(Faults.at(Random() % Faults.size()));
    pauseFor(Random, 300, 2500);
    Link.setTrouble(WayTrouble::None);
  };
  if (Random() % 3 == 0 && !this->hasStaleCopies()) {
    InjectFault(*this->Routers.at(Random() % this->Routers.size()).StoreLink);
    return;
  }
  ServerLink &Target =
      this->ServerLinks.at(Random() % this->ServerLinks.size());
  this->recordDuring(Target.Faults, [&] { InjectFault(*Target.Link); });
}

} // namespace parsleywing::test
