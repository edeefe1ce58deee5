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

/// A store whose state, reachability and history a test controls.
struct FakeStore {
  std::mutex Mutex;
  std::int64_t Version = 1;
  Revision CurrentRevision = 10;
  std::vector<StoredServer> Servers;
  /// Lists another router, so that the tested one does not retry its lists at
  /// the start.
  std::vector<StoredRouter> Routers{{"other", "127.0.0.1:1", 1, 1}};
  /// If set, replaces `Routers` after the next read of them.
  std::vector<StoredRouter> LaterRouters;
  std::vector<EvacuatedZone> EvacuatedZones;
  bool Unreachable = false;
  bool HistoryCompacted = false;
  /// The store's revision as reported by reads of the configuration.
  Revision StoreRevision = 0;
  /// Changes that `Changes` returns if it is called with a zero wait.
  std::vector<FleetChange> UnwatchedChanges;
  /// Whether stale reads return the configuration before the last change.
  std::atomic<bool> ReplicasLag{false};
  /// Whether calls that wait for changes hang.
  std::atomic<bool> WatchHangs{false};
  /// Whether those that hung fail once `WatchHangs` is reset.
  std::atomic<bool> HungWatchTimesOut{false};
  std::atomic<int> ConfigurationReads{0};
  /// Linearizable reads of the configuration and the lists.
  std::atomic<int> LinearizableReads{0};
  std::atomic<int> ServerReads{0};
  std::atomic<int> Watches{0};
  std::atomic<int> Registrations{0};
  /// The lease that was renewed last, and one that has expired.
  std::atomic<LeaseId> RenewedLease{0};
  std::atomic<LeaseId> ExpiredLease{0};
  std::atomic<int> Unregistrations{0};

  void countRead(ReadConsistency Consistency) {
    if (Consistency == ReadConsistency::Linearizable)
      ++this->LinearizableReads;
  }

  FleetSource source() {
    FleetSource Source;
    Source.Configuration = [this](Revision, ReadConsistency Consistency)
        -> Result<std::optional<StoredConfiguration>> {
      ++this->ConfigurationReads;
      this->countRead(Consistency);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Unreachable)
        return failure(ErrorCode::TimedOut, "unreachable");
      const bool Lags =
          Consistency == ReadConsistency::AllowStale && this->ReplicasLag;
      auto Read = std::make_shared<GatewayConfiguration>();
      Read->Version = this->Version - (Lags ? 1 : 0);
      return std::optional(StoredConfiguration{
          Read, this->CurrentRevision - (Lags ? 1 : 0), this->StoreRevision});
    };
    Source.Servers =
        [this](ReadConsistency Consistency) -> Result<StoredServers> {
      ++this->ServerReads;
      this->countRead(Consistency);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Unreachable)
        return failure(ErrorCode::TimedOut, "unreachable");
      return StoredServers{this->Servers, this->CurrentRevision};
    };
    Source.Routers =
        [this](ReadConsistency Consistency) -> Result<StoredRouters> {
      this->countRead(Consistency);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      StoredRouters Read{this->Routers, this->CurrentRevision};
      if (!this->LaterRouters.empty())
        this->Routers = std::exchange(this->LaterRouters, {});
      return Read;
    };
    Source.Evacuations =
        [this](ReadConsistency Consistency) -> Result<StoredEvacuations> {
      this->countRead(Consistency);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      return StoredEvacuations{this->EvacuatedZones, this->CurrentRevision};
    };
    Source.Changes =
        [this](Revision, Duration Wait,
               const std::stop_token &Ended) -> Result<FleetChanges> {
      ++this->Watches;
      if (Wait == Duration::zero())
        return FleetChanges{this->UnwatchedChanges, this->StoreRevision};
      const bool Hung = this->WatchHangs;
      while (this->WatchHangs && !Ended.stop_requested())
        std::this_thread::sleep_for(10ms);
      if (Ended.stop_requested())
        return failure(ErrorCode::Interrupted, "ended");
      if (Hung && this->HungWatchTimesOut)
        return failure(ErrorCode::TimedOut, "timed out");
      std::this_thread::sleep_for(20ms);
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Unreachable)
        return failure(ErrorCode::TimedOut, "unreachable");
      if (std::exchange(this->HistoryCompacted, false))
        return failure(ErrorCode::NotFound, "compacted");
      return FleetChanges{{}, this->CurrentRevision};
    };
    Source.ListChanges = [this](Revision) -> Result<FleetChanges> {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Unreachable)
        return failure(ErrorCode::TimedOut, "unreachable");
      return FleetChanges{{}, this->CurrentRevision};
    };
    Source.Register = [this](const StoredRouter &,
                             Duration) -> Result<LeaseId> {
      ++this->Registrations;
      return LeaseId{1};
    };
    Source.Renew = [this](LeaseId Lease) -> Result<void> {
      this->RenewedLease = Lease;
      if (this->ExpiredLease == Lease)
        return failure(ErrorCode::NotFound, "expired");
      return {};
    };
    Source.Unregister = [this](LeaseId) -> Result<void> {
      ++this->Unregistrations;
      return {};
    };
    return Source;
  }
};

/// A feed over a `FakeStore`, for a router of the given role. `Relay` is true
/// for a relay and false for a follower.
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

  /// Waits until the predicate holds for the view. Returns false after three
  /// seconds.
  template <typename Predicate> bool eventually(Predicate Matches) {
    for (int Try = 0; Try < 300; ++Try) {
      const auto View = this->view();
      if (View != nullptr && Matches(*View))
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }

  /// Simulates a relay that has all changes up to `SeenRevision` and repeatedly
  /// proves the configuration of `FakeStore`, which starts at revision 10.
  void receiveProofsFor(Duration Time, Revision SeenRevision) const {
    const TimePoint Until = Clock::sinceBoot().now() + Time;
    while (Clock::sinceBoot().now() < Until) {
      RelayStatus Status{Clock::sinceBoot().now(), 10, SeenRevision, 0};
      Status.ListsProvenAt = Status.ProvenAt;
      this->Feed->onRelayMessage(Status);
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

/// Waits up to 10 s for what another thread of the feed does.
template <typename Predicate> bool waitFor(Predicate Holds) {
  for (int Try = 0; Try < 1000 && !Holds(); ++Try)
    std::this_thread::sleep_for(10ms);
  return Holds();
}

/// The age of a view's proof.
inline Duration age(const FleetView &View) {
  return Clock::sinceBoot().now() - View.ProvenAt;
}

} // namespace parsleywing::test

#endif
