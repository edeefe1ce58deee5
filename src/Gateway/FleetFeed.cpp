#include "Gateway/FleetFeed.h"

#include "Gateway/FleetFeedTimes.h"
#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

using namespace internal;

namespace {

/// How long the relay may know changes that it has not told before everything
/// is read: two more of its answers.
constexpr Duration BehindPatience = std::chrono::milliseconds(600);

/// From a word of a new configuration to the first stale read of it.
constexpr Duration StaleLag = std::chrono::milliseconds(120);

/// The least time between two views with new lists, for each server in them. An
/// estimate, not measured: a view takes some 2 microseconds a server, eight
/// times that on a VM of 0.12 cores, and a third of its time may go there. The
/// changes of a lost zone come in hundreds of messages.
constexpr Duration PublishTime = std::chrono::microseconds(50);

/// Unusable entries whose logging is remembered.
constexpr std::size_t MaxUnusableKept = 1024;

} // namespace

FleetFeedCounters::FleetFeedCounters(Metrics &Into)
    : CheapCalls(Into.counter(
          {"fleet_store_cheap_calls_total",
           "Of the calls, stale reads and renewals: a tenth of the price.",
           ""})),
      FailedCalls(Into.counter(
          {"fleet_store_failures_total", "Such calls that failed.", ""})),
      Reloads(Into.counter(
          {"fleet_reloads_total", "Times that everything was read anew.", ""})),
      UnusableEntries(
          Into.counter({"fleet_unusable_entries_total",
                        "Entries of servers that could not be read.", ""})),
      ConfigurationsApplied(Into.counter(
          {"configurations_taken_total", "Versions that came in force.", ""})) {
  for (const auto &[Cause, Name] : StoreCallCauseNames)
    this->Calls[Cause] = &Into.counter(
        {"fleet_store_calls_total", "Calls on the store, by what they are for.",
         "cause=\"" + std::string(Name) + "\""});
}

FleetFeed::FleetFeed(Options O, std::function<FleetSource()> NewSource,
                     Metrics &Into, ViewCallback R)
    : Settings(std::move(O)), Times(RelayTimes::of(this->Settings.Bounds)),
      MakeSource(std::move(NewSource)), Counters(Into), OnView(std::move(R)),
      Relays(this->Times),
      Random(this->Settings.Seed), ProofRetry{InitialRetryDelay,
                                              MaxRelayRetryDelay} {
  this->Watcher = std::thread([this] { this->runWatcher(); });
  this->Prover = std::thread([this] { this->runProver(); });
}

FleetFeed::~FleetFeed() {
  this->stop();
  this->Watcher.join();
  this->Prover.join();
}

void FleetFeed::stop() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Wakeup.notify_all();
}

void FleetFeed::leave() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Leaving = true;
  }
  this->Wakeup.notify_all();
}

bool FleetFeed::stopping() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Stopping;
}

bool FleetFeed::sleepUnlessStopped(Duration Wait) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Wakeup.wait_for(Lock, Wait, [this] { return this->Stopping; });
  return !this->Stopping;
}

Duration FleetFeed::jittered(Duration Whole) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::uniform_real_distribution<double> Part(0.8, 1.2);
  return std::chrono::duration_cast<Duration>(Whole * Part(this->Random));
}

double FleetFeed::randomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(this->Random);
}

bool FleetFeed::recordCall(StoreCallCause Call, ReadConsistency Age,
                           const Error *Problem) {
  const bool Good = Problem == nullptr;
  this->Counters.Calls.at(Call)->add();
  if (Age == ReadConsistency::AllowStale || Call == StoreCallCause::Renewal)
    this->Counters.CheapCalls.add();
  const TimePoint Now = this->BootClock.now();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  // While the relays reach the store, this router alone is turned away: what
  // they tell of it holds, and there is no outage whose end could be awaited.
  const bool Alone = !Good && this->relayIsFresh();
  if (!Alone)
    this->State.recordStoreReachable(Good, Now);
  if (!Good) {
    this->Counters.FailedCalls.add();
    this->FailedAt = Now;
    this->FailedAlone = Alone;
  }
  if (Good != this->StoreReachable) {
    this->StoreReachable = Good;
    const std::string Name(nameOf(StoreCallCauseNames, Call));
    log(LogPart::Platform, Good ? LogLevel::Info : LogLevel::Warn,
        Good ? "store=regained call=" + Name
             : "store=lost call=" + Name + " problem=" + Problem->Message);
  }
  return Good;
}

void FleetFeed::publish() {
  // Three threads publish; an older view must not come after a newer one.
  const std::lock_guard<std::mutex> Order(this->PublishMutex);
  std::shared_ptr<const FleetView> View;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    // A view without its lists would look like a fleet without others.
    if (!this->Loaded)
      return;
    View = std::make_shared<FleetView>(this->State.view());
  }
  this->OnView(View);
}

Duration FleetFeed::publishDelay() {
  const Duration Least =
      PublishTime * static_cast<int>(this->State.serverCount());
  const Duration Gone = this->BootClock.now() - this->ChangesPublishedAt;
  return std::max(Least - Gone, Duration::zero());
}

void FleetFeed::publishChanges() {
  bool Later = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Later = this->publishDelay() > Duration::zero();
    this->ChangesPending = Later;
    if (!Later)
      this->ChangesPublishedAt = this->BootClock.now();
  }
  // The prover does it in time.
  if (Later)
    this->Wakeup.notify_all();
  else
    this->publish();
}

/// With `Mutex` held. Once for each writing: lists show it again and again.
void FleetFeed::reportUnusable(const UnusableServer &Written) {
  Revision &Logged = this->ReportedUnusable[Written.Id];
  if (Logged >= Written.ModRevision)
    return;
  Logged = Written.ModRevision;
  this->Counters.UnusableEntries.add();
  log(LogPart::Platform, LogLevel::Warn,
      "server=" + Written.Id +
          " revision=" + std::to_string(Written.ModRevision) +
          " entry cannot be used and names no server: " + Written.Reason);
  if (this->ReportedUnusable.size() > MaxUnusableKept)
    this->ReportedUnusable.erase(this->ReportedUnusable.begin());
}

/// With `Mutex` held. The end of the lease of this router's earlier process may
/// come late, when this one has taken the lease over.
void FleetFeed::checkOwnRemoval(const FleetChange &Change) {
  const auto *Gone = std::get_if<RemovedRouter>(&Change);
  if (Gone != nullptr && Gone->Name == this->Settings.RouterName)
    this->EntryLost = true;
}

/// With `Mutex` held.
void FleetFeed::applyServerList(const StoredServers &Read) {
  for (const UnusableServer &Each : Read.Unusable)
    this->reportUnusable(Each);
  this->State.applyServers(Read, this->BootClock.now());
}

RelayRole FleetFeed::role() const {
  return this->Settings.Role ? this->Settings.Role() : RelayRole::Relay;
}

/// With `Mutex` held.
bool FleetFeed::relayIsFresh() const {
  return this->hasRelay() && this->Relays.isFresh(this->BootClock.now());
}

/// With `Mutex` held. The relays say that the store is away, and that is enough
/// for this router.
bool FleetFeed::acceptsOutageReport(TimePoint Now) const {
  return this->role() != RelayRole::Verifier &&
         this->Relays.storeSeemsUnreachable(Now);
}

/// Another router reads the changes for this one, or is about to, or tells that
/// it cannot. An own proof that is newer than the relays' shows that they are
/// cut off, and this router is not.
bool FleetFeed::reliesOnRelays() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const TimePoint Now = this->BootClock.now();
  if (this->role() == RelayRole::Unknown)
    return Now - this->LoadedAt < RelayGrace;
  if (!this->hasRelay())
    return false;
  if (this->Relays.isFresh(Now) || Now - this->LoadedAt < RelayGrace)
    return true;
  return this->acceptsOutageReport(Now) &&
         this->State.provenAt() <= this->Relays.provenAt();
}

Revision FleetFeed::seenRevision() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->State.seenRevision();
}

void FleetFeed::onRelayMessage(const RelayMessage &Told) {
  std::visit([this](const auto &Each) { this->apply(Each); }, Told);
}

/// With `Mutex` held. A proof holds for one revision of the configuration only.
void FleetFeed::applyRelayProof(const RelayStatus &Word) {
  if (Word.ConfigurationRevision != this->State.configurationRevision() ||
      Word.ProvenAt <= this->State.provenAt())
    return;
  this->State.recordProof(Word.ProvenAt);
  this->OwnProofs = 0;
}

void FleetFeed::apply(const RelayStatus &Word) {
  bool Proven = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const TimePoint Now = this->BootClock.now();
    const TimePoint Before = this->State.provenAt();
    this->Relays.recordStatus(Word, Now);
    if (Word.ProvenAt >= this->LastStatus.ProvenAt)
      this->LastStatus = Word;
    this->applyRelayProof(Word);
    this->State.recordListsProof(Word.SeenRevision, Word.ListsProvenAt);
    Proven = this->State.provenAt() > Before;
    if (!this->relayHasNewerConfiguration())
      this->NewerConfigurationSince.reset();
    else if (!this->NewerConfigurationSince)
      this->scheduleFetch(Now);
    // Routers that waited on as in the outage would refuse keys for up to 4 s
    // more where the configuration has changed meanwhile.
    const bool BehindFailure = Word.ProvenAt > this->FailedAt;
    this->StoreRecovered = BehindFailure && !this->FailedAlone;
    if (BehindFailure)
      this->LastProofFailed = false;
    if (BehindFailure && !this->StoreReachable) {
      this->StoreReachable = true;
      // From here on an entry that vanishes is no longer one that may have
      // lapsed while the store was away.
      this->State.recordStoreReachable(true, Now);
      log(LogPart::Platform, LogLevel::Info, "store=regained call=relay");
    }
    if (Word.IsOwnRelay)
      this->checkBehindRelay(Word);
  }
  this->Wakeup.notify_all();
  if (Proven)
    this->publish();
}

/// With `Mutex` held. The store's copies have it a moment later.
void FleetFeed::scheduleFetch(TimePoint Now) {
  this->NewerConfigurationSince = Now;
  this->NextFetchAt = Now + StaleLag;
}

/// With `Mutex` held. What the relay cannot tell is read.
void FleetFeed::checkBehindRelay(const RelayStatus &Word) {
  const Revision Seen = this->State.seenRevision();
  const TimePoint Now = this->BootClock.now();
  if (Word.SeenRevision <= Seen) {
    this->BehindSince.reset();
    this->StaleListReads = 0;
    return;
  }
  if (!this->BehindSince)
    this->BehindSince = Now;
  const bool Late = Now - *this->BehindSince > BehindPatience;
  if (this->Loaded && (Late || Word.CompactRevision > Seen))
    this->ReloadDue = true;
}

/// With `Mutex` held.
bool FleetFeed::relayHasNewerConfiguration() const {
  return this->LastStatus.ConfigurationRevision >
         this->State.configurationRevision();
}

void FleetFeed::apply(const RelayUpdate &News) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const Revision Seen = this->State.seenRevision();
    // Changes before these were lost on their way and come again.
    if (!this->Loaded || News.AfterRevision > Seen || News.ToRevision <= Seen)
      return;
    for (const FleetChange &Each : News.Changes) {
      this->checkOwnRemoval(Each);
      this->State.applyChange(Each, this->BootClock.now());
    }
    this->State.recordSeenRevision(News.ToRevision);
  }
  this->publishChanges();
}

} // namespace parsleywing
