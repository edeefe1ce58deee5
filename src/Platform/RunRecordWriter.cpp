#include "Platform/RunRecordWriter.h"

#include "Runtime/Invariant.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <set>

namespace parsleywing {

namespace {

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(20);
constexpr Duration MaxRetryDelay = std::chrono::seconds(1);
constexpr Duration IdlePollInterval = std::chrono::milliseconds(100);
constexpr std::size_t MaxUpdateBatchSize = 50;
/// Time that a shutdown waits for the store to accept the pending updates of
/// records.
constexpr Duration ShutdownFlushTimeout = std::chrono::seconds(2);
constexpr std::size_t MaxClaimBatchSize = 120;
constexpr std::uint64_t LeaseIdMask = 0x7FFFFFFFFFFFFFFF;

std::string runningValue(const std::string &Identity) {
  return "running " + Identity;
}

std::string doneValue(const std::string &Identity) {
  return "done " + Identity;
}

/// The timeout of each call is the claim timeout divided by this number. All
/// calls share one thread and one connection. A call that hangs for a whole
/// claim timeout, such as the update of an earlier record, would make all
/// claims queued after it Unavailable although the store is reachable. With
/// this limit even two calls in a row may hang.
constexpr int CallsPerClaimTimeout = 4;

StoreSettings limitCallTimeout(StoreSettings Store, Duration ClaimTimeout) {
  Store.CallTimeout =
      std::min(Store.CallTimeout, ClaimTimeout / CallsPerClaimTimeout);
  return Store;
}

bool isOwn(const StoreEntry &Entry, const std::string &Identity) {
  return Entry.Value == runningValue(Identity) ||
         Entry.Value == doneValue(Identity);
}

/// Returns whether a call that failed with this error may have taken effect.
bool mayHaveTakenEffect(ErrorCode Code) {
  return Code == ErrorCode::TimedOut || Code == ErrorCode::Interrupted ||
         Code == ErrorCode::Malformed;
}

} // namespace

RunRecordWriter::RunRecordWriter(RunRecordSettings R, StoreSettings S,
                                 std::shared_ptr<StoreBudget> B, Clock C)
    : Settings(std::move(R)), Budget(B), Time(C),
      Store(limitCallTimeout(std::move(S), Settings.ClaimTimeout), std::move(B),
            std::move(C)),
      RetryBackoff(InitialRetryDelay, MaxRetryDelay,
                   internal::seedOrRandom(Settings.Seed)),
      Random(internal::seedOrRandom(Settings.Seed)) {
  PARSLEYWING_INVARIANT(this->Settings.MaxBatchSize >= 1 &&
                            this->Settings.MaxBatchSize <= MaxClaimBatchSize,
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
                            const std::string &Identity, Callback OnVerdict) {
  Claim NewClaim{this->recordKey(Account, Key), Identity, std::move(OnVerdict),
                 this->Time.now() + this->Settings.ClaimTimeout};
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->Stopping &&
        this->PendingClaims.size() < this->Settings.MaxPending) {
      this->PendingClaims.push_back(std::move(NewClaim));
      this->WorkAvailable.notify_all();
      return;
    }
  }
  this->finish(NewClaim, RunVerdict::Unavailable);
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

/// A record that is not released here stays until its lease expires, and a
/// request that was reported as not run could not be retried.
void RunRecordWriter::flushUpdatesAtShutdown() {
  const TimePoint Deadline = this->Time.now() + ShutdownFlushTimeout;
  while (this->pendingUpdateCount() > 0 && this->Time.now() < Deadline)
    if (!this->flushUpdates())
      std::this_thread::sleep_for(this->RetryBackoff.nextDelay());
  if (const std::size_t Remaining = this->pendingUpdateCount())
    log(LogPart::Platform, LogLevel::Warn,
        "Stopped with " + std::to_string(Remaining) +
            " run record updates unwritten.");
}

std::size_t RunRecordWriter::pendingUpdateCount() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->PendingUpdates.size();
}

/// Waits for a first claim, then for the batch delay or until the budget allows
/// the next call, whichever is later. The fewer calls the budget allows, the
/// larger the batches.
std::vector<RunRecordWriter::Claim> RunRecordWriter::collectBatch() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->WorkAvailable.wait_for(Lock, IdlePollInterval, [this] {
    return this->Stopping || !this->PendingClaims.empty() ||
           !this->PendingUpdates.empty();
  });
  if (this->PendingClaims.empty())
    return {};
  const Duration Delay =
      std::max(this->Settings.BatchDelay,
               this->Budget->timeUntilAvailable(this->Time.now()));
  this->WorkAvailable.wait_for(Lock, Delay, [this] {
    return this->Stopping ||
           this->PendingClaims.size() >= this->Settings.MaxBatchSize;
  });
  std::vector<Claim> Batch;
  std::set<std::string> Keys;
  std::deque<Claim> Deferred;
  while (!this->PendingClaims.empty() &&
         Batch.size() < this->Settings.MaxBatchSize) {
    Claim Next = std::move(this->PendingClaims.front());
    this->PendingClaims.pop_front();
    // The service rejects a transaction that writes one key twice.
    if (Keys.insert(Next.Key).second)
      Batch.push_back(std::move(Next));
    else
      Deferred.push_back(std::move(Next));
  }
  for (auto It = Deferred.rbegin(); It != Deferred.rend(); ++It)
    this->PendingClaims.push_front(std::move(*It));
  return Batch;
}

void RunRecordWriter::finish(Claim &Finished, RunVerdict Verdict) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->VerdictCounts[Verdict];
  }
  Finished.OnVerdict(Verdict);
}

void RunRecordWriter::dropExpired(std::vector<Claim> &Batch) {
  const TimePoint Now = this->Time.now();
  bool IsStopping = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    IsStopping = this->Stopping;
  }
  std::vector<Claim> Remaining;
  for (Claim &Each : Batch) {
    if (!IsStopping && Now < Each.Deadline) {
      Remaining.push_back(std::move(Each));
      continue;
    }
    if (Each.OutcomeUnknown)
      this->queueUpdate(RecordUpdateKind::Release, Each.Key, Each.Identity);
    this->finish(Each, RunVerdict::Unavailable);
  }
  Batch = std::move(Remaining);
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
  StoreTransaction Transaction;
  Transaction.Conditions.push_back(
      keyModRevisionIs(this->guardKey(), this->GuardRevision));
  Transaction.Else.push_back(readKey(this->guardKey()));
  for (const Claim &Each : Batch) {
    Transaction.Conditions.push_back(keyAbsent(Each.Key));
    Transaction.Then.push_back(
        putKey(Each.Key, runningValue(Each.Identity), this->Lease));
    Transaction.Else.push_back(readKey(Each.Key));
  }
  const Result<TransactionOutcome> Outcome = this->Store.commit(Transaction);
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
    // The write may have taken effect, or may do so later. The guard key is
    // written again before the next read, so that the read is final.
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
  const auto &GuardEntries = Outcome.Reads.front().Entries;
  if (GuardEntries.empty() ||
      GuardEntries.front().ModRevision != this->GuardRevision)
    this->GuardRevision = 0;
  std::vector<Claim> Unresolved;
  for (std::size_t Index = 0; Index < Batch.size(); ++Index) {
    Claim &Each = Batch[Index];
    const auto &RecordEntries = Outcome.Reads[Index + 1].Entries;
    if (RecordEntries.empty())
      Unresolved.push_back(std::move(Each));
    else if (isOwn(RecordEntries.front(), Each.Identity))
      this->finish(Each, RunVerdict::Claimed);
    else
      this->finish(Each, RunVerdict::TakenByOther);
  }
  Batch = std::move(Unresolved);
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

/// A grant whose response was lost is recovered by its ID, so that an outage
/// does not leave a lease behind for each attempt.
bool RunRecordWriter::acquireLease() {
  const std::chrono::seconds Ttl =
      this->Settings.MinRecordLifetime + this->Settings.LeaseRotationInterval;
  if (this->PendingLease == 0) {
    this->PendingLease =
        static_cast<LeaseId>((this->Random() & LeaseIdMask) | 1U);
  } else if (this->Store.keepLeaseAlive(this->PendingLease)) {
    this->Lease = this->PendingLease;
  }
  if (this->Lease != this->PendingLease) {
    const auto Granted = this->Store.grantLease(Ttl, this->PendingLease);
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
  bool IsStopping = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    IsStopping = this->Stopping;
    std::set<std::string> Keys;
    while (!this->PendingUpdates.empty() && Batch.size() < MaxUpdateBatchSize &&
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
    for (auto It = Batch.rbegin(); It != Batch.rend(); ++It)
      this->PendingUpdates.push_front(std::move(*It));
    if (IsStopping || !this->PendingClaims.empty())
      return false;
  }
  this->waitForBackoff();
  return false;
}

/// Each update only applies while the record still belongs to its claim, so it
/// is safe to send it again and it may arrive late.
bool RunRecordWriter::commitUpdates(const std::vector<RecordUpdate> &Batch) {
  StoreTransaction Transaction;
  for (const RecordUpdate &Each : Batch) {
    Transaction.Conditions.push_back(
        keyValueIs(Each.Key, runningValue(Each.Identity)));
    Transaction.Then.push_back(
        Each.Kind == RecordUpdateKind::Complete
            ? putKey(Each.Key, doneValue(Each.Identity), this->Lease)
            : deleteKey(Each.Key));
  }
  const Result<TransactionOutcome> Outcome = this->Store.commit(Transaction);
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
  const bool FirstHalfDone = this->commitUpdates({Batch.begin(), Middle});
  return this->commitUpdates({Middle, Batch.end()}) && FirstHalfDone;
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
    const auto It = this->VerdictCounts.find(Verdict);
    Dump->set(std::string(Name),
              It == this->VerdictCounts.end() ? 0 : It->second);
  }
  return Dump;
}

} // namespace parsleywing
