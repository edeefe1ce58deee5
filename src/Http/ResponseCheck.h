#ifndef PARSLEYWING_HTTP_RESPONSECHECK_H
#define PARSLEYWING_HTTP_RESPONSECHECK_H

#include "Http/BodyDecoder.h"
#include "Runtime/Result.h"

#include <string>
#include <string_view>

namespace parsleywing {

/// Follows the bytes of one response and of the interim responses before it,
/// and finds out whether they are well formed and where the response ends. For
/// readers whose HTTP library accepts malformed heads, and any end of the
/// connection as the end of a body. Keeps one head, or one line of the framing.
class ResponseCheck {
public:
  /// `M` is the method of the request.
  explicit ResponseCheck(std::string M) : Method(std::move(M)) {}

  /// Adds bytes as they arrive. Fails once they are not well formed. Bytes
  /// behind the response are ignored.
  Result<void> feed(std::string_view Bytes);

  /// The peer has closed the connection orderly, which ends a response that
  /// states no length.
  void finish();

  /// Whether the whole response has been fed.
  bool complete() const { return this->Complete; }

private:
  /// Parses the heads that the input begins with. Returns the bytes behind the
  /// final one, or nothing while it is not complete.
  Result<std::string> takeHeads();
  Result<void> feedBody(std::string_view Bytes);

  std::string Method;
  /// The begin of a head.
  std::string Input;
  BodyDecoder Decoder;
  bool HeadComplete = false;
  bool Complete = false;
};

} // namespace parsleywing

#endif
