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

/// Settings of a client of the platform's key-value service.
struct StoreSettings {
  /// Numeric host and port of the service.
  std::string Address;
  /// Time from the start of a call to the end of its response.
  Duration CallTimeout = std::chrono::seconds(1);
  /// A connection that was idle for longer is replaced instead of reused.
  Duration MaxIdleTime = std::chrono::milliseconds(500);
};

/// Typed calls to the platform's key-value service over one HTTP connection
/// (the etcd v3 JSON gateway). Each call blocks for at most the call timeout.
/// Not thread-safe; use one client per thread. The error tells whether the call
/// may have taken effect: with `Unreachable`, `LimitExceeded` and `Refused` it
/// did not; with `TimedOut`, `Interrupted` and `Malformed` it may have.
///
/// Calls are never retried automatically: writes carry conditions by which the
/// code that sends them recognises their effect.
class StoreClient {
public:
  StoreClient(StoreSettings S, std::shared_ptr<StoreBudget> B, Clock C);

  /// Reads one key.
  Result<StoreRange> get(const std::string &Key);

  /// Reads all keys that start with the prefix, without their values if
  /// `KeysOnly` is set.
  Result<StoreRange> getPrefix(const std::string &Prefix,
                               bool KeysOnly = false);

  /// Writes unconditionally. Returns the revision of the write.
  Result<Revision> put(const std::string &Key, const std::string &Value,
                       LeaseId Lease = 0);

  /// Executes a transaction, which compares and writes several keys atomically.
  Result<TransactionOutcome> commit(const StoreTransaction &Transaction);

  /// Creates a lease. With a requested ID (not zero), a grant whose response
  /// was lost can be recovered by a keep-alive for that ID.
  Result<LeaseId> grantLease(std::chrono::seconds Ttl, LeaseId RequestedId = 0);

  /// Returns the new remaining TTL, or `NotFound` if the lease has expired.
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
