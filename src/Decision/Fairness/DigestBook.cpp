#include "Decision/Fairness/DigestBook.h"

#include <algorithm>

namespace parsleywing {

const DigestBook::Book *DigestBook::find(ServiceId Service) const {
  const auto Found = this->Books.find(Service);
  return Found == this->Books.end() ? nullptr : &Found->second;
}

void DigestBook::take(TimePoint Now, RouterId From,
                      const ServiceDigest &Digest) {
  Book &Of = this->Books[ServiceId{Digest.Service}];
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

void DigestBook::dropGone(const View &Current) {
  for (auto &[Service, Of] : this->Books)
    std::erase_if(Of.Waiting, [&](const Entry &E) {
      return std::ranges::none_of(Current.Members, [&](const Member &M) {
        return M.Router == E.Router;
      });
    });
}

void DigestBook::dropOld(TimePoint Now) {
  for (auto &[Service, Of] : this->Books)
    std::erase_if(Of.Waiting, [&](const Entry &E) {
      return Now > E.Taken + this->Lifetime;
    });
}

std::optional<DigestBook::Behind>
DigestBook::sample(ServiceId Service, std::size_t Count,
                   std::mt19937_64 &Random) const {
  const Book *Of = this->find(Service);
  if (Of == nullptr || Of->Waiting.empty())
    return std::nullopt;
  const std::size_t Known = Of->Waiting.size();
  const bool All = Known <= Count;
  std::optional<Behind> Best;
  for (std::size_t Drawn = 0; Drawn < std::min(Known, Count); ++Drawn) {
    const Entry &E = Of->Waiting[All ? Drawn : Random() % Known];
    if (!Best || E.Tag < Best->Tag)
      Best = Behind{E.Router, E.Tag, E.Starved};
  }
  for (const Entry &E : Of->Waiting)
    if (E.Starved && (!Best || E.Tag < Best->Tag))
      Best = Behind{E.Router, E.Tag, true};
  return Best;
}

void DigestBook::advance(ServiceId Service, RouterId Router, double Step) {
  Book &Of = this->Books[Service];
  const auto Found = std::ranges::find(Of.Waiting, Router,
                                       [](const Entry &E) { return E.Router; });
  if (Found == Of.Waiting.end())
    return;
  Found->Tag += Step;
  Found->Starved = false;
  if (--Found->Waiting == 0)
    Of.Waiting.erase(Found);
}

std::vector<RouterId> DigestBook::waitingAt(ServiceId Service) const {
  std::vector<RouterId> All;
  if (const Book *Of = this->find(Service))
    for (const Entry &E : Of->Waiting)
      All.push_back(E.Router);
  return All;
}

bool DigestBook::anyWaiting(ServiceId Service) const {
  const Book *Of = this->find(Service);
  return Of != nullptr && !Of->Waiting.empty();
}

std::optional<double> DigestBook::lowest(ServiceId Service) const {
  const Book *Of = this->find(Service);
  if (Of == nullptr || Of->Waiting.empty())
    return std::nullopt;
  return std::ranges::min_element(Of->Waiting, {}, &Entry::Tag)->Tag;
}

std::optional<double> DigestBook::median(ServiceId Service) const {
  const Book *Of = this->find(Service);
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

double DigestBook::idleTime(ServiceId Service) const {
  const Book *Of = this->find(Service);
  return Of == nullptr ? 0 : Of->IdleTime;
}

} // namespace parsleywing
