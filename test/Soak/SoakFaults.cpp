#include "Soak/SoakFleet.h"

#include <array>
#include <csignal>

namespace parsleywing::test {

using SteadyClock = std::chrono::steady_clock;

/// Notes the stretch of time that something takes.
void SoakFleet::recordDuring(std::vector<Interval> &Spans,
                             const std::function<void()> &Do) {
  const Interval Began{SteadyClock::now()};
  std::size_t Place = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Place = Spans.size();
    Spans.push_back(Began);
  }
  Do();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Spans[Place].To = SteadyClock::now();
}

void SoakFleet::injectRouterFault(Router &Chosen, std::mt19937_64 &Random) {
  switch (Random() % 4) {
  case 0:
    this->killAndRestart(Chosen, Random);
    return;
  case 1:
    this->freeze(Chosen, Random);
    return;
  default:
    this->restartGracefully(Chosen, Random);
    return;
  }
}

void SoakFleet::killAndRestart(Router &Chosen, std::mt19937_64 &Random) {
  this->recordDuring(Chosen.Killed, [&] { Chosen.Process->kill(); });
  pauseFor(Random, 50, 500);
  this->startRouter(Chosen);
}

void SoakFleet::freeze(Router &Chosen, std::mt19937_64 &Random) {
  this->recordDuring(Chosen.Frozen, [&] {
    Chosen.Process->signal(SIGSTOP);
    pauseFor(Random, 200, 1500);
    Chosen.Process->signal(SIGCONT);
  });
}

/// Other signals come while the router still drains.
void SoakFleet::restartGracefully(Router &Chosen, std::mt19937_64 &Random) {
  bool Killed = false;
  this->recordDuring(Chosen.Drained, [&] {
    Chosen.Process->signal(SIGTERM);
    switch (Random() % 6) {
    case 0:
      pauseFor(Random, 0, 3000);
      Killed = true;
      this->killAndRestart(Chosen, Random);
      return;
    case 1:
      pauseFor(Random, 0, 2000);
      this->freeze(Chosen, Random);
      break;
    case 2:
      pauseFor(Random, 0, 3000);
      Chosen.Process->signal(SIGTERM);
      break;
    default:
      break;
    }
    Chosen.Process->wait();
  });
  if (!Killed)
    this->startRouter(Chosen);
}

/// The store is in trouble for a third of the time: a router that starts
/// meanwhile has no configuration and refuses all.
void SoakFleet::injectStoreFault(std::mt19937_64 &Random) {
  pauseFor(Random, 0, 2000);
  switch (Random() % 5) {
  case 0:
    this->Store.setFault(StoreFault::Unreachable);
    break;
  case 1:
    this->Store.setFault(StoreFault::Silent);
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

/// A way to a server or from a router to the store resets, holds or delays
/// what goes over it.
void SoakFleet::injectLinkFault(std::mt19937_64 &Random) {
  const std::array<WayTrouble, 4> Troubles{
      WayTrouble::Cut, WayTrouble::SilentTo, WayTrouble::SilentFrom,
      WayTrouble::Delayed};
  const auto Trouble = [&](TroubledWay &Way) {
    Way.setTrouble(Troubles.at(Random() % Troubles.size()));
    pauseFor(Random, 300, 2500);
    Way.setTrouble(WayTrouble::None);
  };
  if (Random() % 3 == 0) {
    Trouble(*this->Routers.at(Random() % this->Routers.size()).StoreLink);
    return;
  }
  ServerLink &Chosen =
      this->ServerLinks.at(Random() % this->ServerLinks.size());
  this->recordDuring(Chosen.Faults, [&] { Trouble(*Chosen.Link); });
}

} // namespace parsleywing::test
