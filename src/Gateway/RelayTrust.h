#ifndef PARSLEYWING_GATEWAY_RELAYTRUST_H
#define PARSLEYWING_GATEWAY_RELAYTRUST_H

#include "Gateway/FleetExchange.h"
#include "Gateway/RelayTimes.h"

#include <cstdint>
#include <map>

namespace parsleywing {

/// Judges by the words of relays whether a router may leave the reading of the
/// store to them. Makes no calls and has no clock of its own.
///
/// A relay whose proof grows old is cut off from the store, or the store is
/// away for all. In the first case a router has to read for itself, or it would
/// send requests to servers that have left; in the second each call of each
/// router is in vain: 195 routers made 1,600 in an outage of 6 s. Several
/// relays that answer, read for themselves and have no new proof tell the
/// second case from the first.
class RelayTrust {
public:
  explicit RelayTrust(const RelayTimes &T) : Times(T) {}

  void recordStatus(const RelayStatus &Word, TimePoint Now);

  /// What the newest word proves.
  TimePoint provenAt() const { return this->ProvenAt; }
  bool isFresh(TimePoint Now) const {
    return Now - this->ProvenAt < this->Times.MaxProofAge;
  }

  /// Relays answer, and none of them reaches the store.
  bool storeSeemsUnreachable(TimePoint Now) const;

private:
  struct Witness {
    TimePoint ReceivedAt{};
    TimePoint ProvenAt{};
  };

  RelayTimes Times;
  TimePoint ProvenAt{};
  /// The last word of each relay that reads the store, by who told it.
  std::map<std::uint64_t, Witness> Witnesses;
};

} // namespace parsleywing

#endif
