#include "standin/StoreData.h"

#include <algorithm>

namespace parsleywing::standin {

void StoreData::advance(TimePoint Now) {
  std::vector<LeaseId> Lapsed;
  for (const auto &[Identity, Held] : this->Leases)
    if (Now >= Held.Lapses)
      Lapsed.push_back(Identity);
  for (const LeaseId Identity : Lapsed)
    this->revoke(Identity);
}

StoreRange StoreData::range(const std::string &Key, const std::string &End,
                            bool Stale) const {
  const auto &Source = Stale ? this->Frozen : this->Entries;
  StoreRange Found;
  Found.ReadRevision = this->Current;
  if (End.empty()) {
    if (const auto Place = Source.find(Key); Place != Source.end())
      Found.Entries.push_back(Place->second);
    return Found;
  }
  for (auto Place = Source.lower_bound(Key); Place != Source.end(); ++Place) {
    if (End != std::string(1, '\0') && Place->first >= End)
      break;
    Found.Entries.push_back(Place->second);
  }
  return Found;
}

void StoreData::write(const StoreOperation &Step) {
  StoreEntry &Entry = this->Entries[Step.Key];
  Entry.Key = Step.Key;
  Entry.Value = Step.Value;
  if (Entry.Version == 0)
    Entry.CreateRevision = this->Current;
  Entry.ModRevision = this->Current;
  ++Entry.Version;
  Entry.Lease = Step.Lease;
  this->Changes.push_back({false, Entry});
}

void StoreData::remove(const std::string &Key) {
  if (this->Entries.erase(Key) == 0)
    return;
  StoreEntry Gone;
  Gone.Key = Key;
  Gone.ModRevision = this->Current;
  this->Changes.push_back({true, Gone});
}

Revision StoreData::put(const StoreOperation &Step) {
  ++this->Current;
  this->write(Step);
  return this->Current;
}

bool StoreData::holds(const StoreCompare &Compare) const {
  const auto Place = this->Entries.find(Compare.Key);
  const bool Present = Place != this->Entries.end();
  switch (Compare.Target) {
  case CompareTarget::CreateRevision:
    return (Present ? Place->second.CreateRevision : 0) ==
           Compare.ExpectedRevision;
  case CompareTarget::ModRevision:
    return (Present ? Place->second.ModRevision : 0) ==
           Compare.ExpectedRevision;
  case CompareTarget::Value:
    return Present && Place->second.Value == Compare.ExpectedValue;
  }
  return false;
}

TransactionOutcome StoreData::commit(const StoreTransaction &Transaction,
                                     bool Stale) {
  TransactionOutcome Outcome;
  Outcome.Succeeded =
      std::all_of(Transaction.Conditions.begin(), Transaction.Conditions.end(),
                  [&](const StoreCompare &C) { return this->holds(C); });
  const auto &Steps = Outcome.Succeeded ? Transaction.Then : Transaction.Else;
  const bool Writes =
      std::any_of(Steps.begin(), Steps.end(), [](const StoreOperation &Step) {
        return Step.Kind != StoreOperationKind::Read;
      });
  if (Writes)
    ++this->Current;
  for (const StoreOperation &Step : Steps) {
    if (Step.Kind == StoreOperationKind::Put)
      this->write(Step);
    else if (Step.Kind == StoreOperationKind::Delete)
      this->remove(Step.Key);
    else
      Outcome.Reads.push_back(this->range(Step.Key, {}, Stale));
  }
  Outcome.CommitRevision = this->Current;
  return Outcome;
}

LeaseId StoreData::grant(std::chrono::seconds Life, LeaseId Wanted,
                         TimePoint Now) {
  if (this->Leases.count(Wanted) > 0)
    return 0;
  const LeaseId Identity = Wanted != 0 ? Wanted : ++this->NextLease;
  this->Leases[Identity] = {Life, Now + Life};
  return Identity;
}

std::chrono::seconds StoreData::keepAlive(LeaseId Identity, TimePoint Now) {
  const auto Place = this->Leases.find(Identity);
  if (Place == this->Leases.end())
    return std::chrono::seconds(0);
  Place->second.Lapses = Now + Place->second.Life;
  return Place->second.Life;
}

bool StoreData::revoke(LeaseId Identity) {
  if (this->Leases.erase(Identity) == 0)
    return false;
  std::vector<std::string> Keys;
  for (const auto &[Key, Entry] : this->Entries)
    if (Entry.Lease == Identity)
      Keys.push_back(Key);
  if (!Keys.empty())
    ++this->Current;
  for (const std::string &Key : Keys)
    this->remove(Key);
  return true;
}

} // namespace parsleywing::standin
