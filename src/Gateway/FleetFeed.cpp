#include "Gateway/FleetFeed.h"

#include "Gateway/FleetFeedTimes.h"
#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

using namespace internal;

namespace {

/// How long changes that the relay has may be missing before all lists are
/// reloaded. Covers two more status messages of the relay.
constexpr Duration MaxTimeBehind = std::chrono::milliseconds(600);

/// Delay before the first stale read of a configuration that a relay announced.
/// The store's replicas lag by about 0.1 to 0.2 s.
constexpr Duration FirstStaleReadDelay = std::chrono::milliseconds(120);

/// Minimum time between two views with new lists, per server. A view takes
/// about 2 microseconds per server, eight times that on a VM of 0.12 cores, and
/// may use a third of the router's time. The changes of a lost zone arrive in
/// hundreds of messages.
constexpr Duration PublishIntervalPerServer = std::chrono::microseconds(50);

/// Number of invalid entries to remember, so that each is logged once.
constexpr std::size_t MaxReportedInvalid = 1024;

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
      InvalidEntries(
          Into.counter({"fleet_unusable_entries_total",
                        "Entries of servers that could not be read.", ""})),
      ConfigurationsApplied(Into.counter(
          {"configurations_taken_total", "Versions that came in force.", ""})) {
  for (const auto &[Purpose, Name] : StoreCallPurposeNames)
    this->Calls[Purpose] = &Into.counter(
        {"fleet_store_calls_total", "Calls on the store, by what they are for.",
         "cause=\"" + std::string(Name) + "\""});
}

FleetFeed::FleetFeed(Options O, std::function<FleetSource()> NewSource,
                     Metrics &Into, ViewCallback OnNewView)
    : Settings(std::move(O)), Times(RelayTimes::of(this->Settings.Bounds)),
      MakeSource(std::move(NewSource)), Counters(Into),
      OnView(std::move(OnNewView)), Relays(this->Times),
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
    this->endWatch();
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
  std::uniform_real_distribution<double> Factor(0.8, 1.2);
  return std::chrono::duration_cast<Duration>(Whole * Factor(this->Random));
}

double FleetFeed::randomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(this->Random);
}

bool FleetFeed::recordCall(const StoreCall &Call, const Error *Problem) {
  const bool Succeeded = Problem == nullptr;
  this->Counters.Calls.at(Call.Purpose)->add();
  if (Call.Consistency == ReadConsistency::AllowStale ||
      Call.Purpose == StoreCallPurpose::Renewal)
    this->Counters.CheapCalls.add();
  const std::string Name(nameOf(StoreCallPurposeNames, Call.Purpose));
  const TimePoint Now = this->BootClock.now();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  // A call whose connection was lost fails some time after it was sent, a watch
  // after seconds. If the store has answered in between, that is no outage.
  if (!Succeeded && Call.SentAt < this->AnsweredAt) {
    this->Counters.FailedCalls.add();
    log(LogPart::Platform, LogLevel::Info,
        "call=" + Name + " failed though the store has answered meanwhile: " +
            Problem->Message);
    return false;
  }
  if (Succeeded)
    this->AnsweredAt = Now;
  // If the relays reach the store, only this router is rejected. There is no
  // outage, and the relays' messages remain valid.
  const bool Alone = !Succeeded && this->relayIsFresh();
  if (!Alone)
    this->State.recordStoreReachable(Succeeded, Now);
  if (!Succeeded) {
    this->Counters.FailedCalls.add();
    this->FailedAt = Now;
    this->FailedAlone = Alone;
  }
  if (Succeeded != this->StoreReachable) {
    this->StoreReachable = Succeeded;
    if (Succeeded)
      this->recordRecovery();
    log(LogPart::Platform, Succeeded ? LogLevel::Info : LogLevel::Warn,
        (Succeeded
             ? "store=regained call=" + Name
             : "store=lost call=" + Name + " problem=" + Problem->Message) +
            this->listsText(Now));
  }
  return Succeeded;
}

/// How old the lists are, for log lines. Requires `Mutex` to be held.
std::string FleetFeed::listsText(TimePoint Now) const {
  const TimePoint ProvenAt = this->State.listsProvenAt();
  return " lists-revision=" + std::to_string(this->State.seenRevision()) +
         " lists-age=" +
         (ProvenAt == TimePoint{} ? "-" : secondsText(Now - ProvenAt));
}

void FleetFeed::publish() {
  // Three threads publish, and an older view must not follow a newer one.
  const std::lock_guard<std::mutex> Order(this->PublishMutex);
  std::shared_ptr<const FleetView> View;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    // A view without lists would look like a fleet without other routers.
    if (!this->Loaded)
      return;
    View = std::make_shared<FleetView>(this->State.view());
  }
  this->OnView(View);
}

Duration FleetFeed::publishDelay() {
  const Duration MinInterval =
      PublishIntervalPerServer * static_cast<int>(this->State.serverCount());
  const Duration Elapsed = this->BootClock.now() - this->ChangesPublishedAt;
  return std::max(MinInterval - Elapsed, Duration::zero());
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
  // The prover publishes the changes when they are due.
  if (Later)
    this->Wakeup.notify_all();
  else
    this->publish();
}

/// Logs each revision of an entry once, since lists repeat it. Requires `Mutex`
/// to be held.
void FleetFeed::reportInvalidEntry(const InvalidServerEntry &Entry) {
  Revision &LastLogged = this->ReportedInvalid[Entry.Id];
  if (LastLogged >= Entry.ModRevision)
    return;
  LastLogged = Entry.ModRevision;
  this->Counters.InvalidEntries.add();
  log(LogPart::Platform, LogLevel::Warn,
      "server=" + Entry.Id + " revision=" + std::to_string(Entry.ModRevision) +
          " entry cannot be used, so the server is not listed: " +
          Entry.Reason);
  if (this->ReportedInvalid.size() > MaxReportedInvalid)
    this->ReportedInvalid.erase(this->ReportedInvalid.begin());
}

/// Detects the removal of this router's own entry: an earlier process of this
/// router may end its lease late, after this one has adopted it. Requires
/// `Mutex` to be held.
void FleetFeed::checkOwnRemoval(const FleetChange &Change) {
  const auto *Removed = std::get_if<RemovedRouter>(&Change);
  if (Removed != nullptr && Removed->Name == this->Settings.RouterName)
    this->EntryLost = true;
}

/// Requires `Mutex` to be held.
void FleetFeed::reportInvalidEntries(const StoredServers &List) {
  for (const InvalidServerEntry &Each : List.Invalid)
    this->reportInvalidEntry(Each);
}

RelayRole FleetFeed::role() const {
  return this->Settings.Role ? this->Settings.Role() : RelayRole::Relay;
}

/// Requires `Mutex` to be held.
bool FleetFeed::relayIsFresh() const {
  return this->hasRelay() && this->Relays.isFresh(this->BootClock.now());
}

/// Whether the relays report that the store is unreachable and this router does
/// not have to verify that. Requires `Mutex` to be held.
bool FleetFeed::acceptsOutageReport(TimePoint Now) const {
  return this->role() != RelayRole::Verifier &&
         this->Relays.storeSeemsUnreachable(Now);
}

/// Whether a relay reads the changes for this router, is about to, or reports
/// that it cannot. If this router's own proof is newer than the relays', they
/// are disconnected from the store and this router is not.
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

void FleetFeed::onRelayMessage(const RelayMessage &Message) {
  std::visit([this](const auto &Each) { this->apply(Each); }, Message);
}

/// A proof is valid for one revision of the configuration only. Requires
/// `Mutex` to be held.
void FleetFeed::applyRelayProof(const RelayStatus &Status) {
  if (Status.ConfigurationRevision != this->State.configurationRevision() ||
      Status.ProvenAt <= this->State.provenAt())
    return;
  this->State.recordProof(Status.ProvenAt);
  this->OwnProofs = 0;
}

void FleetFeed::apply(const RelayStatus &Status) {
  bool Proven = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const TimePoint Now = this->BootClock.now();
    const TimePoint Before = this->State.provenAt();
    this->Relays.recordStatus(Status, Now);
    if (Status.ProvenAt >= this->LastStatus.ProvenAt)
      this->LastStatus = Status;
    this->applyRelayProof(Status);
    this->State.recordListsProof(Status.SeenRevision, Status.ListsProvenAt);
    Proven = this->State.provenAt() > Before;
    if (!this->relayHasNewerConfiguration())
      this->NewerConfigurationSince.reset();
    else if (!this->NewerConfigurationSince)
      this->scheduleConfigurationRead(Now);
    // Ends the backoff of the outage. Otherwise routers would refuse keys for
    // up to 4 s more if the configuration has changed in the meantime.
    const bool ProvenAfterFailure = Status.ProvenAt > this->FailedAt;
    this->StoreRecovered = ProvenAfterFailure && !this->FailedAlone;
    if (ProvenAfterFailure)
      this->LastProofFailed = false;
    if (ProvenAfterFailure && !this->StoreReachable) {
      this->StoreReachable = true;
      // If this router alone was rejected, relays say nothing of its own calls.
      if (!this->FailedAlone)
        this->recordRecovery();
      // Ends the outage, so that vanished entries soon count as removed again.
      this->State.recordStoreReachable(true, Now);
      log(LogPart::Platform, LogLevel::Info, "store=regained call=relay");
    }
    if (Status.IsCurrentRelay) {
      this->checkHistoryOfRelay(Status);
      this->checkBehindRelay(Status);
    }
  }
  this->Wakeup.notify_all();
  if (Proven)
    this->publish();
}

/// Schedules the read of a newer configuration at a time when the store's
/// replicas should have it. Requires `Mutex` to be held.
void FleetFeed::scheduleConfigurationRead(TimePoint Now) {
  this->NewerConfigurationSince = Now;
  this->NextConfigurationReadAt = Now + FirstStaleReadDelay;
}

/// A relay of an earlier release that has read its lists anew does not pass on
/// what it read there. What this router then reads from the store is newer.
/// Requires `Mutex` to be held.
void FleetFeed::checkHistoryOfRelay(const RelayStatus &Status) {
  if (Status.HistoryIsComplete) {
    this->OlderRelay = 0;
    this->OlderHistoryLacksChanges = false;
    return;
  }
  if (this->OlderRelay == Status.SenderHash &&
      this->OlderHistoryBegin == Status.CompactRevision)
    return;
  this->OlderRelay = Status.SenderHash;
  this->OlderHistoryBegin = Status.CompactRevision;
  this->OlderHistoryLacksChanges = true;
}

/// Schedules a reload if the relay cannot send all changes that this router
/// lacks. Requires `Mutex` to be held.
void FleetFeed::checkBehindRelay(const RelayStatus &Status) {
  const Revision Seen = this->State.seenRevision();
  const TimePoint Now = this->BootClock.now();
  if (Status.SeenRevision <= Seen) {
    this->BehindSince.reset();
    this->StaleListReads = 0;
    return;
  }
  if (!this->BehindSince)
    this->BehindSince = Now;
  const bool IsLate = Now - *this->BehindSince > MaxTimeBehind;
  if (this->Loaded && (IsLate || Status.CompactRevision > Seen))
    this->scheduleReload();
}

/// Requires `Mutex` to be held.
void FleetFeed::scheduleReload() {
  this->ReloadDue = true;
  // The watcher reads the lists.
  this->endWatch();
}

/// Ends the wait of calls from before the store's return: a watch that was sent
/// in an outage may have lost its connection, which looks like a store without
/// changes until the call times out. Requires `Mutex` to be held.
void FleetFeed::recordRecovery() {
  ++this->Recoveries;
  this->NextListsReadAt = TimePoint{};
  const TimePoint NextProofAt =
      this->BootClock.now() + std::chrono::duration_cast<Duration>(
                                  InitialRetryDelay * this->randomFraction());
  this->NextProofAt = std::min(this->NextProofAt, NextProofAt);
  this->endWatch();
}

/// Requires `Mutex` to be held.
bool FleetFeed::relayHasNewerConfiguration() const {
  return this->LastStatus.ConfigurationRevision >
         this->State.configurationRevision();
}

/// Requires `Mutex` to be held.
void FleetFeed::applyRelayChanges(const RelayUpdate &Update) {
  const TimePoint Now = this->BootClock.now();
  if (Update.Source == FleetUpdateSource::Lists) {
    this->State.applyDifferences(Update.ToRevision, Update.Changes, Now);
    return;
  }
  for (const FleetChange &Each : Update.Changes)
    this->State.applyChange(Each, Now);
  this->State.recordSeenRevision(Update.ToRevision);
  // Some changes may be missing, so none are passed on to other routers.
  if (Update.Source == FleetUpdateSource::Unknown)
    this->State.forgetHistory();
}

void FleetFeed::apply(const RelayUpdate &Update) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    // If changes before these were lost, all of them are sent again.
    if (!this->Loaded || !Update.appliesTo(this->State.seenRevision()) ||
        (Update.Source == FleetUpdateSource::Unknown &&
         this->OlderHistoryLacksChanges))
      return;
    for (const FleetChange &Each : Update.Changes)
      this->checkOwnRemoval(Each);
    this->applyRelayChanges(Update);
  }
  this->publishChanges();
}

} // namespace parsleywing
