#ifndef PARSLEYWING_PEER_PEERCODEC_H
#define PARSLEYWING_PEER_PEERCODEC_H

#include "Decision/PeerPart.h"
#include "Runtime/Result.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// The version of the protocol between routers; others are dropped.
inline constexpr std::uint8_t PeerProtocolVersion = 1;

/// Bytes of the header before the parts of a datagram.
inline constexpr std::size_t PeerHeaderBytes = 37;

/// Bytes before each part: its alternative and its length.
inline constexpr std::size_t PartHeaderBytes = 3;

/// Who sent a datagram or a bulk message, and to whom. `To` is zero where the
/// sender knows only an address yet.
struct PeerHeader {
  RouterId From;
  Incarnation Life = 0;
  RouterId To;
  std::uint32_t Sequence = 0;
};

/// Why a received message was not passed on.
enum class PeerDrop {
  Malformed,   ///< Not of this protocol, or cut short.
  WrongSecret, ///< Checksum wrong: garbled, stray or forged.
  WrongTarget, ///< Meant for another router, as after a replacement.
  Duplicate,   ///< Seen before, or too old to tell.
  OverBudget,  ///< Sending side: waited too long for the byte budget.
  TooLarge,    ///< Sending side: does not fit its way of travel.
  NoAddress,   ///< Sending side: the peer's address is not known.
  SendFailed,  ///< Sending side: the socket or connection failed.
  Injected,    ///< Dropped on purpose by a test.
};

inline constexpr EnumNames<PeerDrop, 9> PeerDropNames{{
    {PeerDrop::Malformed, "malformed"},
    {PeerDrop::WrongSecret, "wrong-secret"},
    {PeerDrop::WrongTarget, "wrong-target"},
    {PeerDrop::Duplicate, "duplicate"},
    {PeerDrop::OverBudget, "over-budget"},
    {PeerDrop::TooLarge, "too-large"},
    {PeerDrop::NoAddress, "no-address"},
    {PeerDrop::SendFailed, "send-failed"},
    {PeerDrop::Injected, "injected"},
}};

/// A message as it came, with the parts that could be read.
struct DecodedMessage {
  PeerHeader Header;
  std::vector<PeerPart> Parts;
  std::size_t UnreadableParts = 0;
};

/// Packs and unpacks messages between routers. Each carries a checksum keyed
/// with the fleet's secret. That keeps out garbled datagrams and those of
/// another fleet; xxHash is no cryptographic code, so it does not keep out
/// somebody who can read the traffic. Neither throws nor allocates more than a
/// few times the input. Immutable after construction, so safe to share.
class PeerCodec {
public:
  explicit PeerCodec(std::string_view Secret);

  /// One part with its alternative and length (of 4 bytes where `Bulk`).
  static std::string encodePart(const PeerPart &Part);

  /// The message of these encoded parts, put one after another.
  std::string seal(const PeerHeader &Header, std::string_view Parts) const;

  /// Reads a message. A part of an unknown alternative is skipped, so that
  /// routers of two versions can run side by side.
  tl::expected<DecodedMessage, PeerDrop> open(std::string_view Message) const;

private:
  std::uint64_t checksum(std::string_view Bytes) const;

  std::array<std::uint64_t, 24> Key;
};

} // namespace parsleywing

#endif
