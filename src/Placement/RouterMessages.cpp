#include "Placement/RouterMessages.h"

#include "Peer/PeerArchive.h"

#include <Poco/NumberFormatter.h>
#include <exception>

namespace parsleywing {

namespace {

/// The number with which each datagram begins: "PWA4" in ASCII. It must change
/// with the wire format.
constexpr std::uint32_t FormatMagic = 0x50574134;

template <std::size_t Index = 0>
bool readMessage(std::size_t WantedIndex, PeerInputArchive &Ar,
                 std::vector<RouterMessage> &Messages) {
  if constexpr (Index < std::variant_size_v<RouterMessage>) {
    if (WantedIndex != Index)
      return readMessage<Index + 1>(WantedIndex, Ar, Messages);
    std::variant_alternative_t<Index, RouterMessage> Value;
    Ar(Value);
    Messages.emplace_back(std::in_place_index<Index>, std::move(Value));
    return true;
  } else {
    return false;
  }
}

} // namespace

std::string textOf(const CorrelationId &Id) {
  return Poco::NumberFormatter::formatHex(Id.Process) + "-" +
         std::to_string(Id.Number);
}

std::string encodeMessages(const std::vector<RouterMessage> &Messages) {
  std::string Bytes;
  PeerOutputArchive Ar(Bytes);
  Ar(FormatMagic);
  for (RouterMessage Each : Messages) {
    Ar(static_cast<std::uint8_t>(Each.index()));
    std::visit([&Ar](auto &Message) { Ar(Message); }, Each);
  }
  return Bytes;
}

Result<std::vector<RouterMessage>> decodeMessages(std::string_view Bytes) {
  std::vector<RouterMessage> Messages;
  try {
    PeerInputArchive Ar(Bytes);
    std::uint32_t Magic = 0;
    Ar(Magic);
    if (Magic != FormatMagic)
      return failure(ErrorCode::Malformed, "message format is not 0x50574134");
    while (Ar.remaining() > 0) {
      std::uint8_t Index = 0;
      Ar(Index);
      if (!readMessage(Index, Ar, Messages))
        return failure(ErrorCode::Malformed, "message kind is out of range");
    }
  } catch (const std::exception &Problem) {
    return failure(ErrorCode::Malformed, Problem.what());
  }
  return Messages;
}

} // namespace parsleywing
