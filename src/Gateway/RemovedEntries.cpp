#include "Gateway/RemovedEntries.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// With fewer than the servers of a zone, late changes would restore servers of
/// a zone that was lost.
constexpr std::size_t MaxRemoved = 4096;

} // namespace

void RemovedEntries::record(const std::string &Name, Revision At,
                            std::int64_t StartedMs) {
  Removal &Known = this->Removals[Name];
  Known.StartedMs = std::max(Known.StartedMs, StartedMs);
  if (At > Known.At) {
    this->ByRevision.erase({Known.At, Name});
    this->ByRevision.emplace(At, Name);
    Known.At = At;
  }
  if (this->Removals.size() > MaxRemoved)
    this->dropOldest();
}

void RemovedEntries::dropOldest() {
  const auto Oldest = this->ByRevision.begin();
  this->KnownAfter = std::max(this->KnownAfter, Oldest->first);
  this->Removals.erase(Oldest->second);
  this->ByRevision.erase(Oldest);
}

std::vector<std::pair<std::string, Revision>>
RemovedEntries::removedAfter(Revision After) const {
  std::vector<std::pair<std::string, Revision>> Removed;
  for (auto Each = this->ByRevision.lower_bound({After + 1, ""});
       Each != this->ByRevision.end(); ++Each)
    Removed.emplace_back(Each->second, Each->first);
  return Removed;
}

bool RemovedEntries::wasRemovedSince(const std::string &Name,
                                     Revision ModRevision) const {
  const auto Found = this->Removals.find(Name);
  return Found != this->Removals.end() && Found->second.At >= ModRevision;
}

std::int64_t RemovedEntries::startOf(const std::string &Name) const {
  const auto Found = this->Removals.find(Name);
  return Found == this->Removals.end() ? 0 : Found->second.StartedMs;
}

} // namespace parsleywing
