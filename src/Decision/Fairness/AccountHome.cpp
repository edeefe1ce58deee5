#include "Decision/Fairness/AccountHome.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

double AccountHome::Total::sum() const {
  double Sum = this->Base;
  for (const auto &[Router, Counted] : this->Parts)
    Sum += Counted.Tokens;
  return Sum;
}

ContributionReply AccountHome::applyContribution(TimePoint Now, RouterId From,
                                                 Incarnation Life,
                                                 std::uint32_t Version,
                                                 const Contribution &Said) {
  PARSLEYWING_INVARIANT(Said.Own >= 0, "contributions are never negative");
  auto [Found, New] = this->Totals.try_emplace(Said.Pair);
  Total &Pair = Found->second;
  if (New)
    Pair.Since = Now;
  Part &Counted = Pair.Parts[From];
  if (Life > Counted.IncarnationNumber) {
    // An empty restart: what the earlier process charged stays charged.
    Pair.Base += Counted.Tokens;
    Counted = Part{Life, 0, 0};
  }
  if (Life == Counted.IncarnationNumber && Version > Counted.Version) {
    Counted.Version = Version;
    Counted.Tokens = Said.Own;
    Pair.Lift = std::max(Pair.Lift, Said.Lift);
    if (Pair.TakingOver)
      Pair.Believed = std::max(Pair.Believed, Said.Own + Said.Others);
  }
  // Only a new home believes the others: later a total that sank by a true-up
  // would be raised again by routers that do not know of it yet.
  const double Missing = std::max(0.0, Pair.Believed - Pair.sum());
  if (Pair.TakingOver && Now >= Pair.Since + this->Takeover) {
    Pair.TakingOver = false;
    Pair.Base += Missing;
    Pair.Believed = 0;
  }
  const double Whole = Pair.sum() + (Pair.TakingOver ? Missing : 0);
  return {Said.Pair, std::max(0.0, Whole - Counted.Tokens), Pair.Lift};
}

} // namespace parsleywing
