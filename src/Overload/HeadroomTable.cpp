#include "Overload/HeadroomTable.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// A router that has not replied after this time is taken for unreachable. The
/// loop of a router that lacks processor time is up to 0.1 s late.
constexpr Duration ReplyTime = std::chrono::milliseconds(150);
/// One or two routers may be stopped; a cut link silences all.
constexpr int MinSilentRouters = 3;
/// Entries are kept for longer than reports are valid, so that a router that is
/// queried once per second still counts as silent.
constexpr Duration EntryLifetime = HeadroomTable::Validity * 2;

} // namespace

void HeadroomTable::recordQuery(const std::string &Router, std::uint64_t Number,
                                bool IsElsewhere, TimePoint Now) {
  std::erase_if(this->Entries, [Now](const auto &Each) {
    return Now - Each.second.QueriedAt > EntryLifetime;
  });
  Entry &Queried = this->Entries[Router];
  Queried.Number = Number;
  Queried.QueriedAt = Now;
  Queried.IsElsewhere = IsElsewhere;
  Queried.RedirectedAtQuery = this->RedirectedSeconds;
}

void HeadroomTable::recordReport(std::uint64_t Number, double SpareCores) {
  const auto Found = std::find_if(
      this->Entries.begin(), this->Entries.end(),
      [Number](const auto &Each) { return Each.second.Number == Number; });
  if (Found == this->Entries.end())
    return;
  Entry &Reported = Found->second;
  Reported.ReportedFor = Reported.QueriedAt;
  Reported.SpareCores = SpareCores;
  Reported.RedirectedBefore = Reported.RedirectedAtQuery;
}

double HeadroomTable::spareCores(TimePoint Now) const {
  const auto Fresh = static_cast<double>(this->freshCount(Now));
  double Spare = 0;
  for (const auto &[Name, Each] : this->Entries)
    if (Each.isFresh(Now))
      Spare += std::max(
          0.0, Each.SpareCores -
                   (this->RedirectedSeconds - Each.RedirectedBefore) / Fresh);
  return Spare;
}

bool HeadroomTable::isCutOff(TimePoint Now) const {
  int Silent = 0;
  for (const auto &[Name, Each] : this->Entries) {
    if (!Each.IsElsewhere)
      continue;
    if (Each.isFresh(Now))
      return false;
    if (Each.ReportedFor != Each.QueriedAt && Now - Each.QueriedAt > ReplyTime)
      ++Silent;
  }
  return Silent >= MinSilentRouters;
}

bool HeadroomTable::isFleetFull(TimePoint Now) const {
  bool AnyFresh = false;
  for (const auto &[Name, Each] : this->Entries) {
    if (Each.isFresh(Now) && Each.SpareCores > 0)
      return false;
    AnyFresh = AnyFresh || Each.isFresh(Now);
  }
  return AnyFresh;
}

std::size_t HeadroomTable::freshCount(TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Entries.begin(), this->Entries.end(),
      [Now](const auto &Each) { return Each.second.isFresh(Now); }));
}

} // namespace parsleywing
