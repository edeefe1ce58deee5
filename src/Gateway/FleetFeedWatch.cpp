#include "Gateway/FleetFeed.h"
#include "Gateway/FleetFeedTimes.h"
#include "Gateway/RelayClusters.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

using namespace internal;

namespace {

/// How long one watch call waits for changes.
constexpr Duration WatchTimeout = std::chrono::seconds(8);

/// How long the watch of a relay may take to report a revision that the store
/// has: the longest pause between two calls, with some reserve.
constexpr Duration MaxWatchLag = std::chrono::milliseconds(550);

/// The pause after a watch call that returned changes, doubled with each such
/// call in a row. When a fleet starts, changes arrive in hundreds, and one call
/// returns all that were made during the pause. The maximum is a quarter of the
/// shortest bound on a change (2 s).
constexpr Duration InitialWatchPause = std::chrono::milliseconds(120);
constexpr Duration MaxWatchPause = std::chrono::milliseconds(480);

/// Number of stale reads of the lists in a row before a linearizable read, and
/// the time between two of them. The store's replicas lag by about 0.1 to
/// 0.2 s.
constexpr int MaxStaleListReads = 2;
constexpr Duration StaleListInterval = std::chrono::milliseconds(300);

/// Delay before a router that found no other router reads the lists again. All
/// routers of a fleet start within about 0.3 s.
constexpr Duration ListsRetryDelay = std::chrono::milliseconds(600);

/// How far before its lists a starting relay's history begins. A process is
/// back within seconds; followers read the lists if more has changed meanwhile.
constexpr Revision EarlierRevisions = 512;

/// Logs of which revision each list is. Stale reads differ in their age.
void logLists(const FleetLists &Lists, ReadConsistency Consistency) {
  log(LogPart::Platform, LogLevel::Info,
      "lists read: revision=" + std::to_string(Lists.coveredRevision()) +
          " servers=" + std::to_string(Lists.Servers.ReadRevision) +
          " routers=" + std::to_string(Lists.Routers.ReadRevision) +
          " zones=" + std::to_string(Lists.Zones.ReadRevision) + " source=" +
          (Consistency == ReadConsistency::AllowStale ? "stale-read" : "read"));
}

} // namespace

/// The consistency of the next read of the lists. Stale reads come first, since
/// the relay or the watch reports what they lack. If they do not help because
/// the relay's history does not reach back that far, a linearizable read is
/// used.
ReadConsistency FleetFeed::nextListConsistency() {
  TimePoint LastReadAt;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->StaleListReads >= MaxStaleListReads)
      return ReadConsistency::Linearizable;
    LastReadAt = ++this->StaleListReads > 1 ? this->ListsReadAt : TimePoint{};
  }
  // A second stale read without a delay would be as stale as the first.
  const Duration Elapsed = this->BootClock.now() - LastReadAt;
  if (Elapsed < StaleListInterval)
    (void)this->sleepUnlessStopped(StaleListInterval - Elapsed);
  return ReadConsistency::AllowStale;
}

/// Reads the lists. `After` is set to the lowest revision read, from which
/// changes are requested next, so that none is missed.
bool FleetFeed::readLists(FleetSource &Source, Revision &After) {
  const ReadConsistency Consistency = this->nextListConsistency();
  const StoreCall ServersCall =
      this->startCall(StoreCallPurpose::List, Consistency);
  auto Servers = Source.Servers(Consistency);
  if (!this->recordCall(ServersCall, Servers))
    return false;
  const StoreCall RoutersCall =
      this->startCall(StoreCallPurpose::List, Consistency);
  auto Routers = Source.Routers(Consistency);
  if (!this->recordCall(RoutersCall, Routers))
    return false;
  const StoreCall ZonesCall =
      this->startCall(StoreCallPurpose::List, Consistency);
  auto Zones = Source.Evacuations(Consistency);
  if (!this->recordCall(ZonesCall, Zones))
    return false;
  const FleetLists Lists{std::move(*Servers), std::move(*Routers),
                         std::move(*Zones)};
  After = Lists.coveredRevision();
  logLists(Lists, Consistency);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->reportInvalidEntries(Lists.Servers);
  this->State.applyLists(Lists, this->BootClock.now());
  this->adoptLease(Lists.Routers);
  this->ListsReadAt = this->BootClock.now();
  this->ListsRead = true;
  return true;
}

/// Adopts the lease of the entry that an earlier process of this router wrote
/// with the same address. That takes one renewal instead of a new lease and a
/// new entry. Requires `Mutex` to be held.
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

/// Reads the changes before the lists, if this router is listed as a relay, for
/// the routers that follow it. Those that followed its earlier process lack
/// what has changed since its end, and those that start with it may have read
/// older lists; without the changes each of them would read the lists again.
void FleetFeed::readEarlierChanges(FleetSource &Source, Revision &After) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Loaded || !relaysOf(*this->State.view().RouterEndpoints)
                             .contains(this->Settings.RouterName))
      return;
  }
  const Revision Begin = std::max<Revision>(After - EarlierRevisions, 0);
  const StoreCall Call =
      this->startCall(StoreCallPurpose::Watch, ReadConsistency::Linearizable);
  const auto Earlier = Source.ListChanges(Begin);
  if (!Earlier && Earlier.error().Code == ErrorCode::NotFound) {
    this->Counters.Calls.at(StoreCallPurpose::Watch)->add();
    return;
  }
  if (!this->recordCall(Call, Earlier))
    return;
  this->Counters.Calls.at(StoreCallPurpose::Watch)->add(2);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->State.applyEarlierChanges(Begin, *Earlier, this->BootClock.now());
  After = this->State.seenRevision();
  log(LogPart::Platform, LogLevel::Info,
      "changes=" + std::to_string(Earlier->Changes.size()) +
          " read for followers, after revision=" + std::to_string(Begin) +
          ", up to revision=" + std::to_string(After));
}

/// Reads and publishes the lists. A router that finds no other, as when all
/// start together, registers itself and reads the lists again. Otherwise each
/// router would consider itself a relay at first, and watch and prove on its
/// own.
bool FleetFeed::load(FleetSource &Source, Revision &After) {
  this->Counters.Reloads.add();
  if (!this->readLists(Source, After))
    return false;
  if (!this->knowsOtherRouters() && !std::exchange(this->ListsRetried, true)) {
    this->wakeProver();
    if (!this->sleepUnlessStopped(this->jittered(ListsRetryDelay)) ||
        !this->readLists(Source, After))
      return false;
  }
  this->readEarlierChanges(Source, After);
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!std::exchange(this->Loaded, true))
      this->LoadedAt = this->BootClock.now();
    this->ReloadDue = false;
    this->BehindSince.reset();
    this->OlderHistoryLacksChanges = false;
  }
  this->wakeProver();
  this->publish();
  return true;
}

/// Waits while the relays send all changes, or cannot reach the store either.
void FleetFeed::followRelay() {
  while (this->reliesOnRelays()) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (this->Stopping || this->ReloadDue)
      return;
    this->Wakeup.wait_for(Lock, RelayProverInterval,
                          [this] { return this->Stopping || this->ReloadDue; });
  }
}

/// Waits while the prover cannot reach the store, so that only one thread
/// retries. Returns false if the feed stops.
bool FleetFeed::waitForStore() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (this->LastProofFailed && !this->Stopping)
    this->Wakeup.wait_for(Lock, RelayProverInterval);
  return !this->Stopping;
}

/// Waits before a call is retried; less if the store is regained. Returns false
/// if the feed stops.
bool FleetFeed::waitToRetry(Backoff &Retry) {
  Retry.MaxDelay =
      this->hasRelay() ? MaxFollowerRetryDelay : MaxRelayRetryDelay;
  const Duration Delay = this->jittered(Retry.nextDelay());
  Duration Spread{};
  {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    const std::uint64_t Before = this->Recoveries;
    const bool EndedEarly = this->Wakeup.wait_for(Lock, Delay, [this, Before] {
      return this->Stopping || this->Recoveries != Before;
    });
    // All routers hear of the recovery at the same time.
    if (EndedEarly)
      Spread = std::chrono::duration_cast<Duration>(InitialRetryDelay *
                                                    this->randomFraction());
  }
  return this->sleepUnlessStopped(Spread) && this->waitForStore();
}

std::stop_token FleetFeed::startWatch() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->WatchEnd = std::stop_source();
  this->WatchInProgress = true;
  // A request to stop that came before this call.
  if (this->Stopping || this->ReloadDue)
    this->WatchEnd.request_stop();
  return this->WatchEnd.get_token();
}

void FleetFeed::finishWatch() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->WatchInProgress = false;
}

/// Requires `Mutex` to be held.
void FleetFeed::endWatch() {
  if (this->WatchInProgress)
    this->WatchEnd.request_stop();
}

bool FleetFeed::reloadIsDue() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->ReloadDue;
}

void FleetFeed::runWatcher() {
  FleetSource Source = this->MakeSource();
  Revision After = 0;
  Duration Pause = MaxWatchPause;
  Backoff Retry{InitialRetryDelay, MaxRelayRetryDelay};
  bool IsCurrent = false;
  while (!this->stopping()) {
    if (!IsCurrent) {
      IsCurrent = this->load(Source, After);
      if (IsCurrent)
        Retry.reset();
      else if (!this->waitToRetry(Retry))
        return;
      continue;
    }
    if (this->reloadIsDue()) {
      IsCurrent = false;
      continue;
    }
    if (this->reliesOnRelays()) {
      this->followRelay();
      continue;
    }
    After = std::max(After, this->seenRevision());
    const StoreCall Call =
        this->startCall(StoreCallPurpose::Watch, ReadConsistency::Linearizable);
    const std::stop_token Ended = this->startWatch();
    const auto Watched = Source.Changes(After, WatchTimeout, Ended);
    this->finishWatch();
    if (!Watched && Ended.stop_requested()) {
      this->Counters.Calls.at(StoreCallPurpose::Watch)->add();
      continue;
    }
    if (!Watched && Watched.error().Code == ErrorCode::NotFound) {
      log(LogPart::Platform, LogLevel::Info,
          "history after revision " + std::to_string(After) +
              " has been compacted; reloading all lists");
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      // Stale lists might be older than the start of the history.
      this->StaleListReads = MaxStaleListReads;
      IsCurrent = false;
      continue;
    }
    if (!this->recordCall(Call, Watched)) {
      if (!this->waitToRetry(Retry))
        return;
      continue;
    }
    Retry.reset();
    After = std::max(After, Watched->LastRevision);
    this->applyChanges(*Watched);
    if (Watched->Changes.empty()) {
      Pause = InitialWatchPause;
      continue;
    }
    if (!this->sleepUnlessStopped(Pause))
      return;
    Pause = std::min(Pause * 2, MaxWatchPause);
  }
}

void FleetFeed::applyChanges(const FleetChanges &Changes,
                             std::optional<TimePoint> CompleteAt) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const FleetChange &Each : Changes.Changes) {
      if (const auto *Invalid = std::get_if<InvalidServerEntry>(&Each))
        this->reportInvalidEntry(*Invalid);
      this->checkOwnRemoval(Each);
      this->State.applyChange(Each, this->BootClock.now());
    }
    this->State.recordSeenRevision(Changes.LastRevision);
    if (CompleteAt)
      this->State.recordListsProof(Changes.LastRevision, *CompleteAt);
    this->StaleListReads = 0;
  }
  // Publishes even if only the revision is new, since followers wait for it.
  this->publish();
}

/// Compares the revision reported by the watch with the store's. A watch call
/// whose connection was silently lost looks like a store without changes, until
/// the call times out. Requires `Mutex` to be held.
void FleetFeed::checkWatchLag(Revision StoreRevision) {
  const Revision Seen = this->State.seenRevision();
  const TimePoint Now = this->BootClock.now();
  if (StoreRevision <= Seen || this->relayIsFresh()) {
    this->UnseenRevision = 0;
    return;
  }
  if (this->UnseenRevision <= Seen) {
    this->UnseenRevision = StoreRevision;
    this->UnseenSince = Now;
  }
}

/// When the lists must be read since they are too old, or since the relay does
/// not pass on all changes; empty if nothing is known to answer. Requires
/// `Mutex` to be held.
std::optional<TimePoint> FleetFeed::listsReadDueAt(TimePoint Now) const {
  // A failed proof is repeated first.
  if (!this->Loaded || this->LastProofFailed || this->ReloadDue ||
      (this->hasRelay() && this->acceptsOutageReport(Now)))
    return std::nullopt;
  if (this->OlderHistoryLacksChanges)
    return this->NextListsReadAt;
  const TimePoint CompleteAt =
      std::max(this->State.listsProvenAt(), this->LoadedAt);
  return std::max(CompleteAt + this->Times.MaxListsAge, this->NextListsReadAt);
}

/// Whether to read the changes that neither a relay nor the watch has reported.
/// Requires `Mutex` to be held.
bool FleetFeed::mustCatchUp(TimePoint Now) const {
  const Duration MaxLag = this->hasRelay() ? Duration::zero() : MaxWatchLag;
  const bool WatchLags = this->UnseenRevision > this->State.seenRevision() &&
                         Now - this->UnseenSince >= MaxLag &&
                         Now >= this->NextListsReadAt;
  const auto DueAt = this->listsReadDueAt(Now);
  return this->Loaded && (WatchLags || (DueAt && *DueAt <= Now));
}

/// Reads the changes that a relay or the watch should have reported.
void FleetFeed::catchUp(FleetSource &Source) {
  const StoreCall Call =
      this->startCall(StoreCallPurpose::Watch, ReadConsistency::Linearizable);
  Revision After = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->mustCatchUp(Call.SentAt))
      return;
    After = this->State.seenRevision();
  }
  const auto Missed = Source.Changes(After, Duration::zero(), {});
  if (!Missed && Missed.error().Code == ErrorCode::NotFound) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->StaleListReads = MaxStaleListReads;
    if (this->Loaded)
      this->scheduleReload();
    return;
  }
  if (!this->recordCall(Call, Missed)) {
    const Duration Delay = this->jittered(this->ListsRetry.nextDelay());
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->NextListsReadAt = this->BootClock.now() + Delay;
    return;
  }
  this->ListsRetry.reset();
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    log(LogPart::Platform, LogLevel::Info,
        "changes=" + std::to_string(Missed->Changes.size()) +
            " read which neither a relay nor the watch has reported:" +
            this->listsText(Call.SentAt));
    this->NextListsReadAt = TimePoint{};
    this->UnseenRevision = 0;
    this->OlderHistoryLacksChanges = false;
    // A sound watch would have reported them.
    if (!Missed->Changes.empty())
      this->endWatch();
  }
  this->applyChanges(*Missed, Call.SentAt);
}

} // namespace parsleywing
