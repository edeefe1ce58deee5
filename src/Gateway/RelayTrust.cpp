#include "Gateway/RelayTrust.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Minimum number of relays and verifiers that must report an old proof before
/// the store counts as unreachable. Fewer may be rejected while other routers
/// are served. A small fleet does not have this many, so there each router
/// checks for itself.
constexpr std::ptrdiff_t MinStoreReaders = 4;

/// Number of proof intervals for which a status counts.
constexpr int StatusLifetimeIntervals = 3;

} // namespace

void RelayTrust::recordStatus(const RelayStatus &Status, TimePoint Now) {
  this->ProvenAt = std::max(this->ProvenAt, Status.ProvenAt);
  if (Status.ReadsStore)
    this->StoreReaders[Status.SenderHash] = {Now, Status.ProvenAt};
  std::erase_if(this->StoreReaders, [this, Now](const auto &Each) {
    return Now - Each.second.ReceivedAt >
           this->Times.ProofInterval * StatusLifetimeIntervals;
  });
}

bool RelayTrust::storeSeemsUnreachable(TimePoint Now) const {
  if (this->isFresh(Now))
    return false;
  return std::count_if(this->StoreReaders.begin(), this->StoreReaders.end(),
                       [this, Now](const auto &Each) {
                         return Now - Each.second.ReceivedAt <=
                                this->Times.ProofInterval *
                                    StatusLifetimeIntervals;
                       }) >= MinStoreReaders;
}

} // namespace parsleywing
