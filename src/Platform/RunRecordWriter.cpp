#include "Platform/RunRecordWriter.h"

#include "Runtime/Invariant.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <set>

namespace parsleywing {

namespace {

constexpr Duration FirstWait = std::chrono::milliseconds(20);
constexpr Duration LongestWait = std::chrono::seconds(1);
constexpr Duration IdleWait = std::chrono::milliseconds(100);
constexpr std::size_t SettlementBatch = 50;
/// The longest time that the end of the process waits for the store to take
/// what is to be said of records.
constexpr Duration SettleAtEndLimit = std::chrono::seconds(2);
constexpr std::size_t LargestBatch = 120;
constexpr std::uint64_t LeaseIdMask = 0x7FFFFFFFFFFFFFFF;

std::string runningValue(const std::string &Identity) {
  return "running " + Identity;
}

std::string doneValue(const std::string &Identity) {
  return "done " + Identity;
}

/// Each call on the store gets this part of a claim's patience. All calls share
/// one thread and one connection: one that hangs for as long as the claims
/// behind it may wait, as the settlement of an earlier record can, has them all
/// refused, though the store is there. So two may hang in a row.
constexpr int CallsInPatience = 4;

StoreSettings withinPatience(StoreSettings Store, Duration Patience) {
  Store.CallTimeout = std::min(Store.CallTimeout, Patience / CallsInPatience);
  return Store;
}

bool isOwn(const StoreEntry &Entry, const std::string &Identity) {
  return Entry.Value == runningValue(Identity) ||
         Entry.Value == doneValue(Identity);
}

/// Whether a call that failed so may still have taken effect.
bool mayHaveTakenEffect(ErrorCode Code) {
  return Code == ErrorCode::TimedOut || Code == ErrorCode::Interrupted ||
         Code == ErrorCode::Malformed;
}

} // namespace

RunRecordWriter::RunRecordWriter(RunRecordSettings R, StoreSettings S,
                                 std::shared_ptr<StoreBudget> B, Clock C)
    : Settings(std::move(R)), Budget(B), Time(C),
      Store(withinPatience(std::move(S), Settings.ClaimTimeout), std::move(B),
            std::move(C)),
      RetryBackoff(FirstWait, LongestWait,
                   internal::seedOrRandom(Settings.Seed)),
      Random(internal::seedOrRandom(Settings.Seed)) {
  PARSLEYWING_INVARIANT(this->Settings.MaxBatchSize >= 1 &&
                            this->Settings.MaxBatchSize <= LargestBatch,
                        "a batch of claims fits one transaction");
  this->Worker = std::thread([this] { this->run(); });
}

RunRecordWriter::~RunRecordWriter() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->WorkAvailable.notify_all();
  this->Worker.join();
}

std::string RunRecordWriter::recordKey(AccountId Account,
                                       const std::string &Key) const {
  return this->Settings.Prefix + "records/" + std::to_string(Account.Value) +
         "/" + Key;
}

std::string RunRecordWriter::guardKey() const {
  return this->Settings.Prefix + "guards/" + this->Settings.WriterId;
}

void RunRecordWriter::claim(AccountId Account, const std::string &Key,
                            const std::string &Identity, Callback Tell) {
  Claim New{this->recordKey(Account, Key), Identity, std::move(Tell),
            this->Time.now() + this->Settings.ClaimTimeout};
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->Stopping &&
        this->PendingClaims.size() < this->Settings.MaxPending) {
      this->PendingClaims.push_back(std::move(New));
      this->WorkAvailable.notify_all();
      return;
    }
  }
  this->finish(New, RunVerdict::Unavailable);
}

void RunRecordWriter::complete(AccountId Account, const std::string &Key,
                               const std::string &Identity) {
  this->queueUpdate(RecordUpdateKind::Complete, this->recordKey(Account, Key),
                    Identity);
}

void RunRecordWriter::release(AccountId Account, const std::string &Key,
                              const std::string &Identity) {
  this->queueUpdate(RecordUpdateKind::Release, this->recordKey(Account, Key),
                    Identity);
}

void RunRecordWriter::queueUpdate(RecordUpdateKind Kind, std::string Key,
                                  std::string Identity) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->PendingUpdates.size() >= this->Settings.MaxPending) {
      ++this->DroppedUpdateCount;
      this->PendingUpdates.pop_front();
    }
    this->PendingUpdates.push_back({Kind, std::move(Key), std::move(Identity)});
  }
  this->WorkAvailable.notify_all();
}

void RunRecordWriter::run() {
  while (true) {
    std::vector<Claim> Batch = this->collectBatch();
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Stopping && Batch.empty())
        break;
    }
    if (!Batch.empty())
      this->processClaims(std::move(Batch));
    this->flushUpdates();
  }
  this->flushUpdatesAtShutdown();
}

/// A record that is not released here stands for its whole life: a request that
/// was told "not run" could not be repeated.
void RunRecordWriter::flushUpdatesAtShutdown() {
  const TimePoint Limit = this->Time.now() + SettleAtEndLimit;
  while (this->pendingUpdateCount() > 0 && this->Time.now() < Limit)
    if (!this->flushUpdates())
      std::this_thread::sleep_for(this->RetryBackoff.nextDelay());
  if (const std::size_t Left = this->pendingUpdateCount())
    log(LogPart::Platform, LogLevel::Warn,
        "Ended with " + std::to_string(Left) + " run records not settled.");
}

std::size_t RunRecordWriter::pendingUpdateCount() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->PendingUpdates.size();
}

/// Waits for a first claim, then for the gathering time or the next call that
/// the budget allows, whichever is later: the fewer calls, the larger batches.
std::vector<RunRecordWriter::Claim> RunRecordWriter::collectBatch() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->WorkAvailable.wait_for(Lock, IdleWait, [this] {
    return this->Stopping || !this->PendingClaims.empty() ||
           !this->PendingUpdates.empty();
  });
  if (this->PendingClaims.empty())
    return {};
  const Duration Gather =
      std::max(this->Settings.BatchDelay,
               this->Budget->timeUntilAvailable(this->Time.now()));
  this->WorkAvailable.wait_for(Lock, Gather, [this] {
    return this->Stopping ||
           this->PendingClaims.size() >= this->Settings.MaxBatchSize;
  });
  std::vector<Claim> Batch;
  std::set<std::string> Keys;
  std::deque<Claim> Later;
  while (!this->PendingClaims.empty() &&
         Batch.size() < this->Settings.MaxBatchSize) {
    Claim Next = std::move(this->PendingClaims.front());
    this->PendingClaims.pop_front();
    // The service refuses a transaction that writes one key twice.
    if (Keys.insert(Next.Key).second)
      Batch.push_back(std::move(Next));
    else
      Later.push_back(std::move(Next));
  }
  for (auto Place = Later.rbegin(); Place != Later.rend(); ++Place)
    this->PendingClaims.push_front(std::move(*Place));
  return Batch;
}

void RunRecordWriter::finish(Claim &Done, RunVerdict Verdict) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->VerdictCounts[Verdict];
  }
  Done.OnVerdict(Verdict);
}

void RunRecordWriter::dropExpired(std::vector<Claim> &Batch) {
  const TimePoint Now = this->Time.now();
  bool Ending = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Ending = this->Stopping;
  }
  std::vector<Claim> Kept;
  for (Claim &Each : Batch) {
    if (!Ending && Now < Each.Deadline) {
      Kept.push_back(std::move(Each));
      continue;
    }
    if (Each.OutcomeUnknown)
      this->queueUpdate(RecordUpdateKind::Release, Each.Key, Each.Identity);
    this->finish(Each, RunVerdict::Unavailable);
  }
  Batch = std::move(Kept);
}

void RunRecordWriter::waitForBackoff() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->WorkAvailable.wait_for(Lock, this->RetryBackoff.nextDelay(),
                               [this] { return this->Stopping; });
}

void RunRecordWriter::processClaims(std::vector<Claim> Batch) {
  while (true) {
    this->dropExpired(Batch);
    if (Batch.empty())
      return;
    if (!this->ensureReady()) {
      this->waitForBackoff();
      continue;
    }
    this->commitClaims(Batch);
  }
}

void RunRecordWriter::commitClaims(std::vector<Claim> &Batch) {
  StoreTransaction Wanted;
  Wanted.Conditions.push_back(
      keyModRevisionIs(this->guardKey(), this->GuardRevision));
  Wanted.Else.push_back(readKey(this->guardKey()));
  for (const Claim &Each : Batch) {
    Wanted.Conditions.push_back(keyAbsent(Each.Key));
    Wanted.Then.push_back(
        putKey(Each.Key, runningValue(Each.Identity), this->Lease));
    Wanted.Else.push_back(readKey(Each.Key));
  }
  const Result<TransactionOutcome> Outcome = this->Store.commit(Wanted);
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->TransactionCount;
  }
  if (Outcome) {
    this->RetryBackoff.reset();
    this->resolveClaims(Batch, *Outcome);
    return;
  }
  if (Outcome.error().Code == ErrorCode::NotFound)
    this->Lease = 0;
  if (mayHaveTakenEffect(Outcome.error().Code)) {
    // The write may have taken effect, or may do so later. A new guard comes
    // before the next look, so that the look is final.
    this->GuardRevision = 0;
    for (Claim &Each : Batch)
      Each.OutcomeUnknown = true;
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->UnknownOutcomeCount;
  }
  this->waitForBackoff();
}

void RunRecordWriter::resolveClaims(std::vector<Claim> &Batch,
                                    const TransactionOutcome &Outcome) {
  if (Outcome.Succeeded) {
    for (Claim &Each : Batch)
      this->finish(Each, RunVerdict::Claimed);
    Batch.clear();
    return;
  }
  if (Outcome.Reads.size() != Batch.size() + 1) {
    this->waitForBackoff();
    return;
  }
  const auto &Seen = Outcome.Reads.front().Entries;
  if (Seen.empty() || Seen.front().ModRevision != this->GuardRevision)
    this->GuardRevision = 0;
  std::vector<Claim> Left;
  for (std::size_t Index = 0; Index < Batch.size(); ++Index) {
    Claim &Each = Batch[Index];
    const auto &Found = Outcome.Reads[Index + 1].Entries;
    if (Found.empty())
      Left.push_back(std::move(Each));
    else if (isOwn(Found.front(), Each.Identity))
      this->finish(Each, RunVerdict::Claimed);
    else
      this->finish(Each, RunVerdict::TakenByOther);
  }
  Batch = std::move(Left);
}

bool RunRecordWriter::ensureReady() {
  const TimePoint Now = this->Time.now();
  if (this->Lease == 0 ||
      Now - this->LeaseStartedAt >= this->Settings.LeaseRotationInterval) {
    if (!this->acquireLease())
      return false;
    this->GuardRevision = 0;
  }
  if (this->GuardRevision != 0)
    return true;
  const Result<Revision> Written =
      this->Store.put(this->guardKey(), {}, this->Lease);
  if (!Written) {
    if (Written.error().Code == ErrorCode::NotFound)
      this->Lease = 0;
    return false;
  }
  this->GuardRevision = *Written;
  return true;
}

/// A grant whose reply was lost is looked for under its own identity, so that
/// an outage does not leave behind a lease for each try.
bool RunRecordWriter::acquireLease() {
  const std::chrono::seconds Life =
      this->Settings.MinRecordLifetime + this->Settings.LeaseRotationInterval;
  if (this->PendingLease == 0) {
    this->PendingLease =
        static_cast<LeaseId>((this->Random() & LeaseIdMask) | 1U);
  } else if (this->Store.keepLeaseAlive(this->PendingLease)) {
    this->Lease = this->PendingLease;
  }
  if (this->Lease != this->PendingLease) {
    const auto Granted = this->Store.grantLease(Life, this->PendingLease);
    if (!Granted) {
      if (Granted.error().Code == ErrorCode::Refused)
        this->PendingLease = 0;
      return false;
    }
    this->Lease = *Granted;
  }
  this->LeaseStartedAt = this->Time.now();
  this->PendingLease = 0;
  return true;
}

bool RunRecordWriter::flushUpdates() {
  std::vector<RecordUpdate> Batch;
  bool Ending = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Ending = this->Stopping;
    std::set<std::string> Keys;
    while (!this->PendingUpdates.empty() && Batch.size() < SettlementBatch &&
           Keys.insert(this->PendingUpdates.front().Key).second) {
      Batch.push_back(std::move(this->PendingUpdates.front()));
      this->PendingUpdates.pop_front();
    }
  }
  if (Batch.empty())
    return false;
  if (this->ensureReady() && this->commitUpdates(Batch))
    return true;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (auto Place = Batch.rbegin(); Place != Batch.rend(); ++Place)
      this->PendingUpdates.push_front(std::move(*Place));
    if (Ending || !this->PendingClaims.empty())
      return false;
  }
  this->waitForBackoff();
  return false;
}

/// Each step holds only where the record is still of this claim, so it may be
/// sent again, and it may arrive late.
bool RunRecordWriter::commitUpdates(const std::vector<RecordUpdate> &Batch) {
  StoreTransaction Wanted;
  for (const RecordUpdate &Each : Batch) {
    Wanted.Conditions.push_back(
        keyValueIs(Each.Key, runningValue(Each.Identity)));
    Wanted.Then.push_back(
        Each.Kind == RecordUpdateKind::Complete
            ? putKey(Each.Key, doneValue(Each.Identity), this->Lease)
            : deleteKey(Each.Key));
  }
  const Result<TransactionOutcome> Outcome = this->Store.commit(Wanted);
  if (!Outcome) {
    if (Outcome.error().Code == ErrorCode::NotFound)
      this->Lease = 0;
    return false;
  }
  this->RetryBackoff.reset();
  if (Outcome->Succeeded || Batch.size() == 1)
    return true;
  const auto Middle =
      Batch.begin() + static_cast<std::ptrdiff_t>(Batch.size() / 2);
  const bool First = this->commitUpdates({Batch.begin(), Middle});
  return this->commitUpdates({Middle, Batch.end()}) && First;
}

Poco::JSON::Object::Ptr RunRecordWriter::dump() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("waiting", this->PendingClaims.size());
  Dump->set("settlements", this->PendingUpdates.size());
  Dump->set("settlementsDropped", this->DroppedUpdateCount);
  Dump->set("transactions", this->TransactionCount);
  Dump->set("inDoubt", this->UnknownOutcomeCount);
  for (const auto &[Verdict, Name] : RunVerdictNames) {
    const auto Place = this->VerdictCounts.find(Verdict);
    Dump->set(std::string(Name),
              Place == this->VerdictCounts.end() ? 0 : Place->second);
  }
  return Dump;
}

} // namespace parsleywing
