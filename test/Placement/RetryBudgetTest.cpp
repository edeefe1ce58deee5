#include "Placement/RetryFleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr RetryBounds Bounds{0.2, 10s, 50};
constexpr auto Step = 100ms;

/// Requests arrive at each router, and all routers retry as much as they may.
void playTrouble(RetryFleet &Fleet, std::size_t RequestsPerStep,
                 std::size_t MaxRetries) {
  for (std::size_t Router = 0; Router < Fleet.size(); ++Router) {
    for (std::size_t I = 0; I < RequestsPerStep; ++I)
      Fleet.request(Router);
    Fleet.retry(Router, MaxRetries);
  }
  Fleet.advance(Step);
}

/// The same without retries.
void playCalm(RetryFleet &Fleet, Duration Length,
              std::size_t RequestsPerStep = 1) {
  for (Duration Played{}; Played < Length; Played += Step) {
    for (std::size_t Router = 0; Router < Fleet.size(); ++Router)
      for (std::size_t I = 0; I < RequestsPerStep; ++I)
        Fleet.request(Router);
    Fleet.advance(Step);
  }
}

void assertKept(const RetryFleet &Fleet) {
  const auto Violation = Fleet.record().violation();
  cr_assert(!Violation, "%s", Violation ? Violation->c_str() : "");
}

enum class Operation {
  Requests,
  Retries,
  DecideRetries,
  SendRetries,
  Restart,
  Unlist,
  List,
  CutOff,
  Reconnect,
  Wait,
};

struct Action {
  Operation Kind = Operation::Wait;
  std::size_t Router = 0;
  std::size_t Count = 0;
};

rc::Gen<Action> actions(std::size_t Routers) {
  return rc::gen::map(
      rc::gen::tuple(
          rc::gen::weightedElement<Operation>({{6, Operation::Requests},
                                               {8, Operation::Retries},
                                               {2, Operation::DecideRetries},
                                               {2, Operation::SendRetries},
                                               {3, Operation::Restart},
                                               {1, Operation::Unlist},
                                               {1, Operation::List},
                                               {1, Operation::CutOff},
                                               {1, Operation::Reconnect},
                                               {4, Operation::Wait}}),
          rc::gen::inRange<std::size_t>(0, Routers),
          rc::gen::inRange<std::size_t>(0, 120)),
      [](const std::tuple<Operation, std::size_t, std::size_t> &Drawn) {
        return Action{std::get<0>(Drawn), std::get<1>(Drawn),
                      std::get<2>(Drawn)};
      });
}

void apply(RetryFleet &Fleet, const Action &Each) {
  switch (Each.Kind) {
  case Operation::Requests:
    for (std::size_t I = 0; I < Each.Count; ++I)
      Fleet.request(Each.Router);
    break;
  case Operation::Retries:
    Fleet.retry(Each.Router, Each.Count);
    break;
  case Operation::DecideRetries:
    for (std::size_t I = 0; I < Each.Count; ++I)
      Fleet.decideRetry(Each.Router);
    break;
  case Operation::SendRetries:
    Fleet.sendRetries(Each.Router);
    break;
  case Operation::Restart:
    Fleet.restart(Each.Router);
    break;
  case Operation::Unlist:
    Fleet.setListed(Each.Router, false);
    break;
  case Operation::List:
    Fleet.setListed(Each.Router, true);
    break;
  case Operation::CutOff:
    Fleet.setCutOff(Each.Router, true);
    break;
  case Operation::Reconnect:
    Fleet.setCutOff(Each.Router, false);
    break;
  case Operation::Wait:
    Fleet.advance(20ms * Each.Count);
    break;
  }
}

} // namespace

// Guards against any sequence of requests, restarts and lists after which some
// window has more retries than allowed.
Test(RetryBudget, holdsInEveryWindowOfDrawnTroubles, .timeout = 200) {
  const bool Kept = rc::check("the bound of the fleet", [] {
    const auto Routers = *rc::gen::inRange<std::size_t>(1, 9);
    const auto Drawn = *rc::gen::resize(
        300, rc::gen::container<std::vector<Action>>(actions(Routers)));
    RetryFleet Fleet(Routers, Bounds);
    for (const Action &Each : Drawn)
      apply(Fleet, Each);
    const auto Violation = Fleet.record().violation();
    RC_ASSERT(!Violation);
  });
  cr_assert(Kept);
}

// Guards against traffic that rises and ends, while routers restart and retry
// as much as they may, after which some window has more retries than allowed.
Test(RetryBudget, holdsInEveryWindowOfDrawnTraffic, .timeout = 200) {
  const bool Kept = rc::check("the bound of the fleet under load", [] {
    const auto Routers = *rc::gen::inRange<std::size_t>(1, 5);
    /// Steps, requests in a step, whether to retry, the router to restart.
    using Phase = std::tuple<int, std::size_t, int, std::size_t>;
    const auto Phases = *rc::gen::container<std::vector<Phase>>(
        8, rc::gen::tuple(rc::gen::inRange(1, 100),
                          rc::gen::inRange<std::size_t>(0, 15),
                          rc::gen::inRange(0, 3),
                          rc::gen::inRange<std::size_t>(0, 2 * Routers)));
    RetryFleet Fleet(Routers, Bounds);
    Fleet.advance(20s);
    for (const auto &[Steps, Requests, Retries, Restarted] : Phases) {
      if (Restarted < Routers)
        Fleet.restart(Restarted);
      for (int I = 0; I < Steps; ++I)
        playTrouble(Fleet, Requests, Retries > 0 ? 1000 : 0);
    }
    const auto Violation = Fleet.record().violation();
    RC_ASSERT(!Violation);
  });
  cr_assert(Kept);
}

// Guards against processes that each spend anew what the earlier one has spent.
Test(RetryBudget, holdsOverRestartsInSeries, .timeout = 60) {
  for (const std::size_t Routers : {6U, 302U}) {
    RetryFleet Fleet(Routers, Bounds);
    playCalm(Fleet, 30s);
    for (int I = 0; I < 160; ++I) {
      if (I % 15 == 0)
        for (std::size_t Router = 0; Router < Routers; ++Router)
          Fleet.restart(Router);
      playTrouble(Fleet, 1, 1);
    }
    assertKept(Fleet);
  }
}

// Guards against routers that each take the slack of those missing in the list.
Test(RetryBudget, holdsWhileTheListShrinks, .timeout = 60) {
  for (const std::size_t Routers : {6U, 302U}) {
    RetryFleet Fleet(Routers, Bounds);
    Fleet.advance(60s);
    for (std::size_t Router = 0; Router < Routers; ++Router)
      Fleet.setListed(Router, false);
    for (int I = 0; I < 20; ++I)
      playTrouble(Fleet, I == 15 ? 40 : 0, 40);
    assertKept(Fleet);
  }
}

// Guards against routers whose lists show none of the others.
Test(RetryBudget, holdsWhileListsDiffer, .timeout = 60) {
  RetryFleet Fleet(6, Bounds);
  for (std::size_t Router = 1; Router < 6; ++Router)
    Fleet.setListed(Router, false);
  Fleet.advance(60s);
  for (std::size_t Router = 0; Router < 6; ++Router)
    Fleet.setCutOff(Router, true);
  for (std::size_t Router = 1; Router < 6; ++Router)
    Fleet.setListed(Router, true);
  Fleet.advance(20s);
  for (int I = 0; I < 20; ++I)
    playTrouble(Fleet, 10, 10);
  assertKept(Fleet);
}

// Guards against retries that wait, and are sent in a window without requests.
Test(RetryBudget, holdsForRetriesThatAreSentLate, .timeout = 60) {
  RetryFleet Fleet(6, Bounds);
  playCalm(Fleet, 30s, 5);
  for (std::size_t Router = 0; Router < 6; ++Router)
    while (Fleet.decideRetry(Router))
      continue;
  Fleet.advance(25s);
  for (std::size_t Router = 0; Router < 6; ++Router)
    Fleet.sendRetries(Router);
  assertKept(Fleet);
}

// Guards against a bound that is kept by fewer retries in a sound fleet.
Test(RetryBudget, permitsThreeQuartersOfTheBoundWithoutTrouble, .timeout = 60) {
  RetryFleet Fleet(6, Bounds);
  playCalm(Fleet, 30s, 5);
  for (int I = 0; I < 200; ++I)
    playTrouble(Fleet, 5, 5);
  assertKept(Fleet);
  constexpr double WindowRequests = 6 * 5 * 100;
  cr_assert_geq(static_cast<double>(Fleet.record().most()),
                0.75 * (Bounds.Ratio * WindowRequests + Bounds.Slack));
}
