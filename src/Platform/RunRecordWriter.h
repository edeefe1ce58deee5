#ifndef PARSLEYWING_PLATFORM_RUNRECORDWRITER_H
#define PARSLEYWING_PLATFORM_RUNRECORDWRITER_H

#include "Platform/Backoff.h"
#include "Platform/StoreClient.h"
#include "Runtime/Id.h"

#include <Poco/JSON/Object.h>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing {

/// Whether a request that may not be repeated may be sent now.
enum class RunVerdict {
  Claimed,      ///< This claim has the record: send it, once.
  TakenByOther, ///< Another claim has it: the request may have run.
  Unavailable,  ///< Not claimed; never send it. "Not run" is true of it.
};

inline constexpr EnumNames<RunVerdict, 3> RunVerdictNames{{
    {RunVerdict::Claimed, "claimed"},
    {RunVerdict::TakenByOther, "taken-by-other"},
    {RunVerdict::Unavailable, "unavailable"},
}};

struct RunRecordSettings {
  std::string Prefix = "runs/";
  /// Names this process: the router and its incarnation.
  std::string WriterId;
  /// How long a record lasts at least. A caller that repeats its key later is
  /// taken for a new one.
  std::chrono::seconds MinRecordLifetime = std::chrono::hours(24);
  /// A new lease is begun so often; all records in between share one.
  std::chrono::seconds LeaseRotationInterval = std::chrono::hours(1);
  /// Time over which claims are gathered into one transaction.
  Duration BatchDelay = std::chrono::milliseconds(2);
  /// At most 120: the service takes 128 steps in one transaction.
  std::size_t MaxBatchSize = 100;
  /// A claim without a verdict after so long is Unavailable.
  Duration ClaimTimeout = std::chrono::seconds(2);
  /// Claims that may wait; more are Unavailable at once.
  std::size_t MaxPending = 10000;
  /// For the identities of leases; zero draws one.
  std::uint64_t Seed = 0;
};

/// Keeps, in the platform's store, who may run each request that may not be
/// repeated. Each claim carries an identity that no other claim ever has. Many
/// claims share one conditional write; the cost of a claim is one part in the
/// size of the batch, of one write.
///
/// A reply lost after its write took effect: the same transaction is sent
/// again, and its reads show the claim's own identity, which is Claimed. A
/// write whose reply is missing may also still be under way and arrive much
/// later. So every claim compares the revision of a guard key of this writer,
/// and after a missing reply the writer first writes the guard anew: whatever
/// was under way can then no longer take effect, and what the next read shows
/// is final.
///
/// Where the store stays away until the patience ends, the claim is Unavailable
/// and its request must not be sent. What stands of it is deleted as soon as
/// the store is back and the guard is new. Until then a repeat may be told
/// TakenByOther; no two claims are ever told Claimed. If this process dies
/// first, the record lasts to the end of its lease; one that ends in order
/// waits up to two seconds for the store to take what is left.
class RunRecordWriter {
public:
  /// Called once for each claim, on the writer's thread.
  using Callback = std::function<void(RunVerdict)>;

  RunRecordWriter(RunRecordSettings R, StoreSettings S,
                  std::shared_ptr<StoreBudget> B, Clock C);
  /// Every claim that still waits is told Unavailable.
  ~RunRecordWriter();

  RunRecordWriter(const RunRecordWriter &) = delete;
  RunRecordWriter &operator=(const RunRecordWriter &) = delete;

  /// Claims the record of the account's key. Safe from every thread.
  void claim(AccountId Account, const std::string &Key,
             const std::string &Identity, Callback Tell);

  /// Marks a claimed record as finished, so that a repeat can be told that it
  /// ran. Best effort: lost if the store is away for long.
  void complete(AccountId Account, const std::string &Key,
                const std::string &Identity);

  /// Deletes a claimed record whose request certainly did not run, so that a
  /// repeat may. Done later if the store is away.
  void release(AccountId Account, const std::string &Key,
               const std::string &Identity);

  Poco::JSON::Object::Ptr dump() const;

private:
  struct Claim {
    std::string Key;
    std::string Identity;
    Callback OnVerdict;
    TimePoint Deadline;
    /// A transaction with this claim may have taken effect unseen.
    bool OutcomeUnknown = false;
  };
  enum class RecordUpdateKind { Complete, Release };
  struct RecordUpdate {
    RecordUpdateKind Kind;
    std::string Key;
    std::string Identity;
  };

  void run();
  std::vector<Claim> collectBatch();
  void processClaims(std::vector<Claim> Batch);
  void commitClaims(std::vector<Claim> &Batch);
  void resolveClaims(std::vector<Claim> &Batch,
                     const TransactionOutcome &Outcome);
  void dropExpired(std::vector<Claim> &Batch);
  void finish(Claim &Done, RunVerdict Verdict);
  bool ensureReady();
  bool acquireLease();
  void waitForBackoff();
  /// False where the store did not take what waits.
  bool flushUpdates();
  void flushUpdatesAtShutdown();
  std::size_t pendingUpdateCount() const;
  /// Whether the batch needs no further try.
  bool commitUpdates(const std::vector<RecordUpdate> &Batch);
  void queueUpdate(RecordUpdateKind Kind, std::string Key,
                   std::string Identity);
  std::string recordKey(AccountId Account, const std::string &Key) const;
  std::string guardKey() const;

  RunRecordSettings Settings;
  std::shared_ptr<StoreBudget> Budget;
  Clock Time;
  StoreClient Store;
  Backoff RetryBackoff;

  mutable std::mutex Mutex;
  std::condition_variable WorkAvailable;
  std::deque<Claim> PendingClaims;
  std::deque<RecordUpdate> PendingUpdates;
  std::map<RunVerdict, std::uint64_t> VerdictCounts;
  std::uint64_t TransactionCount = 0;
  std::uint64_t UnknownOutcomeCount = 0;
  std::uint64_t DroppedUpdateCount = 0;
  bool Stopping = false;

  // Only the writer's thread uses these.
  LeaseId Lease = 0;
  LeaseId PendingLease = 0;
  TimePoint LeaseStartedAt;
  /// Zero where the guard must be written before the next claim.
  Revision GuardRevision = 0;
  std::mt19937_64 Random;

  std::thread Worker;
};

} // namespace parsleywing

#endif
