#include "Gateway/FleetFeed.h"
#include "Gateway/FleetFeedTimes.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

using namespace internal;

namespace {

/// How old a relay's proof gets, and the one of another router before that
/// reads for itself, as parts of the bounds on revocation (5 s on the sites so
/// far) and on a configuration (2 s).
constexpr double RelayProofPart = 0.12;
constexpr double RelayProofPartOfChange = 0.3;
constexpr double OwnProofPart = 0.4;
constexpr double OwnProofPartOfChange = 0.75;

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

Duration partOf(Duration Whole, double Part) {
  return std::chrono::duration_cast<Duration>(Whole * Part);
}

} // namespace

bool FleetFeed::proveOnce(FleetSource &Source) {
  const TimePoint AskedAt = this->Time.now();
  Revision Known = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Known = this->Book.configurationRevision();
  }
  const auto Read = Source.Configuration(Known);
  if (!this->note(Read.has_value(), "configuration",
                  Read ? nullptr : &Read.error()))
    return false;
  if (!*Read)
    return false;
  bool Fresh = false;
  std::int64_t Version = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Fresh = this->Book.take(**Read);
    if (this->Book.hasConfiguration())
      this->Book.prove(AskedAt);
    this->noteStoreRevision((*Read)->StoreAt);
    Version = Fresh ? (*Read)->Configuration->Version : 0;
  }
  if (Fresh) {
    this->publish();
    this->Counters.ConfigurationsTaken.add();
    log(LogPart::Platform, LogLevel::Info,
        "configuration=" + std::to_string(Version) +
            " revision=" + std::to_string((*Read)->At) + " source=read");
  }
  return true;
}

void FleetFeed::compareServers(FleetSource &Source) {
  const auto Read = Source.Servers();
  if (!this->note(Read.has_value(), "servers", Read ? nullptr : &Read.error()))
    return;
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->takeList(*Read);
}

void FleetFeed::keepRegistered(FleetSource &Source) {
  bool IsLeaving = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    IsLeaving = this->Leaving;
    // A router that is listed is asked for servers and for changes.
    if (!IsLeaving && !this->Loaded)
      return;
  }
  if (IsLeaving) {
    // A call that fails leaves the entry to its lease.
    if (this->Lease != 0 && Source.Unregister(this->Lease))
      this->Lease = 0;
    return;
  }
  if (this->Lease != 0) {
    const auto Renewed = Source.Renew(this->Lease);
    if (Renewed)
      return;
    if (Renewed.error().Code != ErrorCode::NotFound)
      return;
    this->Lease = 0;
  }
  const auto Granted =
      Source.Register({this->Chosen.RouterName, this->Chosen.RouterAddress,
                       this->Chosen.RouterCapacity, 0},
                      LeaseLife);
  if (Granted)
    this->Lease = *Granted;
  else
    log(LogPart::Platform, LogLevel::Info,
        "registration failed: " + Granted.error().Message);
}

Duration FleetFeed::proofInterval() const {
  const Duration Revocation = this->Chosen.RevocationBound;
  const Duration Change = this->Chosen.ConfigurationBound;
  if (this->hasRelay())
    return std::min(partOf(Revocation, OwnProofPart),
                    partOf(Change, OwnProofPartOfChange));
  return std::min(partOf(Revocation, RelayProofPart),
                  partOf(Change, RelayProofPartOfChange));
}

/// Whether a read is due, and why.
FleetFeed::ReadReason FleetFeed::proofDue(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  const bool Wanted = std::exchange(this->ReadDue, false);
  const bool Back = std::exchange(this->StoreBack, false);
  if (Now < this->NextProof && !Back)
    return ReadReason::None;
  if (Now - this->Book.provenAt() >= this->proofInterval())
    return ReadReason::OldProof;
  return Wanted ? ReadReason::NewConfiguration : ReadReason::None;
}

void FleetFeed::renewProof(FleetSource &Source) {
  const ReadReason Reason = this->proofDue(this->Time.now());
  if (Reason == ReadReason::None)
    return;
  const bool Follows = this->hasRelay();
  this->ProofRetry.First = Follows ? FirstFollowerRetry : FirstRetry;
  this->ProofRetry.Longest = Follows ? LongestFollowerRetry : LongestRelayRetry;
  if (this->proveOnce(Source)) {
    this->ProofRetry.reset();
    this->publish();
    bool CutOff = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      this->NextProof = TimePoint{};
      // A read for a new configuration says nothing of the relay.
      CutOff = Follows && Reason == ReadReason::OldProof &&
               ++this->OwnProofs >= ProofsAgainstRelay;
      if (CutOff)
        this->OwnProofs = 0;
    }
    if (CutOff && this->Chosen.DistrustRelay)
      this->Chosen.DistrustRelay();
    return;
  }
  const Duration Wait = this->jittered(this->ProofRetry.take());
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->NextProof = this->Time.now() + Wait;
}

void FleetFeed::prove() {
  FleetSource Source = this->MakeSource();
  const auto CompareIn = [this] {
    return this->jittered(this->hasRelay() ? FollowerCompareInterval
                                           : CompareInterval);
  };
  TimePoint NextCompare = this->Time.now() + CompareIn();
  TimePoint NextRenewal = this->Time.now();
  bool WasLoaded = false;
  do {
    this->renewProof(Source);
    this->catchUp(Source);
    bool Expired = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      if (this->Loaded != WasLoaded || (this->Leaving && this->Lease != 0))
        NextRenewal = this->Time.now();
      WasLoaded = this->Loaded;
      Expired = this->Book.expire(this->Time.now());
    }
    if (this->Time.now() >= NextRenewal) {
      this->keepRegistered(Source);
      NextRenewal = this->Time.now() + this->jittered(RenewInterval);
    }
    if (this->Time.now() >= NextCompare) {
      this->compareServers(Source);
      NextCompare = this->Time.now() + CompareIn();
      Expired = true;
    }
    if (Expired)
      this->publish();
  } while (this->restUnlessReadDue(
      this->hasRelay() ? this->jittered(ProverRound) : RelayProverRound));
  if (this->Lease != 0)
    (void)Source.Unregister(this->Lease);
}

bool FleetFeed::restUnlessReadDue(Duration Wait) {
  std::unique_lock<std::mutex> Lock(this->Guard);
  this->Woken.wait_for(Lock, Wait,
                       [this] { return this->Stopping || this->ReadDue; });
  return !this->Stopping;
}

} // namespace parsleywing
