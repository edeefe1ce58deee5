#ifndef PARSLEYWING_TEST_RESPONSETEXT_H
#define PARSLEYWING_TEST_RESPONSETEXT_H

#include "Http/BodyDecoder.h"

#include <string>

namespace parsleywing::test {

/// Whether the text is a complete response by its framing. One that ends with
/// its connection never is.
inline bool isCompleteResponse(const std::string &Text) {
  const std::size_t Length = headLength(Text);
  if (Length == 0)
    return false;
  const auto Head = parseResponseHead(Text.substr(0, Length));
  if (!Head)
    return false;
  BodyDecoder Body(responseBodyLength(*Head, "GET").value());
  std::string Payload;
  Body.feed(Text.substr(Length), Payload);
  return Body.complete();
}

} // namespace parsleywing::test

#endif
