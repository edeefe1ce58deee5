#include "Decision/RetryLoad.h"
#include "RetryRecord.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// The window in which retries are counted.
constexpr auto Window = 10s;

/// A tenth of the requests, and one a second for each router.
double allowedFor(std::size_t Requests) {
  const RetrySettings Settings;
  return Settings.BudgetFraction * static_cast<double>(Requests) +
         Settings.BudgetFloorPerSecond *
             std::chrono::duration<double>(Window).count();
}

AccountId account(std::uint64_t Number) { return AccountId{Number + 1}; }

} // namespace

// Guards against many accounts that have each saved retries over a long time
// and spend them in the same window.
Test(RouterRetryBudget, holdsForAccountsThatHaveSavedRetries) {
  RetryLoad Load{RetrySettings{}};
  constexpr std::size_t Accounts = 200;
  for (int Minute = 0; Minute < 100; ++Minute) {
    for (std::size_t I = 0; I < Accounts; ++I)
      Load.request(account(I));
    Load.advance(1min);
  }
  std::size_t Retries = 0;
  for (std::size_t I = 0; I < Accounts; ++I) {
    Load.request(account(I));
    while (Load.retry(account(I)))
      ++Retries;
  }
  cr_assert_leq(static_cast<double>(Retries), allowedFor(Accounts));
}

// Guards against a router that, restarted in series, has a full floor with each
// process.
Test(RouterRetryBudget, holdsOverRestartsInSeries) {
  RetryLoad Load{RetrySettings{}};
  std::size_t Retries = 0;
  constexpr std::size_t Lives = 10;
  for (std::size_t Life = 0; Life < Lives; ++Life) {
    Load.restart();
    Load.request(account(0));
    while (Load.retry(account(0)))
      ++Retries;
    Load.advance(Window / Lives);
  }
  cr_assert_leq(static_cast<double>(Retries), allowedFor(Lives));
}

// Guards against a bound that is kept by fewer retries without trouble.
Test(RouterRetryBudget, permitsTheBoundUnderSteadyLoad) {
  RetryLoad Load{RetrySettings{}};
  std::size_t Retries = 0;
  constexpr int Steps = 100;
  for (int Step = 0; Step < 4 * Steps; ++Step) {
    for (int I = 0; I < 10; ++I)
      Load.request(account(0));
    if (Step >= 3 * Steps)
      while (Load.retry(account(0)))
        ++Retries;
    Load.advance(Window / Steps);
  }
  cr_assert_geq(static_cast<double>(Retries),
                0.9 * allowedFor(std::size_t{10} * Steps));
}

// Guards against any sequence of requests and restarts after which the routers
// together retry more than a tenth of the requests and one a second each.
Test(RouterRetryBudget, holdsInEveryWindowOfDrawnTroubles, .timeout = 120) {
  const bool Kept = rc::check("the bound of the older path", [] {
    const auto Routers = *rc::gen::inRange<std::size_t>(1, 6);
    const auto Steps = *rc::gen::resize(
        300,
        rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 100),
                           rc::gen::inRange(0, 120))));
    const RetrySettings Settings;
    std::vector<RetryLoad> Fleet;
    for (std::size_t I = 0; I < Routers; ++I)
      Fleet.emplace_back(Settings);
    RetryRecord Record({Settings.BudgetFraction, Window,
                        allowedFor(0) * static_cast<double>(Routers)});
    for (const auto &[Kind, Place, Count] : Steps) {
      RetryLoad &Router = Fleet.at(static_cast<std::size_t>(Place) % Routers);
      const AccountId Account = account(static_cast<std::uint64_t>(Place / 7));
      if (Kind < 4)
        for (int I = 0; I < Count; ++I) {
          Router.request(Account);
          Record.recordRequest(Router.now());
        }
      else if (Kind < 8)
        for (int I = 0; I < Count && Router.retry(Account); ++I)
          Record.recordRetry(Router.now());
      else if (Kind < 10)
        Router.restart();
      else
        for (RetryLoad &Each : Fleet)
          Each.advance(20ms * Count);
    }
    const auto Violation = Record.violation();
    RC_ASSERT(!Violation);
  });
  cr_assert(Kept);
}
