#ifndef PARSLEYWING_PLATFORM_STORECLIENT_H
#define PARSLEYWING_PLATFORM_STORECLIENT_H

#include "Platform/StoreBudget.h"
#include "Platform/StoreConnection.h"
#include "Platform/StoreTypes.h"
#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <Poco/JSON/Object.h>
#include <memory>
#include <string>

namespace parsleywing {

/// How one router calls the platform's key-value service.
struct StoreSettings {
  /// Numeric host and port of the service.
  std::string Address;
  /// Time for a call from its start to the end of its answer.
  Duration CallTimeout = std::chrono::seconds(1);
  /// A connection idle for longer is not used again, but replaced.
  Duration MaxIdleTime = std::chrono::milliseconds(500);
};

/// Typed calls on the platform's key-value service over one HTTP connection
/// (the etcd v3 JSON gateway). Each call blocks for at most the deadline. For
/// one thread; make one client for each. Failures say what may have happened:
/// `Unreachable`, `LimitExceeded` and `Refused` mean that the call took no
/// effect; `TimedOut`, `Interrupted` and `Malformed` that it may have.
///
/// Nothing is sent again by itself: the callers' writes carry conditions that
/// let them recognise their own effect.
class StoreClient {
public:
  StoreClient(StoreSettings S, std::shared_ptr<StoreBudget> B, Clock C);

  /// Reads one key.
  Result<StoreRange> get(const std::string &Key);

  /// Reads all keys that start with the prefix; without their values where
  /// `KeysOnly`.
  Result<StoreRange> getPrefix(const std::string &Prefix,
                               bool KeysOnly = false);

  /// Writes without a condition. Returns the revision of the write.
  Result<Revision> put(const std::string &Key, const std::string &Value,
                       LeaseId Lease = 0);

  /// Compares and swaps many keys at one revision.
  Result<TransactionOutcome> commit(const StoreTransaction &Transaction);

  /// Begins a lease. With an identity chosen by the caller (not zero) a grant
  /// whose reply was lost can be found again by keeping it alive.
  Result<LeaseId> grantLease(std::chrono::seconds Life, LeaseId Wanted = 0);

  /// Returns the new remaining life; `NotFound` where the lease has lapsed.
  Result<std::chrono::seconds> keepLeaseAlive(LeaseId Lease);
  Result<void> revokeLease(LeaseId Lease);

private:
  Result<Poco::JSON::Object::Ptr> call(StoreCall Kind, const std::string &Path,
                                       const std::string &Body);
  Result<void> waitForBudget(StoreCall Kind, TimePoint Deadline);

  StoreSettings Settings;
  std::shared_ptr<StoreBudget> Budget;
  Clock Time;
  StoreConnection Connection;
};

} // namespace parsleywing

#endif
