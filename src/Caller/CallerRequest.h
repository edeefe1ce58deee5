#ifndef PARSLEYWING_CALLER_CALLERREQUEST_H
#define PARSLEYWING_CALLER_CALLERREQUEST_H

#include "Runtime/Clock.h"
#include "Runtime/Id.h"

#include <string>

namespace parsleywing {

/// What a caller asked of a model engine, checked.
struct CallerRequest {
  AccountId Account;
  ServiceId Service;
  std::string Model;
  /// The text of the input.
  std::string Input;
  bool Stream = false;
  bool Repeatable = true;
  /// The most tokens wanted, and the hint of the cost.
  std::uint64_t MaxOutputTokens = 256;
  std::string IdempotencyKey;
  /// From the moment the body is whole.
  Duration Timeout = Duration::zero();
};

} // namespace parsleywing

#endif
