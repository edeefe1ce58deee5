#ifndef PARSLEYWING_CALLER_CALLERREQUEST_H
#define PARSLEYWING_CALLER_CALLERREQUEST_H

#include "Backend/PlainServiceClient.h"
#include "Caller/HandOverToken.h"

#include <optional>
#include <string>

namespace parsleywing {

/// What a caller asked of a model engine or of a plain service, checked.
struct CallerRequest {
  AccountId Account;
  ServiceId Service;
  ServiceKind Kind = ServiceKind::Engine;
  std::string Model;
  /// The text of the input.
  std::string Input;
  /// The input as JSON where it is a list; then there is no text.
  std::string InputJson;
  bool Stream = false;
  bool Repeatable = true;
  /// The most tokens wanted, and the hint of the cost.
  std::uint64_t MaxOutputTokens = 256;
  std::string IdempotencyKey;
  /// From the moment the body is whole.
  Duration Timeout = Duration::zero();
  /// The request as it came.
  RawRequest Raw;
  /// Set where a router that drains handed the request over, with its proof.
  std::optional<HandOverToken> HandedOver;
};

} // namespace parsleywing

#endif
