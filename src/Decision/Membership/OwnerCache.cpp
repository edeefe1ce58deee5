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
  std::vector<RouterId> Now = candidatesOf(Next);
  const std::vector<RouterId> Joined = difference(Now, this->Candidates);
  const std::vector<RouterId> Left = difference(this->Candidates, Now);
  const bool Alone = this->Candidates.empty() || Now.empty();
  this->Candidates = std::move(Now);
  std::vector<std::uint64_t> Moved;
  if (Joined.empty() && Left.empty())
    return Moved;
  for (auto &[Key, Current] : this->Owners) {
    const RouterId Before = Current.Router;
    if (Alone || std::binary_search(Left.begin(), Left.end(), Before)) {
      Current = this->compute(Key);
    } else {
      for (RouterId Candidate : Joined) {
        const std::uint64_t Score = rendezvousScore(Candidate.Value, Key);
        if (Score > Current.Score ||
            (Score == Current.Score && Current.Router < Candidate))
          Current = {Candidate, Score};
      }
    }
    if (Current.Router != Before)
      Moved.push_back(Key);
  }
  return Moved;
}

RouterId OwnerCache::ownerOf(std::uint64_t Key) {
  const auto [Place, Inserted] = this->Owners.try_emplace(Key);
  if (Inserted)
    Place->second = this->compute(Key);
  return Place->second.Router;
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
