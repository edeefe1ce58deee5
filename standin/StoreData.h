#ifndef PARSLEYWING_STANDIN_STOREDATA_H
#define PARSLEYWING_STANDIN_STOREDATA_H

#include "Platform/StoreTypes.h"
#include "Runtime/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleywing::standin {

/// The keys, leases and changes of the store's stand-in, in memory. Not safe
/// from several threads: the stand-in locks around it.
class StoreData {
public:
  /// Lets leases lapse that are due. Called before every other call.
  void advance(TimePoint Now);

  StoreRange range(const std::string &Key, const std::string &End,
                   bool Stale) const;
  Revision put(const StoreOperation &Step);
  TransactionOutcome commit(const StoreTransaction &Transaction, bool Stale);

  /// Zero where the wanted identity is in use.
  LeaseId grant(std::chrono::seconds Life, LeaseId Wanted, TimePoint Now);
  /// Zero where the lease is unknown or has lapsed.
  std::chrono::seconds keepAlive(LeaseId Lease, TimePoint Now);
  bool revoke(LeaseId Lease);
  bool knowsLease(LeaseId Lease) const { return this->Leases.count(Lease) > 0; }

  /// Changes since the start, the oldest first; never shortened.
  const std::vector<StoreChange> &changes() const { return this->Changes; }
  Revision revision() const { return this->Current; }

  /// From here on stale reads see the keys as they are now.
  void freezeStaleReads() { this->Frozen = this->Entries; }

private:
  struct Lease {
    std::chrono::seconds Life;
    TimePoint Lapses;
  };

  bool holds(const StoreCompare &Compare) const;
  void write(const StoreOperation &Step);
  void remove(const std::string &Key);

  std::map<std::string, StoreEntry> Entries;
  std::map<std::string, StoreEntry> Frozen;
  std::map<LeaseId, Lease> Leases;
  std::vector<StoreChange> Changes;
  Revision Current = 1;
  LeaseId NextLease = 1000;
};

} // namespace parsleywing::standin

#endif
