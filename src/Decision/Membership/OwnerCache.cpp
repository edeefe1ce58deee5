#include "Decision/Membership/OwnerCache.h"

#include <algorithm>
#include <iterator>

namespace parsleywing {
namespace {

std::vector<RouterId> candidatesOf(const View &Current) {
  std::vector<RouterId> Candidates;
  Candidates.reserve(Current.Members.size());
  for (const Member &Known : Current.Members)
    if (!Known.Draining)
      Candidates.push_back(Known.Router);
  return Candidates;
}

std::vector<RouterId> difference(const std::vector<RouterId> &Left,
                                 const std::vector<RouterId> &Right) {
  std::vector<RouterId> OnlyLeft;
  std::set_difference(Left.begin(), Left.end(), Right.begin(), Right.end(),
                      std::back_inserter(OnlyLeft));
  return OnlyLeft;
}

} // namespace

OwnerCache::OwnerCache(const View &Current)
    : Self(Current.Self), Candidates(candidatesOf(Current)) {}

std::vector<std::uint64_t> OwnerCache::update(const View &Next) {
  std::vector<RouterId> NewCandidates = candidatesOf(Next);
  const std::vector<RouterId> Joined =
      difference(NewCandidates, this->Candidates);
  const std::vector<RouterId> Left =
      difference(this->Candidates, NewCandidates);
  const bool OneIsEmpty = this->Candidates.empty() || NewCandidates.empty();
  this->Candidates = std::move(NewCandidates);
  std::vector<std::uint64_t> Moved;
  if (Joined.empty() && Left.empty())
    return Moved;
  for (auto &[Key, Current] : this->Owners) {
    const RouterId PreviousOwner = Current.Router;
    if (OneIsEmpty ||
        std::binary_search(Left.begin(), Left.end(), PreviousOwner)) {
      Current = this->compute(Key);
    } else {
      for (RouterId Candidate : Joined) {
        const std::uint64_t Score = rendezvousScore(Candidate.Value, Key);
        if (Score > Current.Score ||
            (Score == Current.Score && Current.Router < Candidate))
          Current = {Candidate, Score};
      }
    }
    if (Current.Router != PreviousOwner)
      Moved.push_back(Key);
  }
  return Moved;
}

RouterId OwnerCache::ownerOf(std::uint64_t Key) {
  const auto [Found, Inserted] = this->Owners.try_emplace(Key);
  if (Inserted)
    Found->second = this->compute(Key);
  return Found->second.Router;
}

OwnerCache::Owner OwnerCache::compute(std::uint64_t Key) const {
  Owner Best{this->Self, 0};
  for (RouterId Candidate : this->Candidates) {
    const std::uint64_t Score = rendezvousScore(Candidate.Value, Key);
    if (Score >= Best.Score)
      Best = {Candidate, Score};
  }
  return Best;
}

} // namespace parsleywing
