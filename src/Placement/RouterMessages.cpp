#include "Placement/RouterMessages.h"

#include "Peer/PeerArchive.h"
#include "Runtime/Invariant.h"

#include <Poco/NumberFormatter.h>
#include <exception>

namespace parsleywing {

namespace {

/// The number with which each datagram begins: "PWA0" in ASCII, plus the number
/// of the message format.
constexpr std::uint32_t FirstMagic = 0x50574130;

/// The number of kinds of messages in the formats before `WithStreams`, before
/// `WithPartCrashes`, before `WithHeadroom` and before `WithServerLoad`.
constexpr std::size_t KindsWithoutStreams = 12;
constexpr std::size_t KindsWithoutPartCrashes = 16;
constexpr std::size_t KindsWithoutHeadroom = 17;
constexpr std::size_t KindsWithoutServerLoad = 20;

std::uint32_t numberOf(MessageFormat Format) {
  return static_cast<std::uint32_t>(Format);
}

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

bool isAboutStreams(const RouterMessage &Message) {
  return std::holds_alternative<StreamsBound>(Message) ||
         std::holds_alternative<StreamQuery>(Message) ||
         std::holds_alternative<StreamAnswer>(Message) ||
         std::holds_alternative<StreamSyncRequest>(Message);
}

bool isKnownIn(MessageFormat Format, const RouterMessage &Message) {
  if (Format < MessageFormat::WithStreams)
    return Message.index() < KindsWithoutStreams;
  if (Format < MessageFormat::WithPartCrashes)
    return Message.index() < KindsWithoutPartCrashes;
  if (Format < MessageFormat::WithHeadroom)
    return Message.index() < KindsWithoutHeadroom;
  return Format >= MessageFormat::WithServerLoad ||
         Message.index() < KindsWithoutServerLoad;
}

std::string encodeMessages(const std::vector<RouterMessage> &Messages,
                           MessageFormat Format) {
  std::string Bytes;
  PeerOutputArchive Ar(Bytes, numberOf(Format));
  Ar(FirstMagic + numberOf(Format));
  for (RouterMessage Each : Messages) {
    PARSLEYWING_INVARIANT(isKnownIn(Format, Each),
                          "a message is sent in a format that has its kind");
    Ar(static_cast<std::uint8_t>(Each.index()));
    std::visit([&Ar](auto &Message) { Ar(Message); }, Each);
  }
  return Bytes;
}

std::optional<MessageFormat> formatOf(std::string_view Bytes) {
  std::uint32_t Magic = 0;
  if (Bytes.size() < sizeof(Magic))
    return std::nullopt;
  PeerInputArchive Ar(Bytes);
  Ar(Magic);
  const std::uint32_t Number = Magic - FirstMagic;
  if (Number < numberOf(OldestMessageFormat) ||
      Number > numberOf(NewestMessageFormat))
    return std::nullopt;
  return static_cast<MessageFormat>(Number);
}

Result<std::vector<RouterMessage>> decodeMessages(std::string_view Bytes) {
  const std::optional<MessageFormat> Format = formatOf(Bytes);
  if (!Format)
    return failure(ErrorCode::Malformed,
                   "the datagram has none of the known message formats");
  std::vector<RouterMessage> Messages;
  try {
    PeerInputArchive Ar(Bytes);
    Ar.skip(sizeof(FirstMagic));
    Ar.setFormat(numberOf(*Format));
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
