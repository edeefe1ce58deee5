#ifndef PARSLEYWING_PEER_PEERARCHIVE_H
#define PARSLEYWING_PEER_PEERARCHIVE_H

#include <bit>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace parsleywing::internal {

/// Maps a number type to the unsigned integer type whose bytes are written.
template <class Number> struct WireNumber {
  using Type = std::conditional_t<
      sizeof(Number) == 1, std::uint8_t,
      std::conditional_t<sizeof(Number) == 2, std::uint16_t,
                         std::conditional_t<sizeof(Number) == 4, std::uint32_t,
                                            std::uint64_t>>>;
};

template <class Data>
concept ByteData = sizeof(std::remove_pointer_t<std::remove_cvref_t<Data>>) ==
                   1;

} // namespace parsleywing::internal

namespace parsleywing {

/// A cereal archive that appends to a string. Numbers are written in
/// little-endian order at their own width. Container sizes are written as
/// variable-length integers with 7 bits per byte; cereal's portable archive
/// uses 8 bytes for each.
class PeerOutputArchive : public cereal::OutputArchive<PeerOutputArchive> {
public:
  explicit PeerOutputArchive(std::string &Bytes, std::uint32_t Format = 0)
      : OutputArchive(this), Bytes(Bytes), Format(Format) {}

  /// The format of the message, for types whose fields depend on it.
  std::uint32_t format() const { return this->Format; }

  void writeBytes(const void *Data, std::size_t Size) {
    this->Bytes.append(static_cast<const char *>(Data), Size);
  }

  template <class Number> void writeNumber(Number Value) {
    using Wire = typename internal::WireNumber<Number>::Type;
    const auto Bits = std::bit_cast<Wire>(Value);
    for (std::size_t Byte = 0; Byte < sizeof(Wire); ++Byte)
      this->Bytes.push_back(
          static_cast<char>((std::uint64_t{Bits} >> (8 * Byte)) & 0xff));
  }

  void writeSize(std::uint64_t Size) {
    while (Size >= 0x80) {
      this->Bytes.push_back(static_cast<char>(0x80 | (Size & 0x7f)));
      Size >>= 7;
    }
    this->Bytes.push_back(static_cast<char>(Size));
  }

private:
  std::string &Bytes;
  std::uint32_t Format;
};

/// Reads the output of `PeerOutputArchive`. Throws `cereal::Exception` if the
/// input ends early or a container's size exceeds the number of remaining
/// bytes. Without that bound, a datagram with a forged size would make cereal
/// allocate gigabytes, and the router would be killed for its memory use.
class PeerInputArchive : public cereal::InputArchive<PeerInputArchive> {
public:
  explicit PeerInputArchive(std::string_view Bytes)
      : InputArchive(this), Remaining(Bytes) {}

  /// The format of the message, for types whose fields depend on it.
  std::uint32_t format() const { return this->Format; }
  void setFormat(std::uint32_t Stated) { this->Format = Stated; }

  void readBytes(void *Data, std::size_t Size) {
    this->require(Size);
    this->Remaining.copy(static_cast<char *>(Data), Size);
    this->Remaining.remove_prefix(Size);
  }

  template <class Number> void readNumber(Number &Value) {
    using Wire = typename internal::WireNumber<Number>::Type;
    this->require(sizeof(Wire));
    std::uint64_t Bits = 0;
    for (std::size_t Byte = 0; Byte < sizeof(Wire); ++Byte)
      Bits |= std::uint64_t{static_cast<std::uint8_t>(this->Remaining[Byte])}
              << (8 * Byte);
    this->Remaining.remove_prefix(sizeof(Wire));
    if constexpr (std::is_same_v<Number, bool>)
      Value = Bits != 0;
    else
      Value = std::bit_cast<Number>(static_cast<Wire>(Bits));
  }

  std::uint64_t readSize() {
    std::uint64_t Size = 0;
    for (unsigned Shift = 0; Shift < 35; Shift += 7) {
      std::uint8_t Group = 0;
      this->readNumber(Group);
      Size |= std::uint64_t{Group & 0x7fU} << Shift;
      if (Group < 0x80) {
        this->require(Size);
        return Size;
      }
    }
    throw cereal::Exception("container size has too many bytes");
  }

  /// Skips bytes that are read elsewhere.
  void skip(std::size_t Size) {
    this->require(Size);
    this->Remaining.remove_prefix(Size);
  }

  std::size_t remaining() const { return this->Remaining.size(); }

private:
  void require(std::uint64_t Size) const {
    if (Size > this->Remaining.size())
      throw cereal::Exception("message ends early");
  }

  std::string_view Remaining;
  std::uint32_t Format = 0;
};

// The following macros expand to the function names that cereal looks up.
template <class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(PeerOutputArchive &Ar, const Number &Value) {
  Ar.writeNumber(Value);
}

template <class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(PeerInputArchive &Ar, Number &Value) {
  Ar.readNumber(Value);
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(PeerOutputArchive &Ar,
                                    cereal::NameValuePair<Value> &Pair) {
  Ar(Pair.value);
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(PeerInputArchive &Ar,
                                    cereal::NameValuePair<Value> &Pair) {
  Ar(Pair.value);
}

template <class Size>
void CEREAL_SAVE_FUNCTION_NAME(PeerOutputArchive &Ar,
                               const cereal::SizeTag<Size> &Tag) {
  Ar.writeSize(Tag.size);
}

template <class Size>
void CEREAL_LOAD_FUNCTION_NAME(PeerInputArchive &Ar,
                               cereal::SizeTag<Size> &Tag) {
  Tag.size = static_cast<std::remove_cvref_t<Size>>(Ar.readSize());
}

template <internal::ByteData Data>
void CEREAL_SAVE_FUNCTION_NAME(PeerOutputArchive &Ar,
                               const cereal::BinaryData<Data> &Binary) {
  Ar.writeBytes(Binary.data, static_cast<std::size_t>(Binary.size));
}

template <internal::ByteData Data>
void CEREAL_LOAD_FUNCTION_NAME(PeerInputArchive &Ar,
                               cereal::BinaryData<Data> &Binary) {
  Ar.readBytes(Binary.data, static_cast<std::size_t>(Binary.size));
}

} // namespace parsleywing

CEREAL_REGISTER_ARCHIVE(parsleywing::PeerOutputArchive)
CEREAL_REGISTER_ARCHIVE(parsleywing::PeerInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(parsleywing::PeerInputArchive,
                            parsleywing::PeerOutputArchive)

#endif
