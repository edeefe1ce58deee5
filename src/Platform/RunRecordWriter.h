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

/// Whether a non-repeatable request may be sent now.
enum class RunVerdict {
  Claimed,      ///< This claim owns the record: send the request, once.
  TakenByOther, ///< Another claim owns it: the request may have run.
  Unavailable,  ///< Not claimed: never send it. The request has not run.
};

inline constexpr EnumNames<RunVerdict, 3> RunVerdictNames{{
    {RunVerdict::Claimed, "claimed"},
    {RunVerdict::TakenByOther, "taken-by-other"},
    {RunVerdict::Unavailable, "unavailable"},
}};

struct RunRecordSettings {
  std::string Prefix = "runs/";
  /// Identifies this process: the router and its incarnation.
  std::string WriterId;
  /// Minimum time that a record is kept. A key that is repeated later counts as
  /// a new request.
  std::chrono::seconds MinRecordLifetime = std::chrono::hours(24);
  /// Interval at which a new lease is started; all records in between share
  /// one lease.
  std::chrono::seconds LeaseRotationInterval = std::chrono::hours(1);
  /// Time for which claims are collected into one transaction.
  Duration BatchDelay = std::chrono::milliseconds(2);
  /// At most 120: the service accepts 128 operations in one transaction.
  std::size_t MaxBatchSize = 100;
  /// A claim without a verdict after this time is Unavailable.
  Duration ClaimTimeout = std::chrono::seconds(2);
  /// Maximum number of queued claims; further ones are Unavailable at once.
  /// Also the maximum number of queued record updates.
  std::size_t MaxPending = 10000;
  /// Seed of the random lease IDs; zero picks a random seed.
  std::uint64_t Seed = 0;
};

/// Records in the platform's store which claim may run each non-repeatable
/// request. Each claim carries a globally unique identity. Claims are batched:
/// all claims of a batch share one conditional write.
///
/// If a response is lost after its write took effect, the same transaction is
/// sent again; its reads then show the claim's own identity, and the verdict is
/// Claimed. A write whose response is missing may also still be in transit and
/// arrive much later. Therefore every claim compares the revision of a guard
/// key of this writer, and after a missing response the writer first writes the
/// guard key again: writes still in transit can then no longer take effect, and
/// the next read is final.
///
/// If the store is unreachable until the claim times out, the claim is
/// Unavailable and its request must not be sent. Any record it left is deleted
/// as soon as the store is reachable and the guard key is rewritten. Until then
/// a retry may get TakenByOther; two claims never both get Claimed. If this
/// process dies first, the record stays until its lease expires; on an orderly
/// shutdown the writer waits up to two seconds for the store to accept the
/// pending updates.
class RunRecordWriter {
public:
  /// Called once for each claim, on the writer's thread.
  using Callback = std::function<void(RunVerdict)>;

  RunRecordWriter(RunRecordSettings R, StoreSettings S,
                  std::shared_ptr<StoreBudget> B, Clock C);
  /// Reports Unavailable for every claim that is still queued.
  ~RunRecordWriter();

  RunRecordWriter(const RunRecordWriter &) = delete;
  RunRecordWriter &operator=(const RunRecordWriter &) = delete;

  /// Claims the record of the account's key. Thread-safe.
  void claim(AccountId Account, const std::string &Key,
             const std::string &Identity, Callback OnVerdict);

  /// Marks a claimed record as done, so that a retry learns that the request
  /// ran. Best effort: the update is lost if the store is unreachable for long.
  void complete(AccountId Account, const std::string &Key,
                const std::string &Identity);

  /// Deletes a claimed record whose request certainly did not run, so that a
  /// retry may run. Delayed while the store is unreachable.
  void release(AccountId Account, const std::string &Key,
               const std::string &Identity);

  Poco::JSON::Object::Ptr dump() const;

private:
  struct Claim {
    std::string Key;
    std::string Identity;
    Callback OnVerdict;
    TimePoint Deadline;
    /// A transaction with this claim may have taken effect although its
    /// response is missing.
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
  void finish(Claim &Finished, RunVerdict Verdict);
  bool ensureReady();
  bool acquireLease();
  void waitForBackoff();
  /// Writes a batch of pending updates. Returns false if there was none or the
  /// store did not accept it.
  bool flushUpdates();
  void flushUpdatesAtShutdown();
  std::size_t pendingUpdateCount() const;
  /// Returns whether the batch is complete and needs no retry.
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

  // Used by the writer's thread only.
  LeaseId Lease = 0;
  LeaseId PendingLease = 0;
  TimePoint LeaseStartedAt;
  /// Zero if the guard key must be written before the next claim.
  Revision GuardRevision = 0;
  std::mt19937_64 Random;

  std::thread Worker;
};

} // namespace parsleywing

#endif
