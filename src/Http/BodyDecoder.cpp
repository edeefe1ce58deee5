#include "Http/BodyDecoder.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace parsleywing {

namespace {

/// Maximum length of a line of the chunked framing, including chunk extensions
/// and trailers.
constexpr std::size_t MaxFramingLine = 4096;
/// Maximum size of all trailers.
constexpr std::size_t MaxTrailerBytes = 8192;
constexpr int HexadecimalBase = 16;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int FirstFinalStatus = 200;

Result<BodyLength> bodyLengthOf(const HttpHead &Head, BodyFraming Default) {
  const bool HasTransferEncoding = Head.count("Transfer-Encoding") > 0;
  const std::size_t LengthCount = Head.count("Content-Length");
  if (HasTransferEncoding && LengthCount > 0)
    return failure(ErrorCode::Malformed,
                   "both Content-Length and Transfer-Encoding are present");
  if (HasTransferEncoding) {
    if (Head.count("Transfer-Encoding") > 1 ||
        !equalIgnoringCase(Head.value("Transfer-Encoding"), "chunked"))
      return failure(ErrorCode::Malformed,
                     "the Transfer-Encoding is not supported");
    return BodyLength{BodyFraming::Chunked, 0};
  }
  if (LengthCount == 0)
    return BodyLength{Default, 0};
  const auto Length = parseDecimal(Head.value("Content-Length"));
  if (LengthCount > 1 || !Length)
    return failure(ErrorCode::Malformed,
                   "the Content-Length is not a single decimal number");
  return BodyLength{BodyFraming::ContentLength, *Length};
}

} // namespace

Result<BodyLength> requestBodyLength(const HttpHead &Head) {
  return bodyLengthOf(Head, BodyFraming::None);
}

Result<BodyLength> responseBodyLength(const HttpHead &Head,
                                      std::string_view Method) {
  if (Method == "HEAD" || Head.Status == NoContent ||
      Head.Status == NotModified || Head.Status < FirstFinalStatus)
    return BodyLength{};
  return bodyLengthOf(Head, BodyFraming::CloseDelimited);
}

BodyDecoder::BodyDecoder(BodyLength Length)
    : Expected(Length), RemainingBytes(Length.ContentLength) {
  switch (Length.Framing) {
  case BodyFraming::None:
    this->Current = State::Done;
    break;
  case BodyFraming::ContentLength:
    this->Current = Length.ContentLength == 0 ? State::Done : State::Payload;
    break;
  case BodyFraming::Chunked:
    this->Current = State::ChunkSize;
    break;
  case BodyFraming::CloseDelimited:
    this->Current = State::Payload;
    break;
  }
}

std::size_t BodyDecoder::feed(std::string_view Input, std::string &Output) {
  std::size_t Consumed = 0;
  while (Consumed < Input.size() && !this->complete() && !this->malformed()) {
    if (this->Current == State::Payload) {
      Consumed += this->consumePayload(Input.substr(Consumed), Output);
      continue;
    }
    std::size_t LineBytes = 0;
    const bool IsComplete =
        this->consumeLine(Input.substr(Consumed), LineBytes);
    Consumed += LineBytes;
    if (IsComplete)
      this->processLine();
  }
  return Consumed;
}

std::size_t BodyDecoder::consumePayload(std::string_view Input,
                                        std::string &Output) {
  if (this->isCloseDelimited()) {
    Output.append(Input);
    return Input.size();
  }
  const auto Count = static_cast<std::size_t>(
      std::min<std::uint64_t>(this->RemainingBytes, Input.size()));
  Output.append(Input.substr(0, Count));
  this->RemainingBytes -= Count;
  if (this->RemainingBytes == 0)
    this->Current = this->Expected.Framing == BodyFraming::Chunked
                        ? State::ChunkEnd
                        : State::Done;
  return Count;
}

bool BodyDecoder::consumeLine(std::string_view Input, std::size_t &Consumed) {
  const std::size_t End = Input.find('\n');
  const bool IsComplete = End != std::string_view::npos;
  Consumed = IsComplete ? End + 1 : Input.size();
  this->Line.append(Input.substr(0, Consumed));
  if (this->Line.size() > MaxFramingLine)
    this->Current = State::Malformed;
  return IsComplete && !this->malformed();
}

void BodyDecoder::processLine() {
  const std::string CompleteLine = std::exchange(this->Line, {});
  if (!CompleteLine.ends_with("\r\n")) {
    this->Current = State::Malformed;
    return;
  }
  const std::string_view Text(CompleteLine.data(), CompleteLine.size() - 2);
  if (this->Current == State::ChunkEnd) {
    this->Current = Text.empty() ? State::ChunkSize : State::Malformed;
    return;
  }
  if (this->Current == State::Trailer) {
    this->TrailerBytes += CompleteLine.size();
    if (Text.empty())
      this->Current = State::Done;
    else if (this->TrailerBytes > MaxTrailerBytes || !parseField(Text))
      this->Current = State::Malformed;
    return;
  }
  const std::string_view Digits = Text.substr(0, Text.find(';'));
  const char *DigitsEnd = Digits.data() + Digits.size();
  const auto [ParsedEnd, ParseError] = std::from_chars(
      Digits.data(), DigitsEnd, this->RemainingBytes, HexadecimalBase);
  if (Digits.empty() || ParseError != std::errc() || ParsedEnd != DigitsEnd) {
    this->Current = State::Malformed;
    return;
  }
  this->Current = this->RemainingBytes == 0 ? State::Trailer : State::Payload;
}

} // namespace parsleywing
