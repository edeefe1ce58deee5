#include "Decision/Fairness/DigestTable.h"

#include <algorithm>

namespace parsleywing {

const DigestTable::ServiceDigests *DigestTable::find(ServiceId Service) const {
  const auto Found = this->DigestsByService.find(Service);
  return Found == this->DigestsByService.end() ? nullptr : &Found->second;
}

void DigestTable::update(TimePoint Now, RouterId From,
                         const ServiceDigest &Digest) {
  ServiceDigests &Of = this->DigestsByService[ServiceId{Digest.Service}];
  const auto Found = std::ranges::find(Of.Waiting, From,
                                       [](const Entry &E) { return E.Router; });
  if (Digest.Waiting == 0) {
    Of.IdleTime = std::max(Of.IdleTime, Digest.LowestTag);
    if (Found != Of.Waiting.end())
      Of.Waiting.erase(Found);
    return;
  }
  const auto Waiting = static_cast<std::uint16_t>(Digest.Waiting & ~StarvedBit);
  const Entry New{From, Digest.LowestTag, Waiting,
                  (Digest.Waiting & StarvedBit) != 0, Now};
  if (Found == Of.Waiting.end())
    Of.Waiting.push_back(New);
  else
    *Found = New;
}

void DigestTable::dropGone(const View &Current) {
  for (auto &[Service, Of] : this->DigestsByService)
    std::erase_if(Of.Waiting, [&](const Entry &E) {
      return std::ranges::none_of(Current.Members, [&](const Member &M) {
        return M.Router == E.Router;
      });
    });
}

void DigestTable::dropOld(TimePoint Now) {
  for (auto &[Service, Of] : this->DigestsByService)
    std::erase_if(Of.Waiting, [&](const Entry &E) {
      return Now > E.Taken + this->Lifetime;
    });
}

std::optional<DigestTable::Candidate>
DigestTable::sample(ServiceId Service, std::size_t Count,
                    std::mt19937_64 &Random) const {
  const ServiceDigests *Of = this->find(Service);
  if (Of == nullptr || Of->Waiting.empty())
    return std::nullopt;
  const std::size_t Known = Of->Waiting.size();
  const bool All = Known <= Count;
  std::optional<Candidate> Best;
  for (std::size_t Drawn = 0; Drawn < std::min(Known, Count); ++Drawn) {
    const Entry &E = Of->Waiting[All ? Drawn : Random() % Known];
    if (!Best || E.Tag < Best->Tag)
      Best = Candidate{E.Router, E.Tag, E.Starved};
  }
  for (const Entry &E : Of->Waiting)
    if (E.Starved && (!Best || E.Tag < Best->Tag))
      Best = Candidate{E.Router, E.Tag, true};
  return Best;
}

void DigestTable::advance(ServiceId Service, RouterId Router, double Step) {
  ServiceDigests &Of = this->DigestsByService[Service];
  const auto Found = std::ranges::find(Of.Waiting, Router,
                                       [](const Entry &E) { return E.Router; });
  if (Found == Of.Waiting.end())
    return;
  Found->Tag += Step;
  Found->Starved = false;
  if (--Found->Waiting == 0)
    Of.Waiting.erase(Found);
}

std::vector<RouterId> DigestTable::waitingAt(ServiceId Service) const {
  std::vector<RouterId> All;
  if (const ServiceDigests *Of = this->find(Service))
    for (const Entry &E : Of->Waiting)
      All.push_back(E.Router);
  return All;
}

bool DigestTable::anyWaiting(ServiceId Service) const {
  const ServiceDigests *Of = this->find(Service);
  return Of != nullptr && !Of->Waiting.empty();
}

std::optional<double> DigestTable::lowest(ServiceId Service) const {
  const ServiceDigests *Of = this->find(Service);
  if (Of == nullptr || Of->Waiting.empty())
    return std::nullopt;
  return std::ranges::min_element(Of->Waiting, {}, &Entry::Tag)->Tag;
}

std::optional<double> DigestTable::median(ServiceId Service) const {
  const ServiceDigests *Of = this->find(Service);
  if (Of == nullptr || Of->Waiting.empty())
    return std::nullopt;
  std::vector<double> Tags;
  for (const Entry &E : Of->Waiting)
    Tags.push_back(E.Tag);
  const auto Middle =
      Tags.begin() + static_cast<std::ptrdiff_t>(Tags.size() / 2);
  std::ranges::nth_element(Tags, Middle);
  return *Middle;
}

double DigestTable::idleTime(ServiceId Service) const {
  const ServiceDigests *Of = this->find(Service);
  return Of == nullptr ? 0 : Of->IdleTime;
}

} // namespace parsleywing
