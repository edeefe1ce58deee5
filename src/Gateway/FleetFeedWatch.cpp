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
ReadAge FleetFeed::listAge() {
  TimePoint Last;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    if (this->StaleLists >= MaxStaleLists)
      return ReadAge::Newest;
    Last = ++this->StaleLists > 1 ? this->ListedAt : TimePoint{};
  }
  // A second one at once would be as stale as the first.
  const Duration Since = this->Time.now() - Last;
  if (Since < StalePause)
    (void)this->rest(StalePause - Since);
  return ReadAge::MayBeStale;
}

/// Reads the lists. The changes after the first read are asked for next, so
/// that none falls between.
bool FleetFeed::readLists(FleetSource &Source, Revision &After) {
  const ReadAge Age = this->listAge();
  auto Servers = Source.Servers(Age);
  if (!this->note(StoreCause::List, Age, Servers))
    return false;
  const auto Routers = Source.Routers(Age);
  if (!this->note(StoreCause::List, Age, Routers))
    return false;
  const auto Zones = Source.Evacuations(Age);
  if (!this->note(StoreCause::List, Age, Zones))
    return false;
  // Reads that may be stale need not be of one age; what lies between is told
  // again.
  Servers->At = std::min({Servers->At, Routers->At, Zones->At});
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->takeList(*Servers);
  this->Book.take(*Routers);
  this->Book.take(*Zones, this->Time.now());
  this->adoptLease(*Routers);
  this->ListedAt = this->Time.now();
  this->Listable = true;
  After = Servers->At;
  return true;
}

/// With `Guard` held. The entry of this router's earlier process, which has the
/// same address, is kept under its lease: one renewal in place of a new lease
/// and a new entry.
void FleetFeed::adoptLease(const StoredRouters &Listed) {
  if (std::exchange(this->LeaseSought, true))
    return;
  for (const StoredRouter &Each : Listed.Routers)
    if (Each.Name == this->Chosen.RouterName &&
        Each.Address == this->Chosen.RouterAddress &&
        Each.Capacity == this->Chosen.RouterCapacity)
      this->Lease = Each.Lease;
}

bool FleetFeed::knowsOthers() {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Book.knowsRouterBeside(this->Chosen.RouterName);
}

void FleetFeed::wakeProver() {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->ProverWanted = true;
  }
  this->Woken.notify_all();
}

/// Reads everything and puts it in force. A router that finds no other, as all
/// that start together, lists itself and looks once more: each would else take
/// itself for a relay, and watch and prove for itself at first.
bool FleetFeed::load(FleetSource &Source, Revision &After) {
  this->Counters.Reloads.add();
  if (!this->readLists(Source, After))
    return false;
  if (!this->knowsOthers() && !std::exchange(this->LookedAgain, true)) {
    this->wakeProver();
    if (!this->rest(this->jittered(AlonePause)) ||
        !this->readLists(Source, After))
      return false;
  }
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->Book.noteSeen(After);
    if (!std::exchange(this->Loaded, true))
      this->LoadedAt = this->Time.now();
    this->LoadDue = false;
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
    std::unique_lock<std::mutex> Lock(this->Guard);
    if (this->Stopping || this->LoadDue)
      return;
    this->Woken.wait_for(Lock, RelayProverRound,
                         [this] { return this->Stopping || this->LoadDue; });
  }
}

/// Waits while the prover finds that the store is away: one thread tries, and
/// the other profits. False where the feed stops.
bool FleetFeed::awaitStore() {
  std::unique_lock<std::mutex> Lock(this->Guard);
  while (this->ProofFails && !this->Stopping)
    this->Woken.wait_for(Lock, RelayProverRound);
  return !this->Stopping;
}

void FleetFeed::watch() {
  FleetSource Source = this->MakeSource();
  Revision After = 0;
  Duration Pause = LongestWatchPause;
  Backoff Retry{FirstRetry, LongestRelayRetry};
  const auto WaitToRetry = [this, &Retry] {
    Retry.Longest = this->hasRelay() ? LongestFollowerRetry : LongestRelayRetry;
    return this->rest(this->jittered(Retry.take())) && this->awaitStore();
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
      const std::lock_guard<std::mutex> Lock(this->Guard);
      Current = !this->LoadDue;
      continue;
    }
    After = std::max(After, this->seenRevision());
    const auto Read = Source.Changes(After, WatchWait);
    if (!Read && Read.error().Code == ErrorCode::NotFound) {
      log(LogPart::Platform, LogLevel::Info,
          "history after revision " + std::to_string(After) +
              " is gone; everything is read anew");
      const std::lock_guard<std::mutex> Lock(this->Guard);
      // Stale lists might be older than the history that is left.
      this->StaleLists = MaxStaleLists;
      Current = false;
      continue;
    }
    if (!this->note(StoreCause::Watch, ReadAge::Newest, Read)) {
      if (!WaitToRetry())
        return;
      continue;
    }
    Retry.reset();
    After = std::max(After, Read->At);
    this->takeChanges(*Read);
    if (Read->Changes.empty()) {
      Pause = WatchPause;
      continue;
    }
    if (!this->rest(Pause))
      return;
    Pause = std::min(Pause * 2, LongestWatchPause);
  }
}

void FleetFeed::takeChanges(const FleetChanges &Read) {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    for (const FleetChange &Each : Read.Changes) {
      if (const auto *Unusable = std::get_if<UnusableServer>(&Each))
        this->noteUnusable(*Unusable);
      this->noteRemoved(Each);
      this->Book.take(Each, this->Time.now());
    }
    this->Book.noteSeen(Read.At);
    this->StaleLists = 0;
  }
  // Also where only the revision is new: routers that hear of changes from
  // this one wait for it.
  this->publish();
}

/// Compares what the watch has told with what the store has. With `Guard` held.
/// A waiting call that was cut off without a word looks like a quiet store, for
/// up to its whole wait behind the end of the trouble.
void FleetFeed::noteStoreRevision(Revision StoreAt) {
  const Revision Seen = this->Book.seenRevision();
  const TimePoint Now = this->Time.now();
  if (StoreAt <= Seen || this->relayIsFresh()) {
    this->UnseenAt = 0;
    return;
  }
  if (this->UnseenAt <= Seen) {
    this->UnseenAt = StoreAt;
    this->UnseenSince = Now;
    return;
  }
  this->CatchUpDue = Now - this->UnseenSince >= WatchPatience;
}

/// Reads the changes that the watch ought to have told.
void FleetFeed::catchUp(FleetSource &Source) {
  Revision After = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    if (!std::exchange(this->CatchUpDue, false))
      return;
    After = this->Book.seenRevision();
  }
  const auto Read = Source.Changes(After, Duration::zero());
  if (!Read && Read.error().Code == ErrorCode::NotFound) {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->StaleLists = MaxStaleLists;
    this->LoadDue = this->Loaded;
    return;
  }
  if (this->note(StoreCause::Watch, ReadAge::Newest, Read))
    this->takeChanges(*Read);
}

} // namespace parsleywing
