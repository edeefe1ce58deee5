#ifndef PARSLEYWING_CALLER_CALLERREQUEST_H
#define PARSLEYWING_CALLER_CALLERREQUEST_H

#include "Backend/PlainServiceClient.h"
#include "Caller/HandOverToken.h"

#include <optional>
#include <string>

namespace parsleywing {

/// A validated request of a caller for a model engine or a plain service.
struct CallerRequest {
  AccountId Account;
  ServiceId Service;
  ServiceKind Kind = ServiceKind::Engine;
  std::string Model;
  /// The input if it is a string.
  std::string Input;
  /// The input as JSON if it is a list; `Input` is empty then.
  std::string InputJson;
  bool Stream = false;
  bool Repeatable = true;
  /// Limit on the output tokens, also used as the cost estimate.
  std::uint64_t MaxOutputTokens = 256;
  std::string IdempotencyKey;
  /// Counted from the time the body has been received completely.
  Duration Timeout = Duration::zero();
  /// The request as received.
  RawRequest Raw;
  /// Set if a draining router handed the request over with a valid token.
  std::optional<HandOverToken> HandedOver;
};

} // namespace parsleywing

#endif
