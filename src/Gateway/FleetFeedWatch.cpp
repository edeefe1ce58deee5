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

} // namespace

/// Reads everything. The changes after the first read are asked for next, so
/// that none falls between.
bool FleetFeed::load(FleetSource &Source, Revision &After) {
  this->Counters.Reloads.add();
  const auto Servers = Source.Servers();
  if (!this->note(Servers.has_value(), "servers",
                  Servers ? nullptr : &Servers.error()))
    return false;
  const auto Routers = Source.Routers();
  if (!this->note(Routers.has_value(), "routers",
                  Routers ? nullptr : &Routers.error()))
    return false;
  (void)this->proveOnce(Source);
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->takeList(*Servers);
    this->Book.take(*Routers);
    this->Book.noteSeen(Servers->At);
    this->Loaded = true;
    this->LoadDue = false;
    this->BehindSince.reset();
  }
  After = Servers->At;
  this->publish();
  return true;
}

/// Waits while the relay tells of all changes.
void FleetFeed::followRelay() {
  std::unique_lock<std::mutex> Lock(this->Guard);
  while (!this->Stopping && !this->LoadDue && this->relayIsFresh())
    this->Woken.wait_for(Lock, RelayProverRound,
                         [this] { return this->Stopping || this->LoadDue; });
}

void FleetFeed::watch() {
  FleetSource Source = this->MakeSource();
  Revision After = 0;
  Duration Pause = LongestWatchPause;
  Backoff Retry{FirstRetry, LongestRelayRetry};
  const auto WaitToRetry = [this, &Retry] {
    Retry.Longest = this->hasRelay() ? LongestFollowerRetry : LongestRelayRetry;
    return this->rest(this->jittered(Retry.take()));
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
    if (this->follows()) {
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
      Current = false;
      continue;
    }
    if (!this->note(Read.has_value(), "changes",
                    Read ? nullptr : &Read.error())) {
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
      this->Book.take(Each, this->Time.now());
    }
    this->Book.noteSeen(Read.At);
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
    this->LoadDue = this->Loaded;
    return;
  }
  if (this->note(Read.has_value(), "changes", Read ? nullptr : &Read.error()))
    this->takeChanges(*Read);
}

} // namespace parsleywing
