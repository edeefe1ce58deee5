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
  const TimePoint AskedAt = this->Time.now();
  Revision Known = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Known = this->Book.configurationRevision();
  }
  const auto Read = Source.Configuration(Known, ReadAge::Newest);
  const bool Good = this->note(StoreCause::Proof, ReadAge::Newest, Read);
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->ProofFails = !Good;
  }
  if (!Good)
    return false;
  if (*Read)
    this->takeConfiguration(**Read, ReadAge::Newest);
  const std::lock_guard<std::mutex> Lock(this->Guard);
  // That there is none yet is a proof too.
  if (*Read || Known == 0)
    this->Book.prove(AskedAt);
  if (*Read) {
    this->noteStoreRevision((*Read)->StoreAt);
    if ((*Read)->StoreAt > 0)
      this->Book.proveLists((*Read)->StoreAt, AskedAt);
  }
  return true;
}

/// Puts a configuration that was read in force where it is new. Not yet proven:
/// a stale read says nothing of what is newest.
void FleetFeed::takeConfiguration(const StoredConfiguration &Read,
                                  ReadAge Age) {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    if (!this->Book.take(Read))
      return;
    this->proveByWord(this->LastWord);
    if (!this->configurationIsTold())
      this->ToldSince.reset();
  }
  this->publish();
  this->Counters.ConfigurationsTaken.add();
  log(LogPart::Platform, LogLevel::Info,
      "configuration=" + std::to_string(Read.Configuration->Version) +
          " revision=" + std::to_string(Read.At) +
          " source=" + (Age == ReadAge::MayBeStale ? "stale-read" : "read"));
}

/// Reads the configuration that a relay has told of, of a series only the
/// newest.
void FleetFeed::fetchConfiguration(FleetSource &Source) {
  Revision Known = 0;
  ReadAge Age = ReadAge::MayBeStale;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    const TimePoint Now = this->Time.now();
    if (!this->ToldSince || Now < this->NextFetch)
      return;
    Known = this->Book.configurationRevision();
    if (Now - *this->ToldSince >=
        RelayTimes::partOf(this->Chosen.Bounds.Configuration,
                           StalePartOfChange))
      Age = ReadAge::Newest;
    this->NextFetch = Now + std::max(StaleAgain, Now - *this->ToldSince);
  }
  if (this->readConfiguration(Source, Known, Age)) {
    this->publish();
    return;
  }
  const Duration Wait = this->retryWait();
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->NextFetch = this->Time.now() + Wait;
}

/// True where the store answered.
bool FleetFeed::readConfiguration(FleetSource &Source, Revision Known,
                                  ReadAge Age) {
  if (Age == ReadAge::Newest)
    return this->proveOnce(Source);
  const auto Read = Source.Configuration(Known, Age);
  if (!this->note(StoreCause::Configuration, Age, Read))
    return false;
  if (*Read)
    this->takeConfiguration(**Read, Age);
  return true;
}

/// The wait behind a read of the configuration that failed.
Duration FleetFeed::retryWait() {
  const bool Follows = this->hasRelay();
  this->ProofRetry.First = Follows ? FirstFollowerRetry : FirstRetry;
  this->ProofRetry.Longest = Follows ? LongestFollowerRetry : LongestRelayRetry;
  return this->jittered(this->ProofRetry.take());
}

void FleetFeed::compareServers(FleetSource &Source) {
  const auto Read = Source.Servers(ReadAge::MayBeStale);
  if (!this->note(StoreCause::Compare, ReadAge::MayBeStale, Read))
    return;
  const auto Zones = Source.Evacuations(ReadAge::MayBeStale);
  const bool Good = this->note(StoreCause::Compare, ReadAge::MayBeStale, Zones);
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->takeList(*Read);
  if (Good)
    this->Book.take(*Zones, this->Time.now());
}

void FleetFeed::keepRegistered(FleetSource &Source) {
  bool IsLeaving = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    IsLeaving = this->Leaving;
    // A router that is listed is asked for servers and for changes.
    if (!IsLeaving && !this->Listable)
      return;
  }
  if (IsLeaving) {
    // A call that fails leaves the entry to its lease.
    if (this->Lease != 0 && Source.Unregister(this->Lease))
      this->Lease = 0;
    return;
  }
  if (this->Lease != 0) {
    this->Counters.Calls.at(StoreCause::Renewal)->add();
    this->Counters.CheapCalls.add();
    const auto Renewed = Source.Renew(this->Lease);
    if (Renewed)
      return;
    if (Renewed.error().Code != ErrorCode::NotFound)
      return;
    this->Lease = 0;
  }
  StoredRouter Self;
  Self.Name = this->Chosen.RouterName;
  Self.Address = this->Chosen.RouterAddress;
  Self.Capacity = this->Chosen.RouterCapacity;
  Self.Zone = this->Chosen.RouterZone;
  // A lease and an entry.
  this->Counters.Calls.at(StoreCause::Registration)->add(2);
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
  if (this->role() == RelayRole::Scout)
    return this->Times.DoubtAge;
  const FleetBounds &Bounds = this->Chosen.Bounds;
  const Duration Own =
      std::min(RelayTimes::partOf(Bounds.Revocation, OwnProofPart),
               RelayTimes::partOf(Bounds.Configuration, OwnProofPartOfChange));
  // Not before it is known whether the relays reach the store.
  return std::max(Own, this->Times.LongestAge);
}

/// With `Guard` held. The relays tell of an outage that this router has not
/// noticed, as it makes no calls: entries that lapse now may be back with the
/// store.
void FleetFeed::noteStoreAway(TimePoint Now) {
  if (!std::exchange(this->Reached, false))
    return;
  this->Book.noteStore(false, Now);
  this->FailedAt = Now;
  log(LogPart::Platform, LogLevel::Warn, "store=lost call=relays");
}

/// Whether a plain read of the configuration is due, to prove that it is the
/// newest one.
bool FleetFeed::proofDue(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  const bool Back = std::exchange(this->StoreBack, false);
  // A router that starts hears from its relay, if it has one.
  const bool Waits =
      this->role() != RelayRole::Relay && Now - this->LoadedAt < RelayGrace;
  if (!this->Loaded || Waits || (Now < this->NextProof && !Back))
    return false;
  if (Now - this->Book.provenAt() < this->proofInterval()) {
    this->OwnTryAt.reset();
    return false;
  }
  if (!this->hasRelay() || !this->takesRelaysWord(Now))
    return true;
  this->noteStoreAway(Now);
  if (!this->OwnTryAt)
    this->OwnTryAt = Now + std::chrono::duration_cast<Duration>(
                               OwnTrySpread * this->drawPart());
  return Now >= *this->OwnTryAt;
}

void FleetFeed::renewProof(FleetSource &Source) {
  if (!this->proofDue(this->Time.now()))
    return;
  if (this->proveOnce(Source)) {
    this->ProofRetry.reset();
    this->publish();
    bool CutOff = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      this->NextProof = TimePoint{};
      CutOff = this->hasRelay() && ++this->OwnProofs >= ProofsAgainstRelay;
      if (CutOff)
        this->OwnProofs = 0;
    }
    if (CutOff && this->Chosen.DistrustRelay)
      this->Chosen.DistrustRelay();
    return;
  }
  const Duration Wait = this->retryWait();
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->NextProof = this->Time.now() + Wait;
  if (this->OwnTryAt)
    this->OwnTryAt = this->Time.now() + OwnTrySpread;
}

void FleetFeed::prove() {
  FleetSource Source = this->MakeSource();
  // Content to begin with, at a tenth of the price; what it lacks is told.
  (void)this->readConfiguration(Source, 0, ReadAge::MayBeStale);
  TimePoint Compared = this->Time.now();
  Duration Patience = this->jittered(CompareInterval);
  TimePoint NextRenewal = this->Time.now();
  bool WasListable = false;
  do {
    this->fetchConfiguration(Source);
    this->renewProof(Source);
    this->catchUp(Source);
    bool Expired = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      const bool Lost = std::exchange(this->EntryLost, false);
      this->ProverWanted = false;
      if (this->Listable != WasListable || Lost ||
          (this->Leaving && this->Lease != 0))
        NextRenewal = this->Time.now();
      WasListable = this->Listable;
      Expired = this->Book.expire(this->Time.now());
    }
    if (this->Time.now() >= NextRenewal) {
      this->keepRegistered(Source);
      NextRenewal = this->Time.now() + this->jittered(RenewInterval);
    }
    const Duration Longest =
        this->hasRelay() ? FollowerCompareInterval : CompareInterval;
    if (this->Time.now() - Compared >= std::max(Patience, Longest)) {
      this->compareServers(Source);
      Compared = this->Time.now();
      Patience = this->jittered(Longest);
      Expired = true;
    }
    if (Expired)
      this->publish();
    if (this->changesAreDue())
      this->publishChanges();
  } while (this->restUntilWanted(this->proverRound()));
  if (this->Lease != 0)
    (void)Source.Unregister(this->Lease);
}

Duration FleetFeed::proverRound() {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    const bool JustLoaded =
        this->Loaded && this->Time.now() - this->LoadedAt < FirstProofTime;
    if (JustLoaded && this->Book.provenAt() == TimePoint{})
      return FirstProverRound;
  }
  return this->hasRelay() ? this->jittered(ProverRound) : RelayProverRound;
}

bool FleetFeed::changesAreDue() {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  return this->ChangesDue && this->untilPublished() == Duration::zero();
}

bool FleetFeed::restUntilWanted(Duration Wait) {
  std::unique_lock<std::mutex> Lock(this->Guard);
  const TimePoint End = this->Time.now() + Wait;
  const auto Wanted = [this] {
    return (this->ToldSince && this->NextFetch <= this->Time.now()) ||
           (this->ChangesDue && this->untilPublished() == Duration::zero()) ||
           this->EntryLost || this->StoreBack || this->ProverWanted;
  };
  while (!this->Stopping && !Wanted()) {
    const TimePoint Now = this->Time.now();
    TimePoint Until = End;
    if (this->ToldSince)
      Until = std::min(Until, this->NextFetch);
    if (this->ChangesDue)
      Until = std::min(Until, Now + this->untilPublished());
    if (Until <= Now)
      break;
    this->Woken.wait_for(Lock, Until - Now);
  }
  return !this->Stopping;
}

} // namespace parsleywing
