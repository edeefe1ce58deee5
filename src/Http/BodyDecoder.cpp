#include "Http/BodyDecoder.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace parsleywing {

namespace {

/// The longest line of the chunk framing, extensions and trailers with it.
constexpr std::size_t MaxFramingLine = 4096;
constexpr int HexBase = 16;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int FirstFinalStatus = 200;

Result<BodyLength> planOf(const HttpHead &Head, BodyFraming Otherwise) {
  const bool Encoded = Head.count("Transfer-Encoding") > 0;
  const std::size_t Lengths = Head.count("Content-Length");
  if (Encoded && Lengths > 0)
    return failure(ErrorCode::Malformed, "both a length and an encoding");
  if (Encoded) {
    if (Head.count("Transfer-Encoding") > 1 ||
        !equalIgnoringCase(Head.value("Transfer-Encoding"), "chunked"))
      return failure(ErrorCode::Malformed, "an unknown transfer encoding");
    return BodyLength{BodyFraming::Chunked, 0};
  }
  if (Lengths == 0)
    return BodyLength{Otherwise, 0};
  const auto Length = parseDecimal(Head.value("Content-Length"));
  if (Lengths > 1 || !Length)
    return failure(ErrorCode::Malformed, "the length is not one number");
  return BodyLength{BodyFraming::ContentLength, *Length};
}

} // namespace

Result<BodyLength> requestBodyLength(const HttpHead &Head) {
  return planOf(Head, BodyFraming::None);
}

Result<BodyLength> responseBodyLength(const HttpHead &Head,
                                      std::string_view Method) {
  if (Method == "HEAD" || Head.Status == NoContent ||
      Head.Status == NotModified || Head.Status < FirstFinalStatus)
    return BodyLength{};
  return planOf(Head, BodyFraming::CloseDelimited);
}

BodyDecoder::BodyDecoder(BodyLength P)
    : Expected(P), RemainingBytes(P.ContentLength) {
  switch (P.Framing) {
  case BodyFraming::None:
    this->Current = State::Done;
    break;
  case BodyFraming::ContentLength:
    this->Current = P.ContentLength == 0 ? State::Done : State::Payload;
    break;
  case BodyFraming::Chunked:
    this->Current = State::ChunkSize;
    break;
  case BodyFraming::CloseDelimited:
    this->Current = State::Payload;
    break;
  }
}

std::size_t BodyDecoder::feed(std::string_view In, std::string &Out) {
  std::size_t Used = 0;
  while (Used < In.size() && !this->complete() && !this->malformed()) {
    if (this->Current == State::Payload) {
      Used += this->consumePayload(In.substr(Used), Out);
      continue;
    }
    std::size_t Taken = 0;
    const bool Whole = this->consumeLine(In.substr(Used), Taken);
    Used += Taken;
    if (Whole)
      this->processLine();
  }
  return Used;
}

std::size_t BodyDecoder::consumePayload(std::string_view In, std::string &Out) {
  if (this->isCloseDelimited()) {
    Out.append(In);
    return In.size();
  }
  const auto Count = static_cast<std::size_t>(
      std::min<std::uint64_t>(this->RemainingBytes, In.size()));
  Out.append(In.substr(0, Count));
  this->RemainingBytes -= Count;
  if (this->RemainingBytes == 0)
    this->Current = this->Expected.Framing == BodyFraming::Chunked
                        ? State::ChunkEnd
                        : State::Done;
  return Count;
}

bool BodyDecoder::consumeLine(std::string_view In, std::size_t &Used) {
  const std::size_t End = In.find('\n');
  const bool Whole = End != std::string_view::npos;
  Used = Whole ? End + 1 : In.size();
  this->Line.append(In.substr(0, Used));
  if (this->Line.size() > MaxFramingLine)
    this->Current = State::Malformed;
  return Whole && !this->malformed();
}

void BodyDecoder::processLine() {
  const std::string Whole = std::exchange(this->Line, {});
  if (!Whole.ends_with("\r\n")) {
    this->Current = State::Malformed;
    return;
  }
  const std::string_view Text(Whole.data(), Whole.size() - 2);
  if (this->Current == State::ChunkEnd) {
    this->Current = Text.empty() ? State::ChunkSize : State::Malformed;
    return;
  }
  if (this->Current == State::Trailer) {
    if (Text.empty())
      this->Current = State::Done;
    return;
  }
  const std::string_view Digits = Text.substr(0, Text.find(';'));
  const char *Stop = Digits.data() + Digits.size();
  const auto [Read, Problem] =
      std::from_chars(Digits.data(), Stop, this->RemainingBytes, HexBase);
  if (Digits.empty() || Problem != std::errc() || Read != Stop) {
    this->Current = State::Malformed;
    return;
  }
  this->Current = this->RemainingBytes == 0 ? State::Trailer : State::Payload;
}

} // namespace parsleywing
