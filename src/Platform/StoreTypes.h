#ifndef PARSLEYWING_PLATFORM_STORETYPES_H
#define PARSLEYWING_PLATFORM_STORETYPES_H

#include <cstdint>
#include <string>
#include <vector>

namespace parsleywing {

/// A revision of the platform's key-value service; it increases with each
/// write.
using Revision = std::int64_t;

/// Identifies a lease of the service; zero means no lease.
using LeaseId = std::int64_t;

/// A key with its value and metadata.
struct StoreEntry {
  std::string Key;
  std::string Value;
  Revision CreateRevision = 0;
  Revision ModRevision = 0;
  std::int64_t Version = 0;
  LeaseId Lease = 0;
};

/// The result of a read, and the revision up to which it has all changes.
struct StoreRange {
  std::vector<StoreEntry> Entries;
  Revision ReadRevision = 0;
};

/// The property of a key that a condition compares. An absent key has the
/// revision zero and equals no value.
enum class CompareTarget { CreateRevision, ModRevision, Value };

/// One condition of a transaction, a test for equality.
struct StoreCompare {
  std::string Key;
  CompareTarget Target = CompareTarget::ModRevision;
  Revision ExpectedRevision = 0;
  std::string ExpectedValue;
};

/// True if the key does not exist.
inline StoreCompare keyAbsent(std::string Key) {
  return {std::move(Key), CompareTarget::CreateRevision, 0, {}};
}

/// True if the key was last written at this revision; zero means absent.
inline StoreCompare keyModRevisionIs(std::string Key, Revision At) {
  return {std::move(Key), CompareTarget::ModRevision, At, {}};
}

/// True if the key was created at this revision, which serves as a fencing
/// number.
inline StoreCompare keyCreateRevisionIs(std::string Key, Revision At) {
  return {std::move(Key), CompareTarget::CreateRevision, At, {}};
}

/// True if the key has this value.
inline StoreCompare keyValueIs(std::string Key, std::string Value) {
  return {std::move(Key), CompareTarget::Value, 0, std::move(Value)};
}

/// The kinds of operations of a transaction.
enum class StoreOperationKind { Put, Delete, Read };

/// One operation of a transaction.
struct StoreOperation {
  StoreOperationKind Kind = StoreOperationKind::Put;
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
};

/// Writes the key, attached to the lease if one is given.
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

/// If all conditions are true, executes `Then`, otherwise `Else`, in either
/// case atomically at one revision. Each list holds at most 128 items, the
/// default limit of the service.
struct StoreTransaction {
  std::vector<StoreCompare> Conditions;
  std::vector<StoreOperation> Then;
  std::vector<StoreOperation> Else;
};

/// The outcome of a transaction, with the results of its reads in order.
struct TransactionOutcome {
  bool Succeeded = false;
  Revision CommitRevision = 0;
  std::vector<StoreRange> Reads;
};

/// A change of one key. The entry of a deletion has no value, and the revision
/// of the deletion.
struct StoreChange {
  bool Deleted = false;
  StoreEntry Entry;
};

/// Returns the protocol's `range_end` for all keys that start with the prefix.
std::string prefixRangeEnd(std::string Prefix);

} // namespace parsleywing

#endif
