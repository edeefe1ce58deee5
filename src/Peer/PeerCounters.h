#ifndef PARSLEYWING_PEER_PEERCOUNTERS_H
#define PARSLEYWING_PEER_PEERCOUNTERS_H

#include "Peer/PeerCodec.h"

#include <Poco/JSON/Object.h>
#include <array>
#include <atomic>
#include <cstdint>

namespace parsleywing {

/// The bytes that IP and UDP put before each datagram; counted in the budget.
inline constexpr std::size_t UdpOverheadBytes = 28;

/// What the transport did since the start. Written by its threads and read by
/// any; each number is exact, but not all of one moment.
struct PeerCounters {
  using Number = std::atomic<std::uint64_t>;

  Number DatagramsOut = 0;
  Number DatagramsIn = 0;
  Number DatagramBytesOut = 0; ///< With IP and UDP headers.
  Number DatagramBytesIn = 0;  ///< With IP and UDP headers.
  Number UrgentOut = 0;        ///< Of `DatagramsOut`.
  Number BulkOut = 0;
  Number BulkIn = 0;
  Number BulkBytesOut = 0;
  Number BulkBytesIn = 0;
  Number UnreadableParts = 0;
  /// Encoded bytes sent by alternative of `PeerPart`.
  std::array<Number, std::variant_size_v<PeerPart>> PartBytesOut{};
  /// Messages dropped, by `PeerDrop`.
  std::array<Number, PeerDropNames.size()> Dropped{};

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
