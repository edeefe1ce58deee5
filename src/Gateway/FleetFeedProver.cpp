#include "Gateway/FleetFeed.h"
#include "Gateway/FleetFeedTimes.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

using namespace internal;

namespace {

/// How old the proof of a router with a relay gets before it reads for itself,
/// as parts of the bounds on revocation and on a configuration.
constexpr double OwnProofPart = 0.4;
constexpr double OwnProofPartOfChange = 0.75;

/// Stale reads of a configuration that a relay has told of, each so long after
/// the last, then ever later, until it is in them or this part of the bound on
/// a configuration is over; then the newest one is read. The store's copies are
/// some 0.1 to 0.2 s behind as a rule.
constexpr Duration StaleAgain = std::chrono::milliseconds(150);
constexpr double StalePartOfChange = 0.2;

/// In an outage that the relays tell of, a router tries for itself once within
/// this time, at random, and then once in each.
constexpr Duration OwnTrySpread = std::chrono::seconds(6);

/// The same until the first proof, without which callers are refused, and for
/// how long: a relay that starts has its role between two looks. With 0.1 s a
/// router served its first caller 0.1 s later behind a restart of all.
constexpr Duration FirstProverRound = std::chrono::milliseconds(10);
constexpr Duration FirstProofTime = std::chrono::seconds(2);

/// How often a router with a relay looks whether it has to read for itself.
constexpr Duration ProverRound = std::chrono::milliseconds(250);

/// Own proofs in a row after which the relay counts as cut off: the first may
/// only be a little earlier than its own, after an outage.
constexpr int ProofsAgainstRelay = 2;

/// How often the whole list of servers is read, against a change that no watch
/// told of.
constexpr Duration CompareInterval = std::chrono::seconds(15);

/// The same at a router that hears of changes from its relay: a second net
/// below the relay's own.
constexpr Duration FollowerCompareInterval = std::chrono::seconds(60);

/// How long this router stays listed after its last renewal, and how often it
/// renews: two may be lost. Others find out within 0.2 s that a router does not
/// answer; its entry only says where to ask.
constexpr Duration LeaseLife = std::chrono::seconds(20);
constexpr Duration RenewInterval = std::chrono::seconds(6);

} // namespace

bool FleetFeed::proveOnce(FleetSource &Source) {
  const TimePoint AskedAt = this->BootClock.now();
  Revision Known = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Known = this->State.configurationRevision();
  }
  const auto Read = Source.Configuration(Known, ReadConsistency::Linearizable);
  const bool Good = this->recordCall(StoreCallCause::Proof,
                                     ReadConsistency::Linearizable, Read);
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->LastProofFailed = !Good;
  }
  if (!Good)
    return false;
  if (*Read)
    this->applyConfiguration(**Read, ReadConsistency::Linearizable);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  // That there is none yet is a proof too.
  if (*Read || Known == 0)
    this->State.recordProof(AskedAt);
  if (*Read) {
    this->checkWatchLag((*Read)->StoreRevision);
    if ((*Read)->StoreRevision > 0)
      this->State.recordListsProof((*Read)->StoreRevision, AskedAt);
  }
  return true;
}

/// Puts a configuration that was read in force where it is new. Not yet proven:
/// a stale read says nothing of what is newest.
void FleetFeed::applyConfiguration(const StoredConfiguration &Read,
                                   ReadConsistency Age) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->State.applyConfiguration(Read))
      return;
    this->applyRelayProof(this->LastStatus);
    if (!this->relayHasNewerConfiguration())
      this->NewerConfigurationSince.reset();
  }
  this->publish();
  this->Counters.ConfigurationsApplied.add();
  log(LogPart::Platform, LogLevel::Info,
      "configuration=" + std::to_string(Read.Configuration->Version) +
          " revision=" + std::to_string(Read.ModRevision) + " source=" +
          (Age == ReadConsistency::AllowStale ? "stale-read" : "read"));
}

/// Reads the configuration that a relay has told of, of a series only the
/// newest.
void FleetFeed::fetchConfiguration(FleetSource &Source) {
  Revision Known = 0;
  ReadConsistency Age = ReadConsistency::AllowStale;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const TimePoint Now = this->BootClock.now();
    if (!this->NewerConfigurationSince || Now < this->NextFetchAt)
      return;
    Known = this->State.configurationRevision();
    if (Now - *this->NewerConfigurationSince >=
        RelayTimes::partOf(this->Settings.Bounds.Configuration,
                           StalePartOfChange))
      Age = ReadConsistency::Linearizable;
    this->NextFetchAt =
        Now + std::max(StaleAgain, Now - *this->NewerConfigurationSince);
  }
  if (this->readConfiguration(Source, Known, Age)) {
    this->publish();
    return;
  }
  const Duration Wait = this->nextProofRetryDelay();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->NextFetchAt = this->BootClock.now() + Wait;
}

/// True where the store answered.
bool FleetFeed::readConfiguration(FleetSource &Source, Revision Known,
                                  ReadConsistency Age) {
  if (Age == ReadConsistency::Linearizable)
    return this->proveOnce(Source);
  const auto Read = Source.Configuration(Known, Age);
  if (!this->recordCall(StoreCallCause::Configuration, Age, Read))
    return false;
  if (*Read)
    this->applyConfiguration(**Read, Age);
  return true;
}

/// The wait behind a read of the configuration that failed.
Duration FleetFeed::nextProofRetryDelay() {
  const bool Follows = this->hasRelay();
  this->ProofRetry.InitialDelay =
      Follows ? InitialFollowerRetryDelay : InitialRetryDelay;
  this->ProofRetry.MaxDelay =
      Follows ? MaxFollowerRetryDelay : MaxRelayRetryDelay;
  return this->jittered(this->ProofRetry.nextDelay());
}

void FleetFeed::compareServers(FleetSource &Source) {
  const auto Read = Source.Servers(ReadConsistency::AllowStale);
  if (!this->recordCall(StoreCallCause::Compare, ReadConsistency::AllowStale,
                        Read))
    return;
  const auto Zones = Source.Evacuations(ReadConsistency::AllowStale);
  const bool Good = this->recordCall(StoreCallCause::Compare,
                                     ReadConsistency::AllowStale, Zones);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->applyServerList(*Read);
  if (Good)
    this->State.applyEvacuations(*Zones, this->BootClock.now());
}

void FleetFeed::maintainRegistration(FleetSource &Source) {
  bool IsLeaving = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    IsLeaving = this->Leaving;
    // A router that is listed is asked for servers and for changes.
    if (!IsLeaving && !this->ListsRead)
      return;
  }
  if (IsLeaving) {
    // A call that fails leaves the entry to its lease.
    if (this->Lease != 0 && Source.Unregister(this->Lease))
      this->Lease = 0;
    return;
  }
  if (this->Lease != 0) {
    this->Counters.Calls.at(StoreCallCause::Renewal)->add();
    this->Counters.CheapCalls.add();
    const auto Renewed = Source.Renew(this->Lease);
    if (Renewed)
      return;
    if (Renewed.error().Code != ErrorCode::NotFound)
      return;
    this->Lease = 0;
  }
  StoredRouter Self;
  Self.Name = this->Settings.RouterName;
  Self.Address = this->Settings.RouterAddress;
  Self.Cores = this->Settings.RouterCores;
  Self.Zone = this->Settings.RouterZone;
  // A lease and an entry.
  this->Counters.Calls.at(StoreCallCause::Registration)->add(2);
  const auto Granted = Source.Register(Self, LeaseLife);
  if (Granted)
    this->Lease = *Granted;
  else
    log(LogPart::Platform, LogLevel::Info,
        "registration failed: " + Granted.error().Message);
}

Duration FleetFeed::proofInterval() const {
  if (!this->hasRelay())
    return this->Times.ProofInterval;
  // Others wait for what it finds.
  if (this->role() == RelayRole::Verifier)
    return this->Times.SuspectProofAge;
  const FleetBounds &Bounds = this->Settings.Bounds;
  const Duration Own =
      std::min(RelayTimes::partOf(Bounds.Revocation, OwnProofPart),
               RelayTimes::partOf(Bounds.Configuration, OwnProofPartOfChange));
  // Not before it is known whether the relays reach the store.
  return std::max(Own, this->Times.MaxProofAge);
}

/// With `Mutex` held. The relays tell of an outage that this router has not
/// noticed, as it makes no calls: entries that lapse now may be back with the
/// store.
void FleetFeed::recordReportedOutage(TimePoint Now) {
  if (!std::exchange(this->StoreReachable, false))
    return;
  this->State.recordStoreReachable(false, Now);
  this->FailedAt = Now;
  log(LogPart::Platform, LogLevel::Warn, "store=lost call=relays");
}

/// Whether a plain read of the configuration is due, to prove that it is the
/// newest one.
bool FleetFeed::isProofDue(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const bool Back = std::exchange(this->StoreRecovered, false);
  // A router that starts hears from its relay, if it has one.
  const bool Waits =
      this->role() != RelayRole::Relay && Now - this->LoadedAt < RelayGrace;
  if (!this->Loaded || Waits || (Now < this->NextProofAt && !Back))
    return false;
  if (Now - this->State.provenAt() < this->proofInterval()) {
    this->OwnAttemptAt.reset();
    return false;
  }
  if (!this->hasRelay() || !this->acceptsOutageReport(Now))
    return true;
  this->recordReportedOutage(Now);
  if (!this->OwnAttemptAt)
    this->OwnAttemptAt = Now + std::chrono::duration_cast<Duration>(
                                   OwnTrySpread * this->randomFraction());
  return Now >= *this->OwnAttemptAt;
}

void FleetFeed::renewProof(FleetSource &Source) {
  if (!this->isProofDue(this->BootClock.now()))
    return;
  if (this->proveOnce(Source)) {
    this->ProofRetry.reset();
    this->publish();
    bool CutOff = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->NextProofAt = TimePoint{};
      CutOff = this->hasRelay() && ++this->OwnProofs >= ProofsAgainstRelay;
      if (CutOff)
        this->OwnProofs = 0;
    }
    if (CutOff && this->Settings.SwitchRelay)
      this->Settings.SwitchRelay();
    return;
  }
  const Duration Wait = this->nextProofRetryDelay();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->NextProofAt = this->BootClock.now() + Wait;
  if (this->OwnAttemptAt)
    this->OwnAttemptAt = this->BootClock.now() + OwnTrySpread;
}

void FleetFeed::runProver() {
  FleetSource Source = this->MakeSource();
  // Content to begin with, at a tenth of the price; what it lacks is told.
  (void)this->readConfiguration(Source, 0, ReadConsistency::AllowStale);
  TimePoint Compared = this->BootClock.now();
  Duration Patience = this->jittered(CompareInterval);
  TimePoint NextRenewal = this->BootClock.now();
  bool WasListable = false;
  do {
    this->fetchConfiguration(Source);
    this->renewProof(Source);
    this->catchUp(Source);
    bool Expired = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      const bool Lost = std::exchange(this->EntryLost, false);
      this->ProverWakeRequested = false;
      if (this->ListsRead != WasListable || Lost ||
          (this->Leaving && this->Lease != 0))
        NextRenewal = this->BootClock.now();
      WasListable = this->ListsRead;
      Expired = this->State.expire(this->BootClock.now());
    }
    if (this->BootClock.now() >= NextRenewal) {
      this->maintainRegistration(Source);
      NextRenewal = this->BootClock.now() + this->jittered(RenewInterval);
    }
    const Duration Longest =
        this->hasRelay() ? FollowerCompareInterval : CompareInterval;
    if (this->BootClock.now() - Compared >= std::max(Patience, Longest)) {
      this->compareServers(Source);
      Compared = this->BootClock.now();
      Patience = this->jittered(Longest);
      Expired = true;
    }
    if (Expired)
      this->publish();
    if (this->changesAreDue())
      this->publishChanges();
  } while (this->sleepUntilWoken(this->proverInterval()));
  if (this->Lease != 0)
    (void)Source.Unregister(this->Lease);
}

Duration FleetFeed::proverInterval() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const bool JustLoaded =
        this->Loaded && this->BootClock.now() - this->LoadedAt < FirstProofTime;
    if (JustLoaded && this->State.provenAt() == TimePoint{})
      return FirstProverRound;
  }
  return this->hasRelay() ? this->jittered(ProverRound) : RelayProverInterval;
}

bool FleetFeed::changesAreDue() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->ChangesPending && this->publishDelay() == Duration::zero();
}

bool FleetFeed::sleepUntilWoken(Duration Wait) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  const TimePoint End = this->BootClock.now() + Wait;
  const auto Wanted = [this] {
    return (this->NewerConfigurationSince &&
            this->NextFetchAt <= this->BootClock.now()) ||
           (this->ChangesPending && this->publishDelay() == Duration::zero()) ||
           this->EntryLost || this->StoreRecovered || this->ProverWakeRequested;
  };
  while (!this->Stopping && !Wanted()) {
    const TimePoint Now = this->BootClock.now();
    TimePoint Until = End;
    if (this->NewerConfigurationSince)
      Until = std::min(Until, this->NextFetchAt);
    if (this->ChangesPending)
      Until = std::min(Until, Now + this->publishDelay());
    if (Until <= Now)
      break;
    this->Wakeup.wait_for(Lock, Until - Now);
  }
  return !this->Stopping;
}

} // namespace parsleywing
