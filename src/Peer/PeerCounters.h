#ifndef PARSLEYWING_PEER_PEERCOUNTERS_H
#define PARSLEYWING_PEER_PEERCOUNTERS_H

#include "Peer/PeerCodec.h"

#include <Poco/JSON/Object.h>
#include <array>
#include <atomic>
#include <cstdint>

namespace parsleywing {

/// The size of the IP and UDP headers of a datagram, which count toward the
/// byte budget.
inline constexpr std::size_t UdpOverheadBytes = 28;

/// Counters of the transport since its start. Written by its threads and
/// readable from any thread. Each value is exact, but the values are not a
/// consistent snapshot.
struct PeerCounters {
  using Counter = std::atomic<std::uint64_t>;

  Counter DatagramsOut = 0;
  Counter DatagramsIn = 0;
  Counter DatagramBytesOut = 0; ///< With IP and UDP headers.
  Counter DatagramBytesIn = 0;  ///< With IP and UDP headers.
  Counter UrgentOut = 0;        ///< Of `DatagramsOut`.
  Counter BulkOut = 0;
  Counter BulkIn = 0;
  Counter BulkBytesOut = 0;
  Counter BulkBytesIn = 0;
  Counter UnreadableParts = 0;
  /// Encoded bytes queued for sending, by alternative of `PeerPart`.
  std::array<Counter, std::variant_size_v<PeerPart>> PartBytesOut{};
  /// Dropped messages, by `PeerDrop`.
  std::array<Counter, PeerDropNames.size()> Dropped{};

  void drop(PeerDrop Reason) {
    ++this->Dropped[static_cast<std::size_t>(Reason)];
  }

  std::uint64_t dropped(PeerDrop Reason) const {
    return this->Dropped[static_cast<std::size_t>(Reason)];
  }

  Poco::JSON::Object::Ptr dump() const;
};

} // namespace parsleywing

#endif
