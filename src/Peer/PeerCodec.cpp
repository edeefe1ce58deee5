#include "Peer/PeerCodec.h"

#include "Peer/PeerArchive.h"

#include <cereal/types/variant.hpp>

#include <limits>
#include <xxhash.h>

namespace parsleywing {
namespace {

constexpr std::size_t ChecksumBytes = sizeof(std::uint64_t);

/// Marks a length that does not fit into two bytes: a four-byte length follows.
constexpr std::uint16_t LongLengthMarker =
    std::numeric_limits<std::uint16_t>::max();

/// Reads the alternative with this index; nothing if there is none. Recurses
/// over the indices, so that it needs no change when alternatives are added.
template <std::size_t Index = 0>
std::optional<PeerPart> readAlternative(std::size_t PartIndex,
                                        PeerInputArchive &Ar) {
  if constexpr (Index < std::variant_size_v<PeerPart>) {
    if (PartIndex != Index)
      return readAlternative<Index + 1>(PartIndex, Ar);
    std::variant_alternative_t<Index, PeerPart> Value;
    Ar(Value);
    return PeerPart(std::in_place_index<Index>, std::move(Value));
  } else {
    return std::nullopt;
  }
}

std::optional<PeerPart> readPart(std::size_t Index, std::string_view Bytes) {
  try {
    PeerInputArchive Ar(Bytes);
    return readAlternative(Index, Ar);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

void readHeader(PeerInputArchive &Ar, PeerHeader &Header) {
  Ar(Header.From.Value, Header.IncarnationNumber, Header.To.Value,
     Header.Sequence);
}

std::size_t readLength(PeerInputArchive &Ar) {
  std::uint16_t Short = 0;
  Ar(Short);
  if (Short != LongLengthMarker)
    return Short;
  std::uint32_t Long = 0;
  Ar(Long);
  return Long;
}

void readParts(PeerInputArchive &Ar, std::string_view Message,
               DecodedMessage &Decoded) {
  while (Ar.remaining() > 0) {
    std::uint8_t Index = 0;
    Ar(Index);
    const std::size_t Length = readLength(Ar);
    if (Length > Ar.remaining())
      throw cereal::Exception("part ends early");
    const std::string_view Body =
        Message.substr(Message.size() - Ar.remaining(), Length);
    auto Part = readPart(Index, Body);
    if (Part)
      Decoded.Parts.push_back(std::move(*Part));
    else
      ++Decoded.UnreadableParts;
    Ar.skip(Length);
  }
}

} // namespace

PeerCodec::PeerCodec(std::string_view Secret) {
  for (std::size_t Word = 0; Word < this->Key.size(); ++Word)
    this->Key[Word] = XXH3_64bits_withSeed(Secret.data(), Secret.size(), Word);
}

std::string PeerCodec::encodePart(const PeerPart &Part) {
  std::string Body;
  PeerOutputArchive BodyArchive(Body);
  std::visit([&](const auto &Value) { BodyArchive(Value); }, Part);
  std::string Bytes;
  PeerOutputArchive Ar(Bytes);
  Ar(static_cast<std::uint8_t>(Part.index()));
  if (Body.size() < LongLengthMarker)
    Ar(static_cast<std::uint16_t>(Body.size()));
  else
    Ar(LongLengthMarker, static_cast<std::uint32_t>(Body.size()));
  return Bytes + Body;
}

std::string PeerCodec::seal(const PeerHeader &Header,
                            std::string_view Parts) const {
  std::string Bytes;
  Bytes.reserve(PeerHeaderBytes + Parts.size());
  PeerOutputArchive Ar(Bytes);
  Ar(PeerProtocolVersion, Header.From.Value, Header.IncarnationNumber,
     Header.To.Value, Header.Sequence);
  Bytes.append(Parts);
  Ar(this->checksum(Bytes));
  return Bytes;
}

tl::expected<DecodedMessage, PeerDrop>
PeerCodec::open(std::string_view Message) const {
  if (Message.size() < PeerHeaderBytes ||
      static_cast<std::uint8_t>(Message[0]) != PeerProtocolVersion)
    return tl::unexpected(PeerDrop::Malformed);
  const std::string_view Content =
      Message.substr(0, Message.size() - ChecksumBytes);
  try {
    std::uint64_t ReceivedChecksum = 0;
    PeerInputArchive(Message.substr(Content.size()))(ReceivedChecksum);
    if (ReceivedChecksum != this->checksum(Content))
      return tl::unexpected(PeerDrop::WrongSecret);
    DecodedMessage Decoded;
    PeerInputArchive Ar(Content);
    Ar.skip(sizeof(PeerProtocolVersion));
    readHeader(Ar, Decoded.Header);
    readParts(Ar, Content, Decoded);
    return Decoded;
  } catch (const std::exception &) {
    return tl::unexpected(PeerDrop::Malformed);
  }
}

std::uint64_t PeerCodec::checksum(std::string_view Bytes) const {
  return XXH3_64bits_withSecret(Bytes.data(), Bytes.size(), this->Key.data(),
                                sizeof(this->Key));
}

} // namespace parsleywing
