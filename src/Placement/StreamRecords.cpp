#include "Placement/StreamRecords.h"

#include <algorithm>

namespace parsleywing {

void StreamRecords::add(StreamKey Key, SoftwareId Software, Duration Lifetime,
                        TimePoint Now) {
  const auto [Found, IsNew] = this->Records.try_emplace(Key);
  Record &Known = Found->second;
  if (IsNew) {
    Known = {StreamLookupResult::Known, Software, Now, Now + Lifetime};
  } else {
    this->Expiries.erase({Known.ExpiresAt, Key});
    Known.ExpiresAt = std::max(Known.ExpiresAt, Now + Lifetime);
    if (Known.Software != Software)
      Known.Result = StreamLookupResult::Disputed;
  }
  this->Expiries.emplace(Known.ExpiresAt, Key);
  if (this->Records.size() <= MaxRecords)
    return;
  this->removeFirst();
  ++this->Dropped;
}

StreamRecords::Record StreamRecords::find(StreamKey Key, TimePoint Now) const {
  const auto Found = this->Records.find(Key);
  return Found == this->Records.end() || Found->second.ExpiresAt <= Now
             ? Record{}
             : Found->second;
}

void StreamRecords::removeFirst() {
  this->Records.erase(this->Expiries.begin()->second);
  this->Expiries.erase(this->Expiries.begin());
}

void StreamRecords::removeExpired(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.begin()->first <= Now)
    this->removeFirst();
}

} // namespace parsleywing
