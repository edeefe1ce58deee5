#ifndef PARSLEYWING_GATEWAY_RELAYTRUST_H
#define PARSLEYWING_GATEWAY_RELAYTRUST_H

#include "Gateway/FleetDistributor.h"
#include "Gateway/RelayTimes.h"

#include <cstdint>
#include <map>

namespace parsleywing {

/// Decides from the status messages of relays and verifiers whether a router
/// may leave reading the store to them. Makes no calls and has no clock of its
/// own.
///
/// If a relay's proof grows old, either the relay is disconnected from the
/// store or the store is unreachable for all routers. In the first case a
/// router must read the store itself, or it would send requests to servers that
/// have left. In the second case each call fails, so it must not keep calling:
/// 195 routers made 1,600 calls in an outage of 6 s. Several relays or
/// verifiers that answer, read the store themselves and have no new proof
/// indicate the second case.
class RelayTrust {
public:
  explicit RelayTrust(const RelayTimes &T) : Times(T) {}

  void recordStatus(const RelayStatus &Status, TimePoint Now);

  /// The time of the newest proof.
  TimePoint provenAt() const { return this->ProvenAt; }
  bool isFresh(TimePoint Now) const {
    return Now - this->ProvenAt < this->Times.MaxProofAge;
  }

  /// Whether several relays or verifiers answer and none of them reaches the
  /// store.
  bool storeSeemsUnreachable(TimePoint Now) const;

private:
  struct StoreReader {
    TimePoint ReceivedAt{};
    TimePoint ProvenAt{};
  };

  RelayTimes Times;
  TimePoint ProvenAt{};
  /// The last status of each router that reads the store, by its sender hash.
  std::map<std::uint64_t, StoreReader> StoreReaders;
};

} // namespace parsleywing

#endif
