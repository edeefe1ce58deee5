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
  Store.Deadline = std::min(Store.Deadline, Patience / CallsInPatience);
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
      Store(withinPatience(std::move(S), Settings.Patience), std::move(B),
            std::move(C)),
      Waits(FirstWait, LongestWait, internal::seedOr(Settings.Seed)),
      Random(internal::seedOr(Settings.Seed)) {
  PARSLEYWING_INVARIANT(this->Settings.MaxBatch >= 1 &&
                            this->Settings.MaxBatch <= LargestBatch,
                        "a batch of claims fits one transaction");
  this->Worker = std::thread([this] { this->run(); });
}

RunRecordWriter::~RunRecordWriter() {
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    this->Stopping = true;
  }
  this->Arrived.notify_all();
  this->Worker.join();
}

std::string RunRecordWriter::recordKey(AccountId Account,
                                       const std::string &Key) const {
  return this->Settings.Prefix + "records/" + std::to_string(Account.Value) +
         "/" + Key;
}

std::string RunRecordWriter::guardKey() const {
  return this->Settings.Prefix + "guards/" + this->Settings.Writer;
}

void RunRecordWriter::claim(AccountId Account, const std::string &Key,
                            const std::string &Identity, Callback Tell) {
  Claim New{this->recordKey(Account, Key), Identity, std::move(Tell),
            this->Time.now() + this->Settings.Patience};
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    if (!this->Stopping && this->Waiting.size() < this->Settings.MaxWaiting) {
      this->Waiting.push_back(std::move(New));
      this->Arrived.notify_all();
      return;
    }
  }
  this->finish(New, RunVerdict::Unavailable);
}

void RunRecordWriter::complete(AccountId Account, const std::string &Key,
                               const std::string &Identity) {
  this->addSettlement(SettlementKind::Complete, this->recordKey(Account, Key),
                      Identity);
}

void RunRecordWriter::release(AccountId Account, const std::string &Key,
                              const std::string &Identity) {
  this->addSettlement(SettlementKind::Release, this->recordKey(Account, Key),
                      Identity);
}

void RunRecordWriter::addSettlement(SettlementKind Kind, std::string Key,
                                    std::string Identity) {
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    if (this->Settlements.size() >= this->Settings.MaxWaiting) {
      ++this->SettlementsDropped;
      this->Settlements.pop_front();
    }
    this->Settlements.push_back({Kind, std::move(Key), std::move(Identity)});
  }
  this->Arrived.notify_all();
}

void RunRecordWriter::run() {
  while (true) {
    std::vector<Claim> Batch = this->gather();
    {
      std::lock_guard<std::mutex> Lock(this->Guard);
      if (this->Stopping && Batch.empty())
        break;
    }
    if (!Batch.empty())
      this->handleClaims(std::move(Batch));
    this->settleSome();
  }
  this->settleAtEnd();
}

/// A record that is not released here stands for its whole life: a request that
/// was told "not run" could not be repeated.
void RunRecordWriter::settleAtEnd() {
  const TimePoint Limit = this->Time.now() + SettleAtEndLimit;
  while (this->unsettled() > 0 && this->Time.now() < Limit)
    if (!this->settleSome())
      std::this_thread::sleep_for(this->Waits.next());
  if (const std::size_t Left = this->unsettled())
    log(LogPart::Platform, LogLevel::Warn,
        "Ended with " + std::to_string(Left) + " run records not settled.");
}

std::size_t RunRecordWriter::unsettled() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Settlements.size();
}

/// Waits for a first claim, then for the gathering time or the next call that
/// the budget allows, whichever is later: the fewer calls, the larger batches.
std::vector<RunRecordWriter::Claim> RunRecordWriter::gather() {
  std::unique_lock<std::mutex> Lock(this->Guard);
  this->Arrived.wait_for(Lock, IdleWait, [this] {
    return this->Stopping || !this->Waiting.empty() ||
           !this->Settlements.empty();
  });
  if (this->Waiting.empty())
    return {};
  const Duration Gather =
      std::max(this->Settings.Gather, this->Budget->waitFor(this->Time.now()));
  this->Arrived.wait_for(Lock, Gather, [this] {
    return this->Stopping || this->Waiting.size() >= this->Settings.MaxBatch;
  });
  std::vector<Claim> Batch;
  std::set<std::string> Keys;
  std::deque<Claim> Later;
  while (!this->Waiting.empty() && Batch.size() < this->Settings.MaxBatch) {
    Claim Next = std::move(this->Waiting.front());
    this->Waiting.pop_front();
    // The service refuses a transaction that writes one key twice.
    if (Keys.insert(Next.Key).second)
      Batch.push_back(std::move(Next));
    else
      Later.push_back(std::move(Next));
  }
  for (auto Place = Later.rbegin(); Place != Later.rend(); ++Place)
    this->Waiting.push_front(std::move(*Place));
  return Batch;
}

void RunRecordWriter::finish(Claim &Done, RunVerdict Verdict) {
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    ++this->Verdicts[Verdict];
  }
  Done.Tell(Verdict);
}

void RunRecordWriter::dropLate(std::vector<Claim> &Batch) {
  const TimePoint Now = this->Time.now();
  bool Ending = false;
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    Ending = this->Stopping;
  }
  std::vector<Claim> Kept;
  for (Claim &Each : Batch) {
    if (!Ending && Now < Each.Deadline) {
      Kept.push_back(std::move(Each));
      continue;
    }
    if (Each.InDoubt)
      this->addSettlement(SettlementKind::Release, Each.Key, Each.Identity);
    this->finish(Each, RunVerdict::Unavailable);
  }
  Batch = std::move(Kept);
}

void RunRecordWriter::pause() {
  std::unique_lock<std::mutex> Lock(this->Guard);
  this->Arrived.wait_for(Lock, this->Waits.next(),
                         [this] { return this->Stopping; });
}

void RunRecordWriter::handleClaims(std::vector<Claim> Batch) {
  while (true) {
    this->dropLate(Batch);
    if (Batch.empty())
      return;
    if (!this->ready()) {
      this->pause();
      continue;
    }
    this->commitClaims(Batch);
  }
}

void RunRecordWriter::commitClaims(std::vector<Claim> &Batch) {
  StoreTransaction Wanted;
  Wanted.Conditions.push_back(
      keyModifiedAt(this->guardKey(), this->GuardRevision));
  Wanted.Otherwise.push_back(readKey(this->guardKey()));
  for (const Claim &Each : Batch) {
    Wanted.Conditions.push_back(keyAbsent(Each.Key));
    Wanted.Then.push_back(
        putKey(Each.Key, runningValue(Each.Identity), this->Lease));
    Wanted.Otherwise.push_back(readKey(Each.Key));
  }
  const Result<TransactionOutcome> Outcome = this->Store.commit(Wanted);
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    ++this->Transactions;
  }
  if (Outcome) {
    this->Waits.reset();
    this->judge(Batch, *Outcome);
    return;
  }
  if (Outcome.error().Code == ErrorCode::NotFound)
    this->Lease = 0;
  if (mayHaveTakenEffect(Outcome.error().Code)) {
    // The write may have taken effect, or may do so later. A new guard comes
    // before the next look, so that the look is final.
    this->GuardRevision = 0;
    for (Claim &Each : Batch)
      Each.InDoubt = true;
    std::lock_guard<std::mutex> Lock(this->Guard);
    ++this->InDoubt;
  }
  this->pause();
}

void RunRecordWriter::judge(std::vector<Claim> &Batch,
                            const TransactionOutcome &Outcome) {
  if (Outcome.Succeeded) {
    for (Claim &Each : Batch)
      this->finish(Each, RunVerdict::Claimed);
    Batch.clear();
    return;
  }
  if (Outcome.Reads.size() != Batch.size() + 1) {
    this->pause();
    return;
  }
  const auto &Seen = Outcome.Reads.front().Entries;
  if (Seen.empty() || Seen.front().Modified != this->GuardRevision)
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

bool RunRecordWriter::ready() {
  const TimePoint Now = this->Time.now();
  if (this->Lease == 0 ||
      Now - this->LeaseBegun >= this->Settings.LeasePeriod) {
    if (!this->beginLease())
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
bool RunRecordWriter::beginLease() {
  const std::chrono::seconds Life =
      this->Settings.Life + this->Settings.LeasePeriod;
  if (this->WantedLease == 0) {
    this->WantedLease =
        static_cast<LeaseId>((this->Random() & LeaseIdMask) | 1U);
  } else if (this->Store.keepLeaseAlive(this->WantedLease)) {
    this->Lease = this->WantedLease;
  }
  if (this->Lease != this->WantedLease) {
    const auto Granted = this->Store.grantLease(Life, this->WantedLease);
    if (!Granted) {
      if (Granted.error().Code == ErrorCode::Refused)
        this->WantedLease = 0;
      return false;
    }
    this->Lease = *Granted;
  }
  this->LeaseBegun = this->Time.now();
  this->WantedLease = 0;
  return true;
}

bool RunRecordWriter::settleSome() {
  std::vector<Settlement> Batch;
  bool Ending = false;
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    Ending = this->Stopping;
    std::set<std::string> Keys;
    while (!this->Settlements.empty() && Batch.size() < SettlementBatch &&
           Keys.insert(this->Settlements.front().Key).second) {
      Batch.push_back(std::move(this->Settlements.front()));
      this->Settlements.pop_front();
    }
  }
  if (Batch.empty())
    return false;
  if (this->ready() && this->settle(Batch))
    return true;
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    for (auto Place = Batch.rbegin(); Place != Batch.rend(); ++Place)
      this->Settlements.push_front(std::move(*Place));
    if (Ending || !this->Waiting.empty())
      return false;
  }
  this->pause();
  return false;
}

/// Each step holds only where the record is still of this claim, so it may be
/// sent again, and it may arrive late.
bool RunRecordWriter::settle(const std::vector<Settlement> &Batch) {
  StoreTransaction Wanted;
  for (const Settlement &Each : Batch) {
    Wanted.Conditions.push_back(
        keyHolds(Each.Key, runningValue(Each.Identity)));
    Wanted.Then.push_back(
        Each.Kind == SettlementKind::Complete
            ? putKey(Each.Key, doneValue(Each.Identity), this->Lease)
            : deleteKey(Each.Key));
  }
  const Result<TransactionOutcome> Outcome = this->Store.commit(Wanted);
  if (!Outcome) {
    if (Outcome.error().Code == ErrorCode::NotFound)
      this->Lease = 0;
    return false;
  }
  this->Waits.reset();
  if (Outcome->Succeeded || Batch.size() == 1)
    return true;
  const auto Middle =
      Batch.begin() + static_cast<std::ptrdiff_t>(Batch.size() / 2);
  const bool First = this->settle({Batch.begin(), Middle});
  return this->settle({Middle, Batch.end()}) && First;
}

Poco::JSON::Object::Ptr RunRecordWriter::dump() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("waiting", this->Waiting.size());
  Dump->set("settlements", this->Settlements.size());
  Dump->set("settlementsDropped", this->SettlementsDropped);
  Dump->set("transactions", this->Transactions);
  Dump->set("inDoubt", this->InDoubt);
  for (const auto &[Verdict, Name] : RunVerdictNames) {
    const auto Place = this->Verdicts.find(Verdict);
    Dump->set(std::string(Name),
              Place == this->Verdicts.end() ? 0 : Place->second);
  }
  return Dump;
}

} // namespace parsleywing
