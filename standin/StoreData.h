#ifndef PARSLEYWING_STANDIN_STOREDATA_H
#define PARSLEYWING_STANDIN_STOREDATA_H

#include "Platform/StoreTypes.h"
#include "Runtime/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleywing::standin {

/// The keys, leases and changes of the store's stand-in, held in memory. Not
/// thread-safe; the stand-in locks a mutex around each call.
class StoreData {
public:
  /// Revokes expired leases. Must be called before every other call.
  void advance(TimePoint Now);

  StoreRange range(const std::string &Key, const std::string &End,
                   bool Stale) const;
  Revision put(const StoreOperation &Operation);
  TransactionOutcome commit(const StoreTransaction &Transaction, bool Stale);

  /// Grants a lease with the requested ID, or with a new one if that is zero.
  /// Returns zero if the ID is in use.
  LeaseId grant(std::chrono::seconds Ttl, LeaseId RequestedId, TimePoint Now);
  /// Renews a lease and returns its TTL, or zero if the lease is unknown or has
  /// expired.
  std::chrono::seconds keepAlive(LeaseId Lease, TimePoint Now);
  bool revoke(LeaseId Lease);
  bool hasLease(LeaseId Lease) const { return this->Leases.count(Lease) > 0; }

  /// All changes since the start, oldest first. Never compacted.
  const std::vector<StoreChange> &changes() const { return this->Changes; }
  Revision revision() const { return this->CurrentRevision; }

  /// Captures the current entries; stale reads return them from now on.
  void captureStaleSnapshot() { this->StaleSnapshot = this->Entries; }

private:
  struct Lease {
    std::chrono::seconds Ttl;
    TimePoint ExpiresAt;
  };

  bool isSatisfied(const StoreCompare &Compare) const;
  void write(const StoreOperation &Operation);
  void remove(const std::string &Key);

  std::map<std::string, StoreEntry> Entries;
  std::map<std::string, StoreEntry> StaleSnapshot;
  std::map<LeaseId, Lease> Leases;
  std::vector<StoreChange> Changes;
  Revision CurrentRevision = 1;
  LeaseId LastLease = 1000;
};

} // namespace parsleywing::standin

#endif
