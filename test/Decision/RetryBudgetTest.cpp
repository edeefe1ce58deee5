#include "Decision/RetryLoad.h"

#include <criterion/criterion.h>

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
  cr_assert_geq(static_cast<double>(Retries), 0.9 * allowedFor(10 * Steps));
}
