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

Result<BodyPlan> planOf(const HttpHead &Head, BodyFraming Otherwise) {
  const bool Encoded = Head.count("Transfer-Encoding") > 0;
  const std::size_t Lengths = Head.count("Content-Length");
  if (Encoded && Lengths > 0)
    return failure(ErrorCode::Malformed, "both a length and an encoding");
  if (Encoded) {
    if (Head.count("Transfer-Encoding") > 1 ||
        !equalIgnoringCase(Head.value("Transfer-Encoding"), "chunked"))
      return failure(ErrorCode::Malformed, "an unknown transfer encoding");
    return BodyPlan{BodyFraming::Chunked, 0};
  }
  if (Lengths == 0)
    return BodyPlan{Otherwise, 0};
  const auto Length = parseDecimal(Head.value("Content-Length"));
  if (Lengths > 1 || !Length)
    return failure(ErrorCode::Malformed, "the length is not one number");
  return BodyPlan{BodyFraming::Length, *Length};
}

} // namespace

Result<BodyPlan> planRequestBody(const HttpHead &Head) {
  return planOf(Head, BodyFraming::None);
}

Result<BodyPlan> planResponseBody(const HttpHead &Head,
                                  std::string_view Method) {
  if (Method == "HEAD" || Head.Status == NoContent ||
      Head.Status == NotModified || Head.Status < FirstFinalStatus)
    return BodyPlan{};
  return planOf(Head, BodyFraming::UntilClose);
}

BodyDecoder::BodyDecoder(BodyPlan P) : Plan(P), Left(P.Length) {
  switch (P.Framing) {
  case BodyFraming::None:
    this->Where = Place::Done;
    break;
  case BodyFraming::Length:
    this->Where = P.Length == 0 ? Place::Done : Place::Payload;
    break;
  case BodyFraming::Chunked:
    this->Where = Place::ChunkSize;
    break;
  case BodyFraming::UntilClose:
    this->Where = Place::Payload;
    break;
  }
}

std::size_t BodyDecoder::feed(std::string_view In, std::string &Out) {
  std::size_t Used = 0;
  while (Used < In.size() && !this->complete() && !this->malformed()) {
    if (this->Where == Place::Payload) {
      Used += this->takePayload(In.substr(Used), Out);
      continue;
    }
    std::size_t Taken = 0;
    const bool Whole = this->takeLine(In.substr(Used), Taken);
    Used += Taken;
    if (Whole)
      this->endLine();
  }
  return Used;
}

std::size_t BodyDecoder::takePayload(std::string_view In, std::string &Out) {
  if (this->endsWithConnection()) {
    Out.append(In);
    return In.size();
  }
  const auto Count =
      static_cast<std::size_t>(std::min<std::uint64_t>(this->Left, In.size()));
  Out.append(In.substr(0, Count));
  this->Left -= Count;
  if (this->Left == 0)
    this->Where = this->Plan.Framing == BodyFraming::Chunked ? Place::ChunkEnd
                                                             : Place::Done;
  return Count;
}

bool BodyDecoder::takeLine(std::string_view In, std::size_t &Used) {
  const std::size_t End = In.find('\n');
  const bool Whole = End != std::string_view::npos;
  Used = Whole ? End + 1 : In.size();
  this->Line.append(In.substr(0, Used));
  if (this->Line.size() > MaxFramingLine)
    this->Where = Place::Broken;
  return Whole && !this->malformed();
}

void BodyDecoder::endLine() {
  const std::string Whole = std::exchange(this->Line, {});
  if (!Whole.ends_with("\r\n")) {
    this->Where = Place::Broken;
    return;
  }
  const std::string_view Text(Whole.data(), Whole.size() - 2);
  if (this->Where == Place::ChunkEnd) {
    this->Where = Text.empty() ? Place::ChunkSize : Place::Broken;
    return;
  }
  if (this->Where == Place::Trailer) {
    if (Text.empty())
      this->Where = Place::Done;
    return;
  }
  const std::string_view Digits = Text.substr(0, Text.find(';'));
  const char *Stop = Digits.data() + Digits.size();
  const auto [Read, Problem] =
      std::from_chars(Digits.data(), Stop, this->Left, HexBase);
  if (Digits.empty() || Problem != std::errc() || Read != Stop) {
    this->Where = Place::Broken;
    return;
  }
  this->Where = this->Left == 0 ? Place::Trailer : Place::Payload;
}

} // namespace parsleywing
