#include "Decision/Membership/View.h"

namespace parsleywing {

RouterId ownerOf(const View &Current, std::uint64_t Key) {
  RouterId Best = Current.Self;
  std::uint64_t BestScore = 0;
  for (const Member &Candidate : Current.Members) {
    if (Candidate.Draining)
      continue;
    const std::uint64_t Score = rendezvousScore(Candidate.Router.Value, Key);
    if (Score < BestScore)
      continue;
    BestScore = Score;
    Best = Candidate.Router;
  }
  return Best;
}

} // namespace parsleywing
