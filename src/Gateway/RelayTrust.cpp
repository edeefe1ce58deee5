#include "Gateway/RelayTrust.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Number of relays and verifiers without the store that indicate an outage.
/// Fewer may be rejected while other routers are served. A small fleet does not
/// have this many, so there each router checks for itself.
constexpr std::ptrdiff_t MinWitnesses = 4;

/// Number of proof intervals for which a status counts.
constexpr int WitnessIntervals = 3;

} // namespace

void RelayTrust::recordStatus(const RelayStatus &Status, TimePoint Now) {
  this->ProvenAt = std::max(this->ProvenAt, Status.ProvenAt);
  if (Status.ReadsStore)
    this->Witnesses[Status.SenderHash] = {Now, Status.ProvenAt};
  std::erase_if(this->Witnesses, [this, Now](const auto &Each) {
    return Now - Each.second.ReceivedAt >
           this->Times.ProofInterval * WitnessIntervals;
  });
}

bool RelayTrust::storeSeemsUnreachable(TimePoint Now) const {
  if (this->isFresh(Now))
    return false;
  return std::count_if(this->Witnesses.begin(), this->Witnesses.end(),
                       [this, Now](const auto &Each) {
                         return Now - Each.second.ReceivedAt <=
                                this->Times.ProofInterval * WitnessIntervals;
                       }) >= MinWitnesses;
}

} // namespace parsleywing
