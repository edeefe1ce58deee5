#ifndef PARSLEYWING_CALLER_HANDOVERTOKEN_H
#define PARSLEYWING_CALLER_HANDOVERTOKEN_H

#include "Backend/PlainServiceClient.h"

#include <optional>
#include <string>

namespace parsleywing {

/// A caller's request as received.
struct RawRequest {
  std::string Method;
  /// Path and query.
  std::string Target;
  /// In the order received, including the account's key.
  HeaderList Headers;
  std::string Body;

  /// Returns the first value of a header; empty if there is none.
  std::string header(const std::string &Name) const;
};

/// What a draining router tells the router that it hands a request over to.
struct HandOverToken {
  /// Replaces the request id that the other router would assign.
  std::string Identity;
  /// Whether the draining router holds the run record.
  bool RecordHeld = false;
};

/// The header that carries the signed token.
inline constexpr const char *HandOverHeader = "X-Parsleywing-Hand-Over";

/// The header that repeats the `X-Request-Id` of the request in every response
/// to a request with a token, even if the request is refused before the token
/// is verified.
inline constexpr const char *AnsweredIdHeader = "X-Parsleywing-Answers";

/// Returns the header's value: the token and an HMAC-SHA256 of the token and
/// the request, keyed with the fleet's secret. The signature binds the token to
/// this request: a caller that obtains a token cannot use it for another
/// request to bypass the run record. `Identity` must not contain spaces.
std::string signHandOverToken(const HandOverToken &Token,
                              const RawRequest &Request,
                              const std::string &Secret);

/// Returns the token in a header's value, or nullopt if its signature does not
/// match or `Secret` is empty.
std::optional<HandOverToken> verifyHandOverToken(const std::string &Value,
                                                 const RawRequest &Request,
                                                 const std::string &Secret);

} // namespace parsleywing

#endif
