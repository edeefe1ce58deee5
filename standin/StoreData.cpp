#include "standin/StoreData.h"

#include <algorithm>

namespace parsleywing::standin {

void StoreData::advance(TimePoint Now) {
  std::vector<LeaseId> Expired;
  for (const auto &[Id, HeldLease] : this->Leases)
    if (Now >= HeldLease.ExpiresAt)
      Expired.push_back(Id);
  for (const LeaseId Id : Expired)
    this->revoke(Id);
}

StoreRange StoreData::range(const std::string &Key, const std::string &End,
                            bool Stale) const {
  const auto &Source = Stale ? this->StaleSnapshot : this->Entries;
  StoreRange Result;
  Result.ReadRevision = this->CurrentRevision;
  if (End.empty()) {
    if (const auto Position = Source.find(Key); Position != Source.end())
      Result.Entries.push_back(Position->second);
    return Result;
  }
  for (auto Position = Source.lower_bound(Key); Position != Source.end();
       ++Position) {
    if (End != std::string(1, '\0') && Position->first >= End)
      break;
    Result.Entries.push_back(Position->second);
  }
  return Result;
}

void StoreData::write(const StoreOperation &Operation) {
  StoreEntry &Entry = this->Entries[Operation.Key];
  Entry.Key = Operation.Key;
  Entry.Value = Operation.Value;
  if (Entry.Version == 0)
    Entry.CreateRevision = this->CurrentRevision;
  Entry.ModRevision = this->CurrentRevision;
  ++Entry.Version;
  Entry.Lease = Operation.Lease;
  this->Changes.push_back({false, Entry});
}

void StoreData::remove(const std::string &Key) {
  if (this->Entries.erase(Key) == 0)
    return;
  StoreEntry Deleted;
  Deleted.Key = Key;
  Deleted.ModRevision = this->CurrentRevision;
  this->Changes.push_back({true, Deleted});
}

Revision StoreData::put(const StoreOperation &Operation) {
  ++this->CurrentRevision;
  this->write(Operation);
  return this->CurrentRevision;
}

bool StoreData::isSatisfied(const StoreCompare &Compare) const {
  const auto Position = this->Entries.find(Compare.Key);
  const bool Exists = Position != this->Entries.end();
  switch (Compare.Target) {
  case CompareTarget::CreateRevision:
    return (Exists ? Position->second.CreateRevision : 0) ==
           Compare.ExpectedRevision;
  case CompareTarget::ModRevision:
    return (Exists ? Position->second.ModRevision : 0) ==
           Compare.ExpectedRevision;
  case CompareTarget::Value:
    return Exists && Position->second.Value == Compare.ExpectedValue;
  }
  return false;
}

TransactionOutcome StoreData::commit(const StoreTransaction &Transaction,
                                     bool Stale) {
  TransactionOutcome Outcome;
  Outcome.Succeeded =
      std::all_of(Transaction.Conditions.begin(), Transaction.Conditions.end(),
                  [&](const StoreCompare &C) { return this->isSatisfied(C); });
  const auto &Operations =
      Outcome.Succeeded ? Transaction.Then : Transaction.Else;
  const bool Writes =
      std::any_of(Operations.begin(), Operations.end(),
                  [](const StoreOperation &Operation) {
                    return Operation.Kind != StoreOperationKind::Read;
                  });
  if (Writes)
    ++this->CurrentRevision;
  for (const StoreOperation &Operation : Operations) {
    if (Operation.Kind == StoreOperationKind::Put)
      this->write(Operation);
    else if (Operation.Kind == StoreOperationKind::Delete)
      this->remove(Operation.Key);
    else
      Outcome.Reads.push_back(this->range(Operation.Key, {}, Stale));
  }
  Outcome.CommitRevision = this->CurrentRevision;
  return Outcome;
}

LeaseId StoreData::grant(std::chrono::seconds Ttl, LeaseId RequestedId,
                         TimePoint Now) {
  if (this->Leases.count(RequestedId) > 0)
    return 0;
  const LeaseId Id = RequestedId != 0 ? RequestedId : ++this->LastLease;
  this->Leases[Id] = {Ttl, Now + Ttl};
  return Id;
}

std::chrono::seconds StoreData::keepAlive(LeaseId Id, TimePoint Now) {
  const auto Position = this->Leases.find(Id);
  if (Position == this->Leases.end())
    return std::chrono::seconds(0);
  Position->second.ExpiresAt = Now + Position->second.Ttl;
  return Position->second.Ttl;
}

bool StoreData::revoke(LeaseId Id) {
  if (this->Leases.erase(Id) == 0)
    return false;
  std::vector<std::string> Keys;
  for (const auto &[Key, Entry] : this->Entries)
    if (Entry.Lease == Id)
      Keys.push_back(Key);
  if (!Keys.empty())
    ++this->CurrentRevision;
  for (const std::string &Key : Keys)
    this->remove(Key);
  return true;
}

} // namespace parsleywing::standin
