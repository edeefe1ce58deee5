#include "Process/Fleet.h"

#include <chrono>
#include <criterion/criterion.h>

using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr int Routers = 2;
constexpr int Engines = 4;
/// The window in which retries are counted.
constexpr auto Window = 10s;
/// What the routers may send in a window: a tenth of the requests, and one
/// retry a second each.
double allowedFor(int Calls) {
  return 0.1 * Calls + static_cast<double>(Window.count()) * Routers;
}

int arrivals(const TestFleet &Fleet) {
  int Sum = 0;
  for (int Engine = 0; Engine < Engines; ++Engine)
    Sum += Fleet.arrivalsAt(Engine);
  return Sum;
}

} // namespace

// Guards against routers that, restarted in series, spend the floor of their
// retry budget again with each process.
Test(ProcessRetryBudget, holdsOverRestartsInSeries, .timeout = 120) {
  TestFleet Fleet({.Routers = Routers, .Engines = Engines});
  cr_assert(Fleet.ready());
  for (int Engine = 0; Engine < Engines; ++Engine)
    Fleet.engineFaults(Engine, R"({"refuse":true})");
  constexpr int Lives = 6;
  constexpr int CallsPerLife = 4;
  const auto Start = std::chrono::steady_clock::now();
  for (int Life = 0; Life < Lives; ++Life)
    for (int Router = 0; Router < Routers; ++Router) {
      for (int I = 0; I < CallsPerLife; ++I)
        sendCall(Fleet.callerAddress(Router),
                 {.Stream = false, .TimeoutSeconds = 1});
      Fleet.router(Router).kill();
      cr_assert(Fleet.startRouter(Router));
    }
  cr_assert_lt(std::chrono::steady_clock::now() - Start, Window);
  constexpr int Calls = Lives * Routers * CallsPerLife;
  const int Retries = arrivals(Fleet) - Calls;
  cr_assert_leq(static_cast<double>(Retries), allowedFor(Calls),
                "%d retries for %d calls", Retries, Calls);
}
