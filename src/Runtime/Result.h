#ifndef PARSLEYWING_RUNTIME_RESULT_H
#define PARSLEYWING_RUNTIME_RESULT_H

#include "Runtime/EnumNames.h"

#include <string>
#include <tl/expected.hpp>

namespace parsleywing {

/// The kinds of failure that one component reports to another.
enum class ErrorCode {
  InvalidInput,  ///< Input from a person or a peer is not valid.
  NotFound,      ///< The requested object does not exist.
  Conflict,      ///< The object was changed concurrently.
  Denied,        ///< The caller is not permitted to do this.
  Unreachable,   ///< No connection, so nothing has been sent.
  TimedOut,      ///< No response in time; the request may have taken effect.
  Interrupted,   ///< The connection broke; the request may have taken effect.
  Malformed,     ///< The response does not follow the protocol.
  LimitExceeded, ///< A size, rate or count limit was exceeded.
  Refused,       ///< The peer refused the request.
};

inline constexpr EnumNames<ErrorCode, 10> ErrorCodeNames{{
    {ErrorCode::InvalidInput, "invalid-input"},
    {ErrorCode::NotFound, "not-found"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::Denied, "denied"},
    {ErrorCode::Unreachable, "unreachable"},
    {ErrorCode::TimedOut, "timed-out"},
    {ErrorCode::Interrupted, "interrupted"},
    {ErrorCode::Malformed, "malformed"},
    {ErrorCode::LimitExceeded, "limit-exceeded"},
    {ErrorCode::Refused, "refused"},
}};

/// A failure: its kind, and a message for people.
struct Error {
  ErrorCode Code;
  std::string Message;
};

/// Either a value or an error.
template <typename Value> using Result = tl::expected<Value, Error>;

/// Creates a failed `Result`.
inline tl::unexpected<Error> failure(ErrorCode Code, std::string Message) {
  return tl::unexpected<Error>(Error{Code, std::move(Message)});
}

} // namespace parsleywing

#endif
