#include "Decision/Fairness/DigestTable.h"

#include <algorithm>

namespace parsleywing {

const DigestTable::ServiceDigests *DigestTable::find(ServiceId Service) const {
  const auto Found = this->DigestsByService.find(Service);
  return Found == this->DigestsByService.end() ? nullptr : &Found->second;
}

void DigestTable::update(TimePoint Now, RouterId From,
                         const ServiceDigest &Digest) {
  ServiceDigests &Known = this->DigestsByService[ServiceId{Digest.Service}];
  const auto Found = std::ranges::find(Known.Entries, From,
                                       [](const Entry &E) { return E.Router; });
  if (Digest.Waiting == 0) {
    Known.IdleVirtualTime = std::max(Known.IdleVirtualTime, Digest.LowestTag);
    if (Found != Known.Entries.end())
      Known.Entries.erase(Found);
    return;
  }
  const auto Waiting = static_cast<std::uint16_t>(Digest.Waiting & ~StarvedBit);
  const Entry New{From, Digest.LowestTag, Waiting,
                  (Digest.Waiting & StarvedBit) != 0, Now};
  if (Found == Known.Entries.end())
    Known.Entries.push_back(New);
  else
    *Found = New;
}

void DigestTable::dropGone(const View &Current) {
  for (auto &[Service, Known] : this->DigestsByService)
    std::erase_if(Known.Entries, [&](const Entry &E) {
      return std::ranges::none_of(Current.Members, [&](const Member &M) {
        return M.Router == E.Router;
      });
    });
}

void DigestTable::dropOld(TimePoint Now) {
  for (auto &[Service, Known] : this->DigestsByService)
    std::erase_if(Known.Entries, [&](const Entry &E) {
      return Now > E.ReceivedAt + this->Lifetime;
    });
}

std::optional<DigestTable::Candidate>
DigestTable::sample(ServiceId Service, std::size_t Count,
                    std::mt19937_64 &Random) const {
  const ServiceDigests *Known = this->find(Service);
  if (Known == nullptr || Known->Entries.empty())
    return std::nullopt;
  const std::size_t Routers = Known->Entries.size();
  const bool All = Routers <= Count;
  std::optional<Candidate> Best;
  for (std::size_t Drawn = 0; Drawn < std::min(Routers, Count); ++Drawn) {
    const Entry &E = Known->Entries[All ? Drawn : Random() % Routers];
    if (!Best || E.Tag < Best->Tag)
      Best = Candidate{E.Router, E.Tag, E.Starved};
  }
  for (const Entry &E : Known->Entries)
    if (E.Starved && (!Best || E.Tag < Best->Tag))
      Best = Candidate{E.Router, E.Tag, true};
  return Best;
}

void DigestTable::advance(ServiceId Service, RouterId Router, double Step) {
  ServiceDigests &Known = this->DigestsByService[Service];
  const auto Found = std::ranges::find(Known.Entries, Router,
                                       [](const Entry &E) { return E.Router; });
  if (Found == Known.Entries.end())
    return;
  Found->Tag += Step;
  Found->Starved = false;
  if (--Found->Waiting == 0)
    Known.Entries.erase(Found);
}

std::vector<RouterId> DigestTable::waitingAt(ServiceId Service) const {
  std::vector<RouterId> All;
  if (const ServiceDigests *Known = this->find(Service))
    for (const Entry &E : Known->Entries)
      All.push_back(E.Router);
  return All;
}

bool DigestTable::anyWaiting(ServiceId Service) const {
  const ServiceDigests *Known = this->find(Service);
  return Known != nullptr && !Known->Entries.empty();
}

std::optional<double> DigestTable::lowest(ServiceId Service) const {
  const ServiceDigests *Known = this->find(Service);
  if (Known == nullptr || Known->Entries.empty())
    return std::nullopt;
  return std::ranges::min_element(Known->Entries, {}, &Entry::Tag)->Tag;
}

std::optional<double> DigestTable::median(ServiceId Service) const {
  const ServiceDigests *Known = this->find(Service);
  if (Known == nullptr || Known->Entries.empty())
    return std::nullopt;
  std::vector<double> Tags;
  for (const Entry &E : Known->Entries)
    Tags.push_back(E.Tag);
  const auto Middle =
      Tags.begin() + static_cast<std::ptrdiff_t>(Tags.size() / 2);
  std::ranges::nth_element(Tags, Middle);
  return *Middle;
}

double DigestTable::idleTime(ServiceId Service) const {
  const ServiceDigests *Known = this->find(Service);
  return Known == nullptr ? 0 : Known->IdleVirtualTime;
}

} // namespace parsleywing
