#include "Decision/Fairness/AccountHome.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

double AccountHome::Total::sum() const {
  double Sum = this->Base;
  for (const auto &[Router, Counted] : this->RouterTotals)
    Sum += Counted.Tokens;
  return Sum;
}

ContributionReply AccountHome::applyContribution(TimePoint Now, RouterId From,
                                                 Incarnation IncarnationNumber,
                                                 std::uint32_t Version,
                                                 const Contribution &Received) {
  PARSLEYWING_INVARIANT(Received.Own >= 0, "contributions are never negative");
  auto [Position, IsNew] = this->Totals.try_emplace(Received.Pair);
  Total &Pair = Position->second;
  if (IsNew)
    Pair.Since = Now;
  RouterTotal &Counted = Pair.RouterTotals[From];
  if (IncarnationNumber > Counted.IncarnationNumber) {
    // An empty restart: what the earlier process charged stays charged.
    Pair.Base += Counted.Tokens;
    Counted = RouterTotal{IncarnationNumber, 0, 0};
  }
  if (IncarnationNumber == Counted.IncarnationNumber &&
      Version > Counted.Version) {
    Counted.Version = Version;
    Counted.Tokens = Received.Own;
    Pair.Lift = std::max(Pair.Lift, Received.Lift);
    if (Pair.TakingOver)
      Pair.MaxReported =
          std::max(Pair.MaxReported, Received.Own + Received.Others);
  }
  // Only a new home believes the others: later a total that sank by a true-up
  // would be raised again by routers that do not know of it yet.
  const double Missing = std::max(0.0, Pair.MaxReported - Pair.sum());
  if (Pair.TakingOver && Now >= Pair.Since + this->Takeover) {
    Pair.TakingOver = false;
    Pair.Base += Missing;
    Pair.MaxReported = 0;
  }
  const double Whole = Pair.sum() + (Pair.TakingOver ? Missing : 0);
  return {Received.Pair, std::max(0.0, Whole - Counted.Tokens), Pair.Lift};
}

} // namespace parsleywing
