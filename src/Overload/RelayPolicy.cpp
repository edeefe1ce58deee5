#include "Overload/RelayPolicy.h"

#include <algorithm>

namespace parsleywing {

void RelayPolicy::recordQuery(const std::string &Router, std::uint64_t Number,
                              bool IsInOwnZone, TimePoint Now) {
  std::erase_if(this->Entries, [Now](const auto &Each) {
    return Now - Each.second.QueriedAt > Validity * 2;
  });
  Entry &Queried = this->Entries[Router];
  Queried.Number = Number;
  Queried.QueriedAt = Now;
  Queried.IsInOwnZone = IsInOwnZone;
  Queried.RelayedAtQuery = Queried.Relayed;
}

void RelayPolicy::recordReport(std::uint64_t Number, double SpareCores,
                               const std::string &Address) {
  const auto Found = std::find_if(
      this->Entries.begin(), this->Entries.end(),
      [Number](const auto &Each) { return Each.second.Number == Number; });
  if (Found == this->Entries.end())
    return;
  Entry &Reported = Found->second;
  Reported.ReportedFor = Reported.QueriedAt;
  Reported.SpareCores = SpareCores;
  Reported.Address = Address;
  Reported.RelayedBefore = Reported.RelayedAtQuery;
}

bool RelayPolicy::mayTake(Candidate Router, TimePoint Now) const {
  const auto &[Name, Each] = *Router;
  if (Each.ReportedFor == TimePoint{} || Now - Each.ReportedFor > Validity ||
      Each.Address.empty() || Each.spareLeft() < ConnectionCores)
    return false;
  const auto Count = this->Open.find(Name);
  return Count == this->Open.end() || Count->second < MaxOpenPerTarget;
}

std::optional<RelayPolicy::Target>
RelayPolicy::choose(Duration Lag, bool IsFromRouter, TimePoint Now) {
  if (IsFromRouter || Lag <= MinLag || this->TotalOpen >= this->MaxOpen)
    return std::nullopt;
  std::vector<Candidate> InOwnZone;
  std::vector<Candidate> Elsewhere;
  for (auto Each = this->Entries.cbegin(); Each != this->Entries.cend(); ++Each)
    if (this->mayTake(Each, Now))
      (Each->second.IsInOwnZone ? InOwnZone : Elsewhere).push_back(Each);
  const std::vector<Candidate> &From =
      InOwnZone.empty() ? Elsewhere : InOwnZone;
  if (From.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Index(0, From.size() - 1);
  const Candidate First = From[Index(this->Random)];
  const Candidate Second = From[Index(this->Random)];
  const Candidate Better =
      First->second.spareLeft() >= Second->second.spareLeft() ? First : Second;
  return Target{Better->first, Better->second.Address};
}

void RelayPolicy::recordOpened(const std::string &Router) {
  ++this->TotalOpen;
  ++this->Open[Router];
  const auto Found = this->Entries.find(Router);
  if (Found != this->Entries.end())
    ++Found->second.Relayed;
}

void RelayPolicy::recordEnded(const std::string &Router) {
  const auto Found = this->Open.find(Router);
  if (Found == this->Open.end())
    return;
  --this->TotalOpen;
  if (--Found->second == 0)
    this->Open.erase(Found);
}

void RelayPolicy::recordUnreachable(const std::string &Router) {
  const auto Found = this->Entries.find(Router);
  if (Found != this->Entries.end())
    Found->second.ReportedFor = {};
}

} // namespace parsleywing
