#ifndef PARSLEYWING_TEST_GATEWAY_FAKESTORE_H
#define PARSLEYWING_TEST_GATEWAY_FAKESTORE_H

#include "Gateway/FleetFeed.h"

#include <atomic>
#include <criterion/criterion.h>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace parsleywing::test {

using namespace std::chrono_literals;

/// A store that a test can change, turn off and rob of its history.
struct FakeStore {
  std::mutex Mutex;
  std::int64_t Version = 1;
  Revision CurrentRevision = 10;
  std::vector<StoredServer> Servers;
  /// Another one, so that the router does not look for others at its start.
  std::vector<StoredRouter> Routers{{"other", "127.0.0.1:1", 1, 1}};
  std::vector<EvacuatedZone> EvacuatedZones;
  bool Unreachable = false;
  bool HistoryCompacted = false;
  /// The store's revision as reads of the configuration tell it.
  Revision StoreRevision = 0;
  /// What a call for changes that does not wait is told.
  std::vector<FleetChange> UnwatchedChanges;
  /// What stale reads are behind by: they tell the state before the last
  /// change.
  std::atomic<bool> ReplicasLag{false};
  /// Waiting calls hang.
  std::atomic<bool> WatchHangs{false};
  std::atomic<int> ConfigurationReads{0};
  /// Of the configuration and the lists, those at the full price.
  std::atomic<int> LinearizableReads{0};
  std::atomic<int> ServerReads{0};
  std::atomic<int> Watches{0};
  std::atomic<int> Registrations{0};
  /// The lease that was renewed last, and one that has ended.
  std::atomic<LeaseId> RenewedLease{0};
  std::atomic<LeaseId> EndedLease{0};
  std::atomic<int> Unregistrations{0};

  void countRead(ReadConsistency Age) {
    if (Age == ReadConsistency::Linearizable)
      ++this->LinearizableReads;
  }

  FleetSource source() {
    FleetSource Made;
    Made.Configuration = [this](Revision, ReadConsistency Age)
        -> Result<std::optional<StoredConfiguration>> {
      ++this->ConfigurationReads;
      this->countRead(Age);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Unreachable)
        return failure(ErrorCode::TimedOut, "away");
      const bool Lags = Age == ReadConsistency::AllowStale && this->ReplicasLag;
      auto Read = std::make_shared<GatewayConfiguration>();
      Read->Version = this->Version - (Lags ? 1 : 0);
      return std::optional(StoredConfiguration{
          Read, this->CurrentRevision - (Lags ? 1 : 0), this->StoreRevision});
    };
    Made.Servers = [this](ReadConsistency Age) -> Result<StoredServers> {
      ++this->ServerReads;
      this->countRead(Age);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Unreachable)
        return failure(ErrorCode::TimedOut, "away");
      return StoredServers{this->Servers, this->CurrentRevision};
    };
    Made.Routers = [this](ReadConsistency Age) -> Result<StoredRouters> {
      this->countRead(Age);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      return StoredRouters{this->Routers, this->CurrentRevision};
    };
    Made.Evacuations =
        [this](ReadConsistency Age) -> Result<StoredEvacuations> {
      this->countRead(Age);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      return StoredEvacuations{this->EvacuatedZones, this->CurrentRevision};
    };
    Made.Changes = [this](Revision, Duration Wait) -> Result<FleetChanges> {
      ++this->Watches;
      if (Wait == Duration::zero())
        return FleetChanges{this->UnwatchedChanges, this->StoreRevision};
      while (this->WatchHangs)
        std::this_thread::sleep_for(10ms);
      std::this_thread::sleep_for(20ms);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Unreachable)
        return failure(ErrorCode::TimedOut, "away");
      if (std::exchange(this->HistoryCompacted, false))
        return failure(ErrorCode::NotFound, "gone");
      return FleetChanges{{}, this->CurrentRevision};
    };
    Made.Register = [this](const StoredRouter &, Duration) -> Result<LeaseId> {
      ++this->Registrations;
      return LeaseId{1};
    };
    Made.Renew = [this](LeaseId Lease) -> Result<void> {
      this->RenewedLease = Lease;
      if (this->EndedLease == Lease)
        return failure(ErrorCode::NotFound, "ended");
      return {};
    };
    Made.Unregister = [this](LeaseId) -> Result<void> {
      ++this->Unregistrations;
      return {};
    };
    return Made;
  }
};

/// A feed over such a store, of a router of this role; a relay or a follower
/// where only that is said.
struct FeedFixture {
  explicit FeedFixture(bool Relay = true,
                       const std::function<void(FakeStore &)> &Before = {})
      : FeedFixture(Relay ? RelayRole::Relay : RelayRole::Follower, Before) {}

  explicit FeedFixture(RelayRole Role,
                       const std::function<void(FakeStore &)> &Before = {}) {
    if (Before)
      Before(this->Store);
    FleetFeed::Options Options;
    Options.RouterName = "r";
    Options.RouterAddress = "127.0.0.1:9";
    Options.Role = [Role] { return Role; };
    Options.SwitchRelay = [this] { ++this->RelaySwitches; };
    this->Feed = std::make_unique<FleetFeed>(
        Options, [this] { return this->Store.source(); }, this->MetricsRegistry,
        [this](std::shared_ptr<const FleetView> View) {
          const std::lock_guard<std::mutex> Lock(this->Mutex);
          this->LastView = std::move(View);
        });
  }

  std::shared_ptr<const FleetView> view() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->LastView;
  }

  /// Waits until the view is as wanted; false after three seconds.
  template <typename Wanted> bool eventually(Wanted Is) {
    for (int Try = 0; Try < 300; ++Try) {
      const auto View = this->view();
      if (View != nullptr && Is(*View))
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }

  /// A relay that knows all up to this revision proves that again and again.
  void receiveProofsFor(Duration Time, Revision SeenAt) const {
    const TimePoint Until = Clock::sinceBoot().now() + Time;
    while (Clock::sinceBoot().now() < Until) {
      this->Feed->onRelayMessage(
          RelayStatus{Clock::sinceBoot().now(), 10, SeenAt, 0});
      std::this_thread::sleep_for(50ms);
    }
  }

  FakeStore Store;
  std::atomic<int> RelaySwitches{0};
  Metrics MetricsRegistry;
  std::mutex Mutex;
  std::shared_ptr<const FleetView> LastView;
  std::unique_ptr<FleetFeed> Feed;
};

/// How old the proof of a view is.
inline Duration age(const FleetView &View) {
  return Clock::sinceBoot().now() - View.ProvenAt;
}

} // namespace parsleywing::test

#endif
