#include "Platform/PlatformThread.h"
#include "standin/StoreStandIn.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <mutex>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

struct EventRecorder {
  std::mutex Mutex;
  std::vector<PlatformEvent> Events;

  template <typename Kind> std::vector<Kind> all() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    std::vector<Kind> Matches;
    for (const auto &Each : this->Events)
      if (const auto *Event = std::get_if<Kind>(&Each))
        Matches.push_back(*Event);
    return Matches;
  }
};

template <typename Condition> bool eventually(Condition Holds) {
  for (int Attempt = 0; Attempt < 1000; ++Attempt) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

constexpr auto LeaseTtl = 2s;
/// Maximum delay between attempts to reach a store that does not answer.
constexpr auto MaxRetryDelay = 8s;
/// Call timeout of tests in which no call may time out on a busy machine. Calls
/// to a store that refuses connections still fail at once.
constexpr auto LongCallTimeout = 30s;

struct Fixture {
  explicit Fixture(const Clock &T = Clock::steady(), Duration Deadline = 200ms)
      : Time(T), Store({.Address = "127.0.0.1:0", .Time = T}) {
    this->Store.start();
    this->Client = {this->Store.address(), Deadline, 500ms};
    this->Thread = this->startRouter("r1", 0);
  }

  /// Creates the platform thread of another router.
  std::unique_ptr<PlatformThread> startRouter(const std::string &Name,
                                              std::uint64_t Seed) {
    PlatformSettings Settings;
    Settings.LeaseTtl = LeaseTtl;
    Settings.KeepAliveInterval = 300ms;
    Settings.ListInterval = 100ms;
    Settings.Seed = Seed;
    return std::make_unique<PlatformThread>(
        Settings, ConfigurationStoreSettings{}, this->Client, this->Budget,
        RouterRegistration{Name, "z1", "127.0.0.1:1", "127.0.0.1:2", 9,
                           "127.0.0.1:3"},
        this->Time, [this](PlatformEvent Event) {
          std::lock_guard<std::mutex> Lock(this->Recorder.Mutex);
          this->Recorder.Events.push_back(std::move(Event));
        });
  }

  /// Makes the store unreachable for longer than the TTL of the leases, and for
  /// so many failed attempts of each router that the retry delays reach their
  /// maximum.
  void simulateOutage(Clock &Paused, std::uint64_t Routers) {
    this->Store.leave();
    Paused.advance(LeaseTtl);
    for (int Attempt = 0; Attempt < 8; ++Attempt) {
      const auto CallsBefore =
          this->Budget->callCount(StoreCall::LeaseKeepAlive);
      Paused.advance(MaxRetryDelay);
      cr_assert(eventually([&] {
        return this->Budget->callCount(StoreCall::LeaseKeepAlive) >=
               CallsBefore + Routers;
      }));
    }
  }

  Clock Time;
  standin::StoreStandIn Store;
  EventRecorder Recorder;
  StoreSettings Client;
  std::shared_ptr<StoreBudget> Budget =
      std::make_shared<StoreBudget>(1000, 1000, this->Time.now());
  std::unique_ptr<PlatformThread> Thread;
};

} // namespace

Test(PlatformThread, forwardsChangesAndLists) {
  Fixture F(Clock::steady(), LongCallTimeout);
  F.Thread->submit(WatchManifest{});
  cr_assert(eventually([&] { return F.Store.watches() == 1; }));
  ConfigurationStore Operator(
      {}, StoreClient(F.Client, F.Budget, Clock::steady()), Clock::steady());
  (void)Operator.apply("[a]\nx = 1\n", "asha");
  cr_assert(eventually([&] {
    const auto All = F.Recorder.all<ManifestRead>();
    return !All.empty() && All.back().Manifest.Generation == 1;
  }));
  const auto Manifest = F.Recorder.all<ManifestRead>().back().Manifest;
  F.Thread->submit(ReadParts{1, Manifest.Parts});
  cr_assert(eventually([&] { return !F.Recorder.all<PartsRead>().empty(); }));
  cr_assert_eq(F.Recorder.all<PartsRead>()[0].Texts.at(0), "[a]\nx = 1\n");
  F.Store.setVm("vm1", "leaving");
  cr_assert(eventually([&] {
    const auto All = F.Recorder.all<VmsListed>();
    return !All.empty() && !All.back().Vms.empty() &&
           All.back().Vms[0].State == VmState::Leaving;
  }));
  // The first list may have been read before the router had its lease.
  cr_assert(eventually([&] {
    const auto All = F.Recorder.all<RoutersListed>();
    return !All.empty() && !All.back().Routers.empty();
  }));
  const auto Routers = F.Recorder.all<RoutersListed>().back().Routers;
  cr_assert_eq(Routers.at(0).IncarnationNumber, 9U);
}

// Guards against a router that stays unlisted after an outage: the store is
// unreachable for longer than the lease's TTL, and the router keeps renewing
// the expired lease. Fails without the reset of Lease in
// PlatformThread::maintainLease.
Test(PlatformThread, acquiresANewLeaseAfterTheOldOneExpired) {
  Clock Time = Clock::paused();
  Fixture F(Time, LongCallTimeout);
  cr_assert(
      eventually([&] { return F.Store.peek("routers/").Entries.size() == 1; }));
  const Revision Before = F.Store.peek("routers/").Entries[0].CreateRevision;
  F.simulateOutage(Time, 1);
  cr_assert(eventually([&] {
    const auto All = F.Recorder.all<RouterLeaseChanged>();
    return !All.empty() && !All.back().Held;
  }));
  F.Store.comeBack();
  Time.advance(MaxRetryDelay);
  cr_assert(eventually([&] {
    const auto Now = F.Store.peek("routers/").Entries;
    return Now.size() == 1 && Now[0].CreateRevision > Before;
  }));
  cr_assert(eventually(
      [&] { return F.Recorder.all<RouterLeaseChanged>().back().Held; }));
}

// Guards against routers that stay unlisted for a quarter of a minute after an
// outage: the store is unreachable for longer than the leases' TTL, and a
// router that learns that its lease has expired waits again as for an
// unreachable store, up to 8 s. Fails without the reset of the backoff in
// PlatformThread::maintainLease.
Test(PlatformThread, acquiresANewLeaseAsSoonAsItLearnsOfTheExpiry) {
  Clock Time = Clock::paused();
  Fixture F(Time, LongCallTimeout);
  constexpr std::size_t OtherRouters = 48;
  std::vector<std::unique_ptr<PlatformThread>> Others;
  for (std::size_t Seed = 1; Seed <= OtherRouters; ++Seed)
    Others.push_back(F.startRouter("s" + std::to_string(Seed), Seed));
  const auto Entries = [&F] { return F.Store.peek("routers/").Entries; };
  cr_assert(eventually([&] { return Entries().size() == OtherRouters + 1; }));
  Revision LastRevision = 0;
  for (const StoreEntry &Each : Entries())
    LastRevision = std::max(LastRevision, Each.CreateRevision);
  F.simulateOutage(Time, OtherRouters + 1);
  F.Store.comeBack();
  // The delay after the last failed attempt; no further delay may follow.
  Time.advance(MaxRetryDelay);
  const auto AllAreNew = [&] {
    const auto Now = Entries();
    return Now.size() == OtherRouters + 1 &&
           std::all_of(Now.begin(), Now.end(),
                       [LastRevision](const StoreEntry &Each) {
                         return Each.CreateRevision > LastRevision;
                       });
  };
  cr_assert(eventually(AllAreNew) || eventually(AllAreNew));
}

// Guards against a router that froze or died but stays listed: two routers
// start within the same millisecond, derive the same lease ID from their start
// time and share one lease, which the live router keeps renewing. Fails without
// the name in routerSeed.
Test(PlatformThread, holdsALeaseOfItsOwnDespiteAnEqualSeed) {
  Fixture F;
  constexpr std::uint64_t StartedAt = 1'700'000'000'000;
  const auto Second = F.startRouter("r2", StartedAt);
  const auto Third = F.startRouter("r3", StartedAt);
  cr_assert(
      eventually([&] { return F.Store.peek("routers/").Entries.size() == 3; }));
  const auto Entries = F.Store.peek("routers/").Entries;
  cr_expect_neq(Entries[1].Lease, Entries[2].Lease);
}

// Guards against a relay that no longer receives changes: the connection of its
// watch goes silent while new connections work. An idle watch and a dead one
// look the same. Fails without StoreWatch::Options::SilenceTimeout.
Test(PlatformThread, replacesASilentWatch) {
  standin::StoreStandIn Store({"127.0.0.1:0"});
  Store.start();
  const auto Budget =
      std::make_shared<StoreBudget>(1000, 1000, Clock::steady().now());
  const StoreSettings Client{Store.address(), 200ms, 500ms};
  std::atomic<int> ChangeCount{0};
  std::atomic<int> StartCount{0};
  StoreWatch Watch(Client, Budget, Clock::steady(), {"k", 500ms, 1},
                   [&](const std::vector<StoreChange> &All) {
                     StartCount += All.empty() ? 1 : 0;
                     ChangeCount += static_cast<int>(All.size());
                   });
  cr_assert(eventually([&] { return StartCount == 1; }));
  Store.changeFaults([](auto &Faults) { Faults.SilentExisting = true; });
  cr_assert(eventually([&] { return StartCount >= 2; }));
  StoreClient Writer(Client, Budget, Clock::steady());
  cr_assert(eventually([&] {
    (void)Writer.put("k1", "v");
    return ChangeCount > 0;
  }));
}
