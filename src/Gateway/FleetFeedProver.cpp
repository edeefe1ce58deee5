#include "Gateway/FleetFeed.h"
#include "Gateway/FleetFeedTimes.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

using namespace internal;

namespace {

/// Age of the proof at which a follower reads the configuration itself, as
/// fractions of the bounds on a revocation and on a configuration.
constexpr double OwnProofFractionOfRevocation = 0.4;
constexpr double OwnProofFractionOfConfiguration = 0.75;

/// Minimum delay between stale reads of a configuration that a relay announced;
/// the delay grows with each read. After this fraction of the bound on a
/// configuration, a linearizable read is used instead. The store's replicas lag
/// by about 0.1 to 0.2 s.
constexpr Duration MinStaleReadInterval = std::chrono::milliseconds(150);
constexpr double StaleReadFractionOfConfiguration = 0.2;

/// Longest delay between the calls of a router that is rejected alone, as a
/// fraction of the bound on a configuration.
constexpr double AloneRetryFractionOfConfiguration = 0.6;

/// In an outage reported by the relays, a router tries the store itself once
/// within this time, chosen at random, and then once per interval.
constexpr Duration OwnAttemptInterval = std::chrono::seconds(6);

/// How often the prover runs before the first proof, without which callers are
/// refused, and for how long. A starting relay gets its role between two runs,
/// so a longer interval delays its first caller.
constexpr Duration FirstProverInterval = std::chrono::milliseconds(10);
constexpr Duration FirstProofPeriod = std::chrono::seconds(2);

/// How often a router with a relay checks whether to read the store itself.
constexpr Duration FollowerProverInterval = std::chrono::milliseconds(250);

/// Number of own proofs in a row after which the relay counts as disconnected
/// from the store. After an outage, one own proof may just have been earlier
/// than the relay's.
constexpr int OwnProofsBeforeSwitch = 2;

/// How often the complete list of servers is read, to find changes that no
/// watch reported.
constexpr Duration CompareInterval = std::chrono::seconds(15);

/// The same for a router with a relay, in addition to the relay's own reads.
constexpr Duration FollowerCompareInterval = std::chrono::seconds(60);

/// The time to live of this router's entry, and how often it is renewed: two
/// renewals may be lost. Other routers detect within 0.2 s that a router does
/// not answer, so the entry only has to provide its address.
constexpr Duration LeaseTtl = std::chrono::seconds(20);
constexpr Duration RenewInterval = std::chrono::seconds(6);

} // namespace

bool FleetFeed::proveOnce(FleetSource &Source) {
  const StoreCall Call =
      this->startCall(StoreCallPurpose::Proof, ReadConsistency::Linearizable);
  Revision Known = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Known = this->State.configurationRevision();
  }
  const auto Outcome =
      Source.Configuration(Known, ReadConsistency::Linearizable);
  const bool Succeeded = this->recordCall(Call, Outcome);
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->LastProofFailed = !Succeeded;
  }
  if (!Succeeded)
    return false;
  if (*Outcome)
    this->applyConfiguration(**Outcome, ReadConsistency::Linearizable);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  // The absence of a configuration is proven as well.
  if (*Outcome || Known == 0)
    this->State.recordProof(Call.SentAt);
  if (*Outcome) {
    this->checkWatchLag((*Outcome)->StoreRevision);
    if ((*Outcome)->StoreRevision > 0)
      this->State.recordListsProof((*Outcome)->StoreRevision, Call.SentAt);
  }
  return true;
}

/// Activates a configuration if it is new. It is not proven yet, since a stale
/// read does not show which configuration is the newest.
void FleetFeed::applyConfiguration(const StoredConfiguration &Stored,
                                   ReadConsistency Consistency) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->State.applyConfiguration(Stored))
      return;
    this->applyRelayProof(this->LastStatus);
    if (!this->relayHasNewerConfiguration())
      this->NewerConfigurationSince.reset();
  }
  this->publish();
  this->Counters.ConfigurationsApplied.add();
  log(LogPart::Platform, LogLevel::Info,
      "configuration=" + std::to_string(Stored.Configuration->Version) +
          " revision=" + std::to_string(Stored.ModRevision) + " source=" +
          (Consistency == ReadConsistency::AllowStale ? "stale-read" : "read"));
}

/// Reads a newer configuration that a relay announced. Of several in a short
/// time, only the newest is read.
void FleetFeed::readAnnouncedConfiguration(FleetSource &Source) {
  Revision Known = 0;
  ReadConsistency Consistency = ReadConsistency::AllowStale;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const TimePoint Now = this->BootClock.now();
    if (!this->NewerConfigurationSince || Now < this->NextConfigurationReadAt)
      return;
    Known = this->State.configurationRevision();
    if (Now - *this->NewerConfigurationSince >=
        RelayTimes::fractionOf(this->Settings.Bounds.Configuration,
                               StaleReadFractionOfConfiguration))
      Consistency = ReadConsistency::Linearizable;
    this->NextConfigurationReadAt =
        Now +
        std::max(MinStaleReadInterval, Now - *this->NewerConfigurationSince);
  }
  if (this->readConfiguration(Source, Known, Consistency)) {
    this->publish();
    return;
  }
  const Duration Delay = this->nextProofRetryDelay();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->NextConfigurationReadAt = this->BootClock.now() + Delay;
  // A proof reads the same.
  this->NextProofAt =
      std::max(this->NextProofAt, this->NextConfigurationReadAt);
}

/// Returns whether the store answered.
bool FleetFeed::readConfiguration(FleetSource &Source, Revision Known,
                                  ReadConsistency Consistency) {
  if (Consistency == ReadConsistency::Linearizable)
    return this->proveOnce(Source);
  const StoreCall Call =
      this->startCall(StoreCallPurpose::Configuration, Consistency);
  const auto Outcome = Source.Configuration(Known, Consistency);
  if (!this->recordCall(Call, Outcome))
    return false;
  if (*Outcome)
    this->applyConfiguration(**Outcome, Consistency);
  return true;
}

/// The delay after a failed read of the configuration.
Duration FleetFeed::nextProofRetryDelay() {
  const bool IsFollower = this->hasRelay();
  this->ProofRetry.InitialDelay =
      IsFollower ? InitialFollowerRetryDelay : InitialRetryDelay;
  this->ProofRetry.MaxDelay =
      IsFollower ? MaxFollowerRetryDelay : MaxRelayRetryDelay;
  {
    // The store is up, and no relay's word tells when it serves this router
    // again.
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->FailedAlone)
      this->ProofRetry.MaxDelay =
          std::min(this->ProofRetry.MaxDelay,
                   RelayTimes::fractionOf(this->Settings.Bounds.Configuration,
                                          AloneRetryFractionOfConfiguration));
  }
  return this->jittered(this->ProofRetry.nextDelay());
}

void FleetFeed::compareServers(FleetSource &Source) {
  const StoreCall ServersCall =
      this->startCall(StoreCallPurpose::Compare, ReadConsistency::AllowStale);
  const auto Servers = Source.Servers(ReadConsistency::AllowStale);
  if (!this->recordCall(ServersCall, Servers))
    return;
  const StoreCall ZonesCall =
      this->startCall(StoreCallPurpose::Compare, ReadConsistency::AllowStale);
  const auto Zones = Source.Evacuations(ReadConsistency::AllowStale);
  const bool ZonesRead = this->recordCall(ZonesCall, Zones);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->reportInvalidEntries(*Servers);
  this->State.applyServers(*Servers, this->BootClock.now());
  if (ZonesRead)
    this->State.applyEvacuations(*Zones, this->BootClock.now());
}

void FleetFeed::maintainRegistration(FleetSource &Source) {
  bool IsLeaving = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    IsLeaving = this->Leaving;
    // Other routers send requests to a listed router, so it must know the
    // fleet.
    if (!IsLeaving && !this->ListsRead)
      return;
  }
  if (IsLeaving) {
    // If the call fails, the entry expires with its lease.
    if (this->Lease != 0 && Source.Unregister(this->Lease))
      this->Lease = 0;
    return;
  }
  if (this->Lease != 0) {
    this->Counters.Calls.at(StoreCallPurpose::Renewal)->add();
    this->Counters.CheapCalls.add();
    const auto Renewal = Source.Renew(this->Lease);
    if (Renewal)
      return;
    if (Renewal.error().Code != ErrorCode::NotFound)
      return;
    this->Lease = 0;
  }
  StoredRouter Self;
  Self.Name = this->Settings.RouterName;
  Self.Address = this->Settings.RouterAddress;
  Self.Cores = this->Settings.RouterCores;
  Self.Zone = this->Settings.RouterZone;
  // One call for the lease and one for the entry.
  this->Counters.Calls.at(StoreCallPurpose::Registration)->add(2);
  const auto Registration = Source.Register(Self, LeaseTtl);
  if (Registration)
    this->Lease = *Registration;
  else
    log(LogPart::Platform, LogLevel::Info,
        "registration failed: " + Registration.error().Message);
}

Duration FleetFeed::proofInterval() const {
  if (!this->hasRelay())
    return this->Times.ProofInterval;
  // Other routers wait for a verifier's result.
  if (this->role() == RelayRole::Verifier)
    return this->Times.OldProofAge;
  const FleetBounds &Bounds = this->Settings.Bounds;
  const Duration Own = std::min(
      RelayTimes::fractionOf(Bounds.Revocation, OwnProofFractionOfRevocation),
      RelayTimes::fractionOf(Bounds.Configuration,
                             OwnProofFractionOfConfiguration));
  // At that age it is known whether the relays reach the store.
  return std::max(Own, this->Times.MaxProofAge);
}

/// Records an outage that the relays report and that this router has not
/// detected since it makes no calls. Entries that lapse from now on may return
/// when the store recovers. Requires `Mutex` to be held.
void FleetFeed::recordReportedOutage(TimePoint Now) {
  if (!std::exchange(this->StoreReachable, false))
    return;
  this->State.recordStoreReachable(false, Now);
  this->FailedAt = Now;
  log(LogPart::Platform, LogLevel::Warn, "store=lost call=relays");
}

/// Whether a linearizable read of the configuration is due, to prove that it is
/// the newest one.
bool FleetFeed::isProofDue(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const bool Recovered = std::exchange(this->StoreRecovered, false);
  // A starting router waits for the first status of its relay, if it has one.
  const bool AwaitsRelay =
      this->role() != RelayRole::Relay && Now - this->LoadedAt < RelayGrace;
  if (!this->Loaded || AwaitsRelay || (Now < this->NextProofAt && !Recovered))
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
                                   OwnAttemptInterval * this->randomFraction());
  return Now >= *this->OwnAttemptAt;
}

void FleetFeed::renewProof(FleetSource &Source) {
  if (!this->isProofDue(this->BootClock.now()))
    return;
  if (this->proveOnce(Source)) {
    this->ProofRetry.reset();
    this->publish();
    bool RelayIsDisconnected = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->NextProofAt = TimePoint{};
      RelayIsDisconnected =
          this->hasRelay() && ++this->OwnProofs >= OwnProofsBeforeSwitch;
      if (RelayIsDisconnected)
        this->OwnProofs = 0;
    }
    if (RelayIsDisconnected && this->Settings.SwitchRelay)
      this->Settings.SwitchRelay();
    return;
  }
  Duration Delay = this->nextProofRetryDelay();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  // The store has answered meanwhile.
  if (this->StoreReachable)
    Delay = std::min(Delay, InitialRetryDelay);
  this->NextProofAt = this->BootClock.now() + Delay;
  this->NextConfigurationReadAt =
      std::max(this->NextConfigurationReadAt, this->NextProofAt);
  if (this->OwnAttemptAt)
    this->OwnAttemptAt = this->BootClock.now() + OwnAttemptInterval;
}

void FleetFeed::runProver() {
  FleetSource Source = this->MakeSource();
  // A stale read first, at a tenth of the price. The relay or the watch reports
  // what it lacks.
  (void)this->readConfiguration(Source, 0, ReadConsistency::AllowStale);
  TimePoint ComparedAt = this->BootClock.now();
  Duration NextCompareInterval = this->jittered(CompareInterval);
  TimePoint NextRenewalAt = this->BootClock.now();
  bool ListsWereRead = false;
  do {
    this->readAnnouncedConfiguration(Source);
    this->renewProof(Source);
    this->catchUp(Source);
    bool HasChanges = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      const bool LostEntry = std::exchange(this->EntryLost, false);
      this->ProverWakeRequested = false;
      if (this->ListsRead != ListsWereRead || LostEntry ||
          (this->Leaving && this->Lease != 0))
        NextRenewalAt = this->BootClock.now();
      ListsWereRead = this->ListsRead;
      HasChanges = this->State.expire(this->BootClock.now());
    }
    if (this->BootClock.now() >= NextRenewalAt) {
      this->maintainRegistration(Source);
      NextRenewalAt = this->BootClock.now() + this->jittered(RenewInterval);
    }
    const Duration MinCompareInterval =
        this->hasRelay() ? FollowerCompareInterval : CompareInterval;
    if (this->BootClock.now() - ComparedAt >=
        std::max(NextCompareInterval, MinCompareInterval)) {
      this->compareServers(Source);
      ComparedAt = this->BootClock.now();
      NextCompareInterval = this->jittered(MinCompareInterval);
      HasChanges = true;
    }
    if (HasChanges)
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
        this->Loaded &&
        this->BootClock.now() - this->LoadedAt < FirstProofPeriod;
    if (JustLoaded && this->State.provenAt() == TimePoint{})
      return FirstProverInterval;
  }
  return this->hasRelay() ? this->jittered(FollowerProverInterval)
                          : RelayProverInterval;
}

bool FleetFeed::changesAreDue() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->ChangesPending && this->publishDelay() == Duration::zero();
}

bool FleetFeed::sleepUntilWoken(Duration Wait) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  const TimePoint End = this->BootClock.now() + Wait;
  const auto HasWork = [this] {
    return (this->NewerConfigurationSince &&
            this->NextConfigurationReadAt <= this->BootClock.now()) ||
           (this->ChangesPending && this->publishDelay() == Duration::zero()) ||
           this->State.nextExpiry() <= this->BootClock.now() ||
           this->mustCatchUp(this->BootClock.now()) || this->EntryLost ||
           this->StoreRecovered || this->ProverWakeRequested;
  };
  while (!this->Stopping && !HasWork()) {
    const TimePoint Now = this->BootClock.now();
    TimePoint Until = std::min(End, this->State.nextExpiry());
    if (const auto DueAt = this->listsReadDueAt(Now))
      Until = std::min(Until, *DueAt);
    if (this->NewerConfigurationSince)
      Until = std::min(Until, this->NextConfigurationReadAt);
    if (this->ChangesPending)
      Until = std::min(Until, Now + this->publishDelay());
    if (Until <= Now)
      break;
    this->Wakeup.wait_for(Lock, Until - Now);
  }
  return !this->Stopping;
}

} // namespace parsleywing
