#ifndef PARSLEYWING_PLATFORM_STORETYPES_H
#define PARSLEYWING_PLATFORM_STORETYPES_H

#include <cstdint>
#include <string>
#include <vector>

namespace parsleywing {

/// A revision of the platform's key-value service; each write has a higher one.
using Revision = std::int64_t;

/// Names a lease of the service; zero is none.
using LeaseId = std::int64_t;

/// A key as the service holds it.
struct StoreEntry {
  std::string Key;
  std::string Value;
  Revision CreateRevision = 0;
  Revision ModRevision = 0;
  std::int64_t Version = 0;
  LeaseId Lease = 0;
};

/// What a read found, and the revision at which the service read it.
struct StoreRange {
  std::vector<StoreEntry> Entries;
  Revision ReadRevision = 0;
};

/// What a condition of a transaction looks at. An absent key has the revision
/// zero and equals no value.
enum class CompareTarget { CreateRevision, ModRevision, Value };

/// One condition of a transaction: equality only.
struct StoreCompare {
  std::string Key;
  CompareTarget Target = CompareTarget::ModRevision;
  Revision ExpectedRevision = 0;
  std::string ExpectedValue;
};

/// Holds where the key does not exist.
inline StoreCompare keyAbsent(std::string Key) {
  return {std::move(Key), CompareTarget::CreateRevision, 0, {}};
}

/// Holds where the key was last written at this revision; zero is absent.
inline StoreCompare keyModRevisionIs(std::string Key, Revision At) {
  return {std::move(Key), CompareTarget::ModRevision, At, {}};
}

/// Holds where the key was created at this revision: a fencing number.
inline StoreCompare keyCreateRevisionIs(std::string Key, Revision At) {
  return {std::move(Key), CompareTarget::CreateRevision, At, {}};
}

/// Holds where the key has this value.
inline StoreCompare keyValueIs(std::string Key, std::string Value) {
  return {std::move(Key), CompareTarget::Value, 0, std::move(Value)};
}

/// What a step of a transaction does.
enum class StoreOperationKind { Put, Delete, Read };

/// One step of a transaction.
struct StoreOperation {
  StoreOperationKind Kind = StoreOperationKind::Put;
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
};

/// Writes the key, under a lease where one is given.
inline StoreOperation putKey(std::string Key, std::string Value,
                             LeaseId Lease = 0) {
  return {StoreOperationKind::Put, std::move(Key), std::move(Value), Lease};
}

inline StoreOperation deleteKey(std::string Key) {
  return {StoreOperationKind::Delete, std::move(Key), {}, 0};
}

inline StoreOperation readKey(std::string Key) {
  return {StoreOperationKind::Read, std::move(Key), {}, 0};
}

/// All conditions hold: `Then` is done; else `Otherwise`. Either whole, at one
/// revision. At most 128 of each, the service's own default limit.
struct StoreTransaction {
  std::vector<StoreCompare> Conditions;
  std::vector<StoreOperation> Then;
  std::vector<StoreOperation> Else;
};

/// How a transaction went, with what its reads found, in their order.
struct TransactionOutcome {
  bool Succeeded = false;
  Revision CommitRevision = 0;
  std::vector<StoreRange> Reads;
};

/// A change of one key. A deletion has no value and its own revision.
struct StoreChange {
  bool Deleted = false;
  StoreEntry Entry;
};

/// The end of the range of all keys that start with the prefix, as the
/// protocol names it.
std::string prefixRangeEnd(std::string Prefix);

} // namespace parsleywing

#endif
