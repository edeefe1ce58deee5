#include "Decision/Fairness/AccountHome.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

double AccountHome::Total::sum() const {
  double Sum = this->Base;
  for (const auto &[Router, Sender] : this->RouterTotals)
    Sum += Sender.Tokens;
  return Sum;
}

ContributionReply AccountHome::applyContribution(TimePoint Now, RouterId From,
                                                 Incarnation IncarnationNumber,
                                                 std::uint32_t Version,
                                                 const Contribution &Received) {
  PARSLEYWING_INVARIANT(Received.Own >= 0, "contributions are never negative");
  auto [Found, IsNew] = this->Totals.try_emplace(Received.Pair);
  Total &PairTotal = Found->second;
  if (IsNew)
    PairTotal.Since = Now;
  RouterTotal &Sender = PairTotal.RouterTotals[From];
  if (IncarnationNumber > Sender.IncarnationNumber) {
    // After a restart, the tokens that the earlier process charged still count.
    PairTotal.Base += Sender.Tokens;
    Sender = RouterTotal{IncarnationNumber, 0, 0};
  }
  if (IncarnationNumber == Sender.IncarnationNumber &&
      Version > Sender.Version) {
    Sender.Version = Version;
    Sender.Tokens = Received.Own;
    PairTotal.Lift = std::max(PairTotal.Lift, Received.Lift);
    if (PairTotal.TakingOver)
      PairTotal.MaxReported =
          std::max(PairTotal.MaxReported, Received.Own + Received.Others);
  }
  // Only a new home uses the totals that entry routers report. Later, a total
  // that was corrected downwards would be raised again by routers that do not
  // know of the correction yet.
  const double Missing = std::max(0.0, PairTotal.MaxReported - PairTotal.sum());
  if (PairTotal.TakingOver && Now >= PairTotal.Since + this->Takeover) {
    PairTotal.TakingOver = false;
    PairTotal.Base += Missing;
    PairTotal.MaxReported = 0;
  }
  const double Sum = PairTotal.sum() + (PairTotal.TakingOver ? Missing : 0);
  return {Received.Pair, std::max(0.0, Sum - Sender.Tokens), PairTotal.Lift};
}

} // namespace parsleywing
