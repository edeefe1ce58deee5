#ifndef PARSLEYWING_CALLER_HANDOVERTOKEN_H
#define PARSLEYWING_CALLER_HANDOVERTOKEN_H

#include "Backend/PlainServiceClient.h"

#include <optional>
#include <string>

namespace parsleywing {

/// A request of a caller as it came.
struct RawRequest {
  std::string Method;
  /// Path and query.
  std::string Target;
  /// In the order in which they came, the account's key included.
  HeaderList Headers;
  std::string Body;

  /// The first value of a header; empty where there is none.
  std::string header(const std::string &Name) const;
};

/// What a router that drains tells the router to which it hands a request over.
struct HandOverToken {
  /// Takes the place of the identity that the other router would give.
  std::string Identity;
  /// The router that drains holds the run record.
  bool RecordHeld = false;
};

/// The header that carries the note with its proof.
inline constexpr const char *HandOverHeader = "X-Parsleywing-Hand-Over";

/// The header that repeats, in every answer to a request with a note, the
/// `X-Request-Id` of the request, also where the request is refused before its
/// note is looked at.
inline constexpr const char *AnsweredIdHeader = "X-Parsleywing-Answers";

/// The header's value: the note and an HMAC-SHA256 over the note and the whole
/// request under the fleet's secret. The proof binds the note to this request:
/// a caller that sees one cannot use it for another, and so cannot go past the
/// run record. `Identity` may hold no spaces.
std::string signHandOverToken(const HandOverToken &Note,
                              const RawRequest &Request,
                              const std::string &Secret);

/// The note in a header's value; nothing where the proof does not hold, or
/// where there is no secret.
std::optional<HandOverToken> verifyHandOverToken(const std::string &Value,
                                                 const RawRequest &Request,
                                                 const std::string &Secret);

} // namespace parsleywing

#endif
