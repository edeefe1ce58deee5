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

/// The version of the protocol between routers. Messages of other versions are
/// dropped.
inline constexpr std::uint8_t PeerProtocolVersion = 1;

/// The size of a message's header and checksum, which enclose its parts.
inline constexpr std::size_t PeerHeaderBytes = 37;

/// The size of a part's header: the index of its alternative and its length.
inline constexpr std::size_t PartHeaderBytes = 3;

/// The sender and the receiver of a datagram or a bulk message. `To` is zero if
/// the sender knows only the receiver's address.
struct PeerHeader {
  RouterId From;
  Incarnation IncarnationNumber = 0;
  RouterId To;
  std::uint32_t Sequence = 0;
};

/// Why a message was dropped.
enum class PeerDrop {
  Malformed,   ///< Not of this protocol, or truncated.
  WrongSecret, ///< Wrong checksum: corrupt, misdirected or forged.
  WrongTarget, ///< Addressed to another router, as after a replacement.
  Duplicate,   ///< Received before, or too old to tell.
  OverBudget,  ///< Sender: byte budget exhausted for too long, or queue full.
  TooLarge,    ///< Sender: exceeds the limit of a datagram or bulk message.
  NoAddress,   ///< Sender: the peer's address is unknown.
  SendFailed,  ///< Sender: the socket or connection failed.
  Injected,    ///< Dropped by fault injection.
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

/// A received message with the parts that could be decoded.
struct DecodedMessage {
  PeerHeader Header;
  std::vector<PeerPart> Parts;
  std::size_t UnreadableParts = 0;
};

/// Encodes and decodes messages between routers. Each message has a checksum
/// keyed with the fleet's secret, which detects corrupt datagrams and those of
/// other fleets. xxHash is not a cryptographic hash, so the checksum does not
/// protect against an attacker who can read the traffic. `seal` and `open` do
/// not throw, and allocate at most a small multiple of the input's size.
/// Immutable after construction, so safe to share between threads.
class PeerCodec {
public:
  explicit PeerCodec(std::string_view Secret);

  /// Encodes one part with the index of its alternative and its length. The
  /// length has two bytes, or four more for a part too large for these.
  static std::string encodePart(const PeerPart &Part);

  /// Builds a message from encoded parts, which the caller concatenates.
  std::string seal(const PeerHeader &Header, std::string_view Parts) const;

  /// Decodes a message. A part with an unknown alternative is skipped, so that
  /// routers of two versions can run side by side.
  tl::expected<DecodedMessage, PeerDrop> open(std::string_view Message) const;

private:
  std::uint64_t checksum(std::string_view Bytes) const;

  std::array<std::uint64_t, 24> Key;
};

} // namespace parsleywing

#endif
