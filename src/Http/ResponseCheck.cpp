#include "Http/ResponseCheck.h"

#include "Http/HttpStatus.h"

#include <utility>

namespace parsleywing {

Result<void> ResponseCheck::feed(std::string_view Bytes) {
  if (this->Complete)
    return {};
  if (this->HeadComplete)
    return this->feedBody(Bytes);
  this->Input.append(Bytes);
  const auto Body = this->takeHeads();
  if (!Body)
    return tl::unexpected(Body.error());
  return this->HeadComplete ? this->feedBody(*Body) : Result<void>();
}

Result<std::string> ResponseCheck::takeHeads() {
  while (const std::size_t Length = headLength(this->Input)) {
    const auto Head =
        parseResponseHead(std::string_view(this->Input).substr(0, Length));
    if (!Head)
      return tl::unexpected(Head.error());
    this->Input.erase(0, Length);
    if (Head->Status < HttpOk)
      continue;
    const auto Size = responseBodyLength(*Head, this->Method);
    if (!Size)
      return tl::unexpected(Size.error());
    this->Decoder = BodyDecoder(*Size);
    this->HeadComplete = true;
    this->Complete = this->Decoder.complete();
    return std::exchange(this->Input, {});
  }
  return std::string();
}

Result<void> ResponseCheck::feedBody(std::string_view Bytes) {
  std::string Payload;
  this->Decoder.feed(Bytes, Payload);
  if (this->Decoder.malformed())
    return failure(ErrorCode::Malformed,
                   "the chunks or trailers of the response are malformed");
  this->Complete = this->Decoder.complete();
  return {};
}

void ResponseCheck::finish() {
  if (this->HeadComplete && this->Decoder.isCloseDelimited())
    this->Complete = true;
}

} // namespace parsleywing
