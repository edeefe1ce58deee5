#include "Gateway/RelayTrust.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Relays and scouts without the store that make an outage likely. A few may be
/// turned away alone; in a small fleet there are not as many, and each router
/// looks for itself.
constexpr std::ptrdiff_t LeastWitnesses = 4;

/// A word counts for so many intervals between proofs.
constexpr int WitnessIntervals = 3;

} // namespace

void RelayTrust::recordStatus(const RelayStatus &Word, TimePoint Now) {
  this->ProvenAt = std::max(this->ProvenAt, Word.ProvenAt);
  if (Word.ReadsStore)
    this->Witnesses[Word.SenderHash] = {Now, Word.ProvenAt};
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
                       }) >= LeastWitnesses;
}

} // namespace parsleywing
