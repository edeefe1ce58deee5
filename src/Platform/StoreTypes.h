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
  Revision Created = 0;
  Revision Modified = 0;
  std::int64_t Version = 0;
  LeaseId Lease = 0;
};

/// What a read found, and the revision at which the service read it.
struct StoreRange {
  std::vector<StoreEntry> Entries;
  Revision At = 0;
};

/// What a condition of a transaction looks at. An absent key has the revision
/// zero and equals no value.
enum class CompareTarget { Created, Modified, Value };

/// One condition of a transaction: equality only.
struct StoreCompare {
  std::string Key;
  CompareTarget Target = CompareTarget::Modified;
  Revision Number = 0;
  std::string Value;
};

/// Holds where the key does not exist.
inline StoreCompare keyAbsent(std::string Key) {
  return {std::move(Key), CompareTarget::Created, 0, {}};
}

/// Holds where the key was last written at this revision; zero is absent.
inline StoreCompare keyModifiedAt(std::string Key, Revision At) {
  return {std::move(Key), CompareTarget::Modified, At, {}};
}

/// Holds where the key was created at this revision: a fencing number.
inline StoreCompare keyCreatedAt(std::string Key, Revision At) {
  return {std::move(Key), CompareTarget::Created, At, {}};
}

/// Holds where the key has this value.
inline StoreCompare keyHolds(std::string Key, std::string Value) {
  return {std::move(Key), CompareTarget::Value, 0, std::move(Value)};
}

/// What a step of a transaction does.
enum class StoreStepKind { Put, Delete, Read };

/// One step of a transaction.
struct StoreStep {
  StoreStepKind Kind = StoreStepKind::Put;
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
};

/// Writes the key, under a lease where one is given.
inline StoreStep putKey(std::string Key, std::string Value, LeaseId Lease = 0) {
  return {StoreStepKind::Put, std::move(Key), std::move(Value), Lease};
}

inline StoreStep deleteKey(std::string Key) {
  return {StoreStepKind::Delete, std::move(Key), {}, 0};
}

inline StoreStep readKey(std::string Key) {
  return {StoreStepKind::Read, std::move(Key), {}, 0};
}

/// All conditions hold: `Then` is done; else `Otherwise`. Either whole, at one
/// revision. At most 128 of each, the service's own default limit.
struct StoreTransaction {
  std::vector<StoreCompare> Conditions;
  std::vector<StoreStep> Then;
  std::vector<StoreStep> Otherwise;
};

/// How a transaction went, with what its reads found, in their order.
struct TransactionOutcome {
  bool Succeeded = false;
  Revision At = 0;
  std::vector<StoreRange> Reads;
};

/// A change of one key. A deletion has no value and its own revision.
struct StoreChange {
  bool Deleted = false;
  StoreEntry Entry;
};

/// The end of the range of all keys that start with the prefix, as the
/// protocol names it.
std::string endOfPrefix(std::string Prefix);

} // namespace parsleywing

#endif
