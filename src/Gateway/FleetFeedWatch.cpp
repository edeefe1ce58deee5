#include "Gateway/FleetFeed.h"
#include "Gateway/FleetFeedTimes.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

using namespace internal;

namespace {

/// One waiting call for changes.
constexpr Duration WatchWait = std::chrono::seconds(8);

/// How long the watch may take to tell of a revision that the store has: its
/// longest pause, and some.
constexpr Duration WatchPatience = std::chrono::milliseconds(550);

/// The pause behind an answer with changes, doubled with each such answer in a
/// row: those of a fleet's start come in hundreds, and one call takes all that
/// came meanwhile. The longest is a quarter of the shortest bound on a change
/// (2 s).
constexpr Duration WatchPause = std::chrono::milliseconds(120);
constexpr Duration LongestWatchPause = std::chrono::milliseconds(480);

/// Lists that may be stale, in a row, before the newest are read, and the pause
/// between two: the store's copies are some 0.1 to 0.2 s behind.
constexpr int MaxStaleLists = 2;
constexpr Duration StalePause = std::chrono::milliseconds(300);

/// Until a router that has found no other looks again. All of a fleet start
/// within some 0.3 s.
constexpr Duration AlonePause = std::chrono::milliseconds(600);

} // namespace

/// How old the next lists may be. Those that may be stale come first: what they
/// lack is told by the relay or the watch. Where they did not help, since the
/// relay does not remember that far back, the newest are read.
ReadConsistency FleetFeed::nextListConsistency() {
  TimePoint Last;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->StaleListReads >= MaxStaleLists)
      return ReadConsistency::Linearizable;
    Last = ++this->StaleListReads > 1 ? this->ListsReadAt : TimePoint{};
  }
  // A second one at once would be as stale as the first.
  const Duration Since = this->BootClock.now() - Last;
  if (Since < StalePause)
    (void)this->sleepUnlessStopped(StalePause - Since);
  return ReadConsistency::AllowStale;
}

/// Reads the lists. The changes after the first read are asked for next, so
/// that none falls between.
bool FleetFeed::readLists(FleetSource &Source, Revision &After) {
  const ReadConsistency Age = this->nextListConsistency();
  auto Servers = Source.Servers(Age);
  if (!this->recordCall(StoreCallCause::List, Age, Servers))
    return false;
  const auto Routers = Source.Routers(Age);
  if (!this->recordCall(StoreCallCause::List, Age, Routers))
    return false;
  const auto Zones = Source.Evacuations(Age);
  if (!this->recordCall(StoreCallCause::List, Age, Zones))
    return false;
  // Reads that may be stale need not be of one age; what lies between is told
  // again.
  Servers->ReadRevision = std::min(
      {Servers->ReadRevision, Routers->ReadRevision, Zones->ReadRevision});
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->applyServerList(*Servers);
  this->State.applyRouters(*Routers);
  this->State.applyEvacuations(*Zones, this->BootClock.now());
  this->adoptLease(*Routers);
  this->ListsReadAt = this->BootClock.now();
  this->ListsRead = true;
  After = Servers->ReadRevision;
  return true;
}

/// With `Mutex` held. The entry of this router's earlier process, which has the
/// same address, is kept under its lease: one renewal in place of a new lease
/// and a new entry.
void FleetFeed::adoptLease(const StoredRouters &Listed) {
  if (std::exchange(this->LeaseLookedUp, true))
    return;
  for (const StoredRouter &Each : Listed.Routers)
    if (Each.Name == this->Settings.RouterName &&
        Each.Address == this->Settings.RouterAddress &&
        Each.Cores == this->Settings.RouterCores)
      this->Lease = Each.Lease;
}

bool FleetFeed::knowsOtherRouters() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->State.knowsRouterOtherThan(this->Settings.RouterName);
}

void FleetFeed::wakeProver() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ProverWakeRequested = true;
  }
  this->Wakeup.notify_all();
}

/// Reads everything and puts it in force. A router that finds no other, as all
/// that start together, lists itself and looks once more: each would else take
/// itself for a relay, and watch and prove for itself at first.
bool FleetFeed::load(FleetSource &Source, Revision &After) {
  this->Counters.Reloads.add();
  if (!this->readLists(Source, After))
    return false;
  if (!this->knowsOtherRouters() && !std::exchange(this->ListsRetried, true)) {
    this->wakeProver();
    if (!this->sleepUnlessStopped(this->jittered(AlonePause)) ||
        !this->readLists(Source, After))
      return false;
  }
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->State.recordSeenRevision(After);
    if (!std::exchange(this->Loaded, true))
      this->LoadedAt = this->BootClock.now();
    this->ReloadDue = false;
    this->BehindSince.reset();
  }
  this->wakeProver();
  this->publish();
  return true;
}

/// Waits while the relays tell of all changes, or cannot reach the store
/// either.
void FleetFeed::followRelay() {
  while (this->reliesOnRelays()) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (this->Stopping || this->ReloadDue)
      return;
    this->Wakeup.wait_for(Lock, RelayProverInterval,
                          [this] { return this->Stopping || this->ReloadDue; });
  }
}

/// Waits while the prover finds that the store is away: one thread tries, and
/// the other profits. False where the feed stops.
bool FleetFeed::waitForStore() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (this->LastProofFailed && !this->Stopping)
    this->Wakeup.wait_for(Lock, RelayProverInterval);
  return !this->Stopping;
}

void FleetFeed::runWatcher() {
  FleetSource Source = this->MakeSource();
  Revision After = 0;
  Duration Pause = LongestWatchPause;
  Backoff Retry{InitialRetryDelay, MaxRelayRetryDelay};
  const auto WaitToRetry = [this, &Retry] {
    Retry.MaxDelay =
        this->hasRelay() ? MaxFollowerRetryDelay : MaxRelayRetryDelay;
    return this->sleepUnlessStopped(this->jittered(Retry.nextDelay())) &&
           this->waitForStore();
  };
  bool Current = false;
  while (!this->stopping()) {
    if (!Current) {
      Current = this->load(Source, After);
      if (Current)
        Retry.reset();
      else if (!WaitToRetry())
        return;
      continue;
    }
    if (this->reliesOnRelays()) {
      this->followRelay();
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      Current = !this->ReloadDue;
      continue;
    }
    After = std::max(After, this->seenRevision());
    const auto Read = Source.Changes(After, WatchWait);
    if (!Read && Read.error().Code == ErrorCode::NotFound) {
      log(LogPart::Platform, LogLevel::Info,
          "history after revision " + std::to_string(After) +
              " is gone; everything is read anew");
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      // Stale lists might be older than the history that is left.
      this->StaleListReads = MaxStaleLists;
      Current = false;
      continue;
    }
    if (!this->recordCall(StoreCallCause::Watch, ReadConsistency::Linearizable,
                          Read)) {
      if (!WaitToRetry())
        return;
      continue;
    }
    Retry.reset();
    After = std::max(After, Read->LastRevision);
    this->applyChanges(*Read);
    if (Read->Changes.empty()) {
      Pause = WatchPause;
      continue;
    }
    if (!this->sleepUnlessStopped(Pause))
      return;
    Pause = std::min(Pause * 2, LongestWatchPause);
  }
}

void FleetFeed::applyChanges(const FleetChanges &Read) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const FleetChange &Each : Read.Changes) {
      if (const auto *Unusable = std::get_if<UnusableServer>(&Each))
        this->reportUnusable(*Unusable);
      this->checkOwnRemoval(Each);
      this->State.applyChange(Each, this->BootClock.now());
    }
    this->State.recordSeenRevision(Read.LastRevision);
    this->StaleListReads = 0;
  }
  // Also where only the revision is new: routers that hear of changes from
  // this one wait for it.
  this->publish();
}

/// Compares what the watch has told with what the store has. With `Mutex` held.
/// A waiting call that was cut off without a word looks like a quiet store, for
/// up to its whole wait behind the end of the trouble.
void FleetFeed::checkWatchLag(Revision StoreAt) {
  const Revision Seen = this->State.seenRevision();
  const TimePoint Now = this->BootClock.now();
  if (StoreAt <= Seen || this->relayIsFresh()) {
    this->UnseenRevision = 0;
    return;
  }
  if (this->UnseenRevision <= Seen) {
    this->UnseenRevision = StoreAt;
    this->UnseenSince = Now;
    return;
  }
  this->CatchUpDue = Now - this->UnseenSince >= WatchPatience;
}

/// Reads the changes that the watch ought to have told.
void FleetFeed::catchUp(FleetSource &Source) {
  Revision After = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!std::exchange(this->CatchUpDue, false))
      return;
    After = this->State.seenRevision();
  }
  const auto Read = Source.Changes(After, Duration::zero());
  if (!Read && Read.error().Code == ErrorCode::NotFound) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->StaleListReads = MaxStaleLists;
    this->ReloadDue = this->Loaded;
    return;
  }
  if (this->recordCall(StoreCallCause::Watch, ReadConsistency::Linearizable,
                       Read))
    this->applyChanges(*Read);
}

} // namespace parsleywing
