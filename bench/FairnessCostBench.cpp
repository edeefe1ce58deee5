#include "Decision/Fairness/FairScheduler.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace parsleywing;

namespace {

constexpr std::size_t RouterCount = 380;
constexpr std::size_t ServerCount = 12000;
constexpr std::size_t AccountCount = 24000;
constexpr std::size_t ServiceCount = 5;
constexpr std::size_t ActivePairs = 200;

/// One router in a fleet of the design size.
struct TargetRouter {
  FairScheduler Scheduler;
  Clock Time = Clock::paused();
  std::uint64_t NextRequest = 1;

  TargetRouter() {
    Declarations All;
    for (std::size_t I = 0; I < AccountCount; ++I)
      All.Accounts[idOf<AccountId>("a" + std::to_string(I))].Share = 1;
    for (std::size_t I = 0; I < ServerCount; ++I) {
      const ServerId Server = idOf<ServerId>("s" + std::to_string(I));
      All.Servers[Server].MaxConcurrent = 8;
      All.Services[ServiceId{1 + I % ServiceCount}].Servers.push_back(Server);
    }
    View InitialView;
    for (std::size_t I = 1; I <= RouterCount; ++I)
      InitialView.Members.push_back({RouterId{I * 7919}, 1, false});
    InitialView.Self = InitialView.Members[100].Router;
    this->Scheduler.handle(
        this->Time.now(),
        DeclarationsChanged{std::make_shared<const Declarations>(All)});
    this->Scheduler.handle(this->Time.now(), ViewChanged{InitialView});
    this->Time.advance(std::chrono::seconds(2));
    this->Scheduler.handle(this->Time.now(), Tick{});
    for (std::size_t I = 0; I < ActivePairs * 5; ++I)
      this->queue();
  }

  FairnessActions queue() {
    const std::uint64_t Name = this->NextRequest++;
    return this->Scheduler.handle(
        this->Time.now(),
        RequestQueued{RequestId{Name},
                      idOf<AccountId>("a" + std::to_string(Name % ActivePairs)),
                      ServiceId{1 + Name % ServiceCount}, 256});
  }
};

void requestLife(benchmark::State &State) {
  TargetRouter Router;
  std::uint64_t Oldest = 1;
  for (auto Unused : State) {
    (void)Unused;
    Router.queue();
    Router.Scheduler.handle(Router.Time.now(),
                            RequestCharged{RequestId{Oldest}, 100});
    benchmark::DoNotOptimize(Router.Scheduler.handle(
        Router.Time.now(), RequestReleased{RequestId{Oldest++}, 256}));
  }
}
BENCHMARK(requestLife);

void tick(benchmark::State &State) {
  TargetRouter Router;
  for (auto Unused : State) {
    (void)Unused;
    Router.Time.advance(std::chrono::milliseconds(10));
    benchmark::DoNotOptimize(
        Router.Scheduler.handle(Router.Time.now(), Tick{}));
  }
}
BENCHMARK(tick);

} // namespace

BENCHMARK_MAIN();
