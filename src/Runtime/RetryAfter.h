#ifndef PARSLEYWING_RUNTIME_RETRYAFTER_H
#define PARSLEYWING_RUNTIME_RETRYAFTER_H

#include "Runtime/Clock.h"

#include <optional>
#include <string_view>

namespace parsleywing {

/// The longest delay that is taken from a `Retry-After` field.
inline constexpr Duration MaxRetryAfter = std::chrono::hours(24);

/// Parses the value of a `Retry-After` field (RFC 9110, 10.2.3) in seconds,
/// which may have a fraction. Longer delays than `MaxRetryAfter` are reduced to
/// it. Nothing for zero, a negative number, a date, or anything else.
std::optional<Duration> parseRetryAfter(std::string_view Text);

} // namespace parsleywing

#endif
